"""Test that lookups before thousands of agents take little time in a turn.

At the design size of 28,000 agents one turn queried all of them, and each
denial scanned the whole list.
"""

import pytest

from bluebellfold.relay.agents import (
    SUBSET_SIZE,
    AgentEntry,
    AgentView,
    FlowLookup,
    FlowNotFound,
    Subscribe,
)
from bluebellfold.relay.callers import forwarding
from bluebellfold.relay.callers.agent_follower import MAX_AWAITED_PER_TICK
from bluebellfold.relay.callers.tests.harness import DATA
from bluebellfold.relay.tests.harness import COUNTER, TICK_SECONDS, Balancer

QUERIES = forwarding.MAX_QUERIES_PER_TICK
AGENTS = 5 * QUERIES
FLEET = tuple(
    AgentEntry(
        address=(f'10.0.{number // 250}.{number % 250}', 8172),
        service=COUNTER,
        zone='abc'[number % 3],
    )
    for number in range(AGENTS)
)


def sent_in_turn(balancer):
    """Return what was sent since the last call, by type."""
    by_type = {FlowLookup: [], Subscribe: []}
    for address, message in balancer.transport.sent:
        by_type.setdefault(type(message), []).append(address)
    balancer.transport.sent.clear()
    return by_type


def looking_up(*, fleet=FLEET):
    """Return a balancer whose home agents don't name the owner of a flow."""
    balancer = Balancer(agents=fleet)
    balancer.receive_packet(DATA)
    sent_in_turn(balancer)
    return balancer


def turns_of(balancer, seconds):
    """Return what was sent in each tick."""
    turns = []
    for _ in range(round(seconds / TICK_SECONDS)):
        balancer.advance(TICK_SECONDS)
        turns.append(sent_in_turn(balancer))
    return turns


def query_all(balancer):
    balancer.advance(TICK_SECONDS * (AGENTS / QUERIES + 1))


# Guards against an event loop that stands still for as long as a balancer takes
# to send a datagram to each agent of a large fleet.
def test_queries_of_a_turn_are_bounded():
    turns = turns_of(looking_up(), 0.3)
    queried = [address for turn in turns for address in turn[FlowLookup]]
    assert set(queried) == {entry.address for entry in FLEET}
    assert max(len(turn[FlowLookup]) for turn in turns) == QUERIES


# Guards against a pass that begins anew with each packet of the client, and
# never reaches the last agents.
def test_packets_of_the_client_do_not_restart_the_queries():
    balancer = looking_up()
    queried = set()
    for _ in range(6):
        balancer.advance(TICK_SECONDS)
        queried.update(sent_in_turn(balancer)[FlowLookup])
        balancer.clock.advance(0.16)
        balancer.receive_packet(DATA)
    assert len(queried) == AGENTS


# Guards against a turn of the event loop that probes all agents of a large
# fleet which don't answer a lookup.
def test_probes_of_silent_agents_are_bounded():
    turns = turns_of(looking_up(), 2)
    bound = MAX_AWAITED_PER_TICK + SUBSET_SIZE
    assert max(len(turn[Subscribe]) for turn in turns) <= bound
    probed = {address for turn in turns for address in turn[Subscribe]}
    assert len(probed) == AGENTS


# Guards against a cost of a lookup that grows with the square of the fleet.
@pytest.mark.parametrize('step', [1, -1, 7], ids=['order', 'reverse', 'mixed'])
def test_denials_of_all_agents_cost_one_scan_in_all(step, monkeypatch):
    balancer = looking_up()
    query_all(balancer)
    checks = []
    is_presumed_dead = AgentView.is_presumed_dead

    def count_check(view, now):
        checks.append(view)
        return is_presumed_dead(view, now)

    monkeypatch.setattr(AgentView, 'is_presumed_dead', count_check)
    order = [FLEET[index * step % AGENTS].address for index in range(AGENTS)]
    assert len(set(order)) == AGENTS
    for address in order[:-1]:
        balancer.receive_message(address, FlowNotFound(flow=DATA.flow))
    assert not balancer.transport.resets
    balancer.receive_message(order[-1], FlowNotFound(flow=DATA.flow))
    assert len(balancer.transport.resets) == 1
    assert len(checks) < 10 * AGENTS


# Guards against the reset of an open flow whose agent hasn't been queried yet.
def test_flow_is_not_reset_before_all_agents_are_queried(monkeypatch):
    monkeypatch.setattr(forwarding, 'MAX_QUERIES_PER_TICK', 2)
    balancer = looking_up(fleet=FLEET[:7])
    queried = []
    for _ in range(3):
        balancer.advance(TICK_SECONDS)
        queried.extend(sent_in_turn(balancer)[FlowLookup])
        for address in queried:
            balancer.receive_message(address, FlowNotFound(flow=DATA.flow))
        assert not balancer.transport.resets
    balancer.advance(TICK_SECONDS)
    last = sent_in_turn(balancer)[FlowLookup]
    for address in last:
        balancer.receive_message(address, FlowNotFound(flow=DATA.flow))
    assert len(balancer.transport.resets) == 1
