"""Test what a balancer does with agents that run, but aren't listed."""

from bluebellfold.relay.agents import (
    DOWN,
    DRAINING,
    SUBSET_SIZE,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    ForwardedPacket,
    Offer,
    Subscribe,
)
from bluebellfold.relay.agents.agent_table import PRESUMED_DEAD_SECONDS
from bluebellfold.relay.callers.tests.harness import (
    DATA,
    FIRST,
    SECOND,
    balancer_with,
)
from bluebellfold.relay.callers.unlisted_agents import SILENCE_SECONDS
from bluebellfold.relay.tests.harness import (
    Balancer,
    fleet_of,
    report_of,
)
from bluebellfold.standins.packets import opening_packet

REPORT_SECONDS = 0.2
# An agent that isn't followed is asked each second, and silent from then on.
ASK_SECONDS = 1.1


def lose_entry(**load):
    """Return a balancer whose list lacks the running FIRST."""
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_message(FIRST, report_of(sequence=2, **load))
    balancer.list_agents((SECOND,))
    return balancer


def keep_reporting(balancer, *agents, seconds):
    for sequence in range(10, 10 + round(seconds / REPORT_SECONDS)):
        balancer.advance(REPORT_SECONDS)
        for address in agents:
            balancer.receive_message(address, report_of(sequence=sequence))


def subscriptions_of(balancer, address):
    """Return the messages to an agent that ask for reports."""
    return [
        message
        for receiver, message in balancer.transport.pop_messages(Subscribe)
        if receiver == address
    ]


# Guards against living flows that are reset: the store lost the entry of their
# agent, and all other agents denied them.
def test_flow_of_a_running_agent_is_found_though_the_list_lacks_it():
    balancer = lose_entry()
    keep_reporting(balancer, FIRST, SECOND, seconds=4)
    balancer.receive_packet(DATA)
    queried = [
        address for address, _ in balancer.transport.pop_messages(FlowLookup)
    ]
    assert queried == [FIRST, SECOND]
    balancer.receive_message(SECOND, FlowNotFound(flow=DATA.flow))
    assert not balancer.transport.resets
    balancer.receive_message(FIRST, FlowFound(flow=DATA.flow))
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (FIRST, ForwardedPacket(packet=DATA))
    ]


# Guards against a service without upstreams while its agents run.
def test_running_agent_that_is_not_listed_gets_new_flows():
    balancer = lose_entry()
    keep_reporting(balancer, FIRST, seconds=1)
    balancer.receive_packet(opening_packet())
    assert [to for to, _ in balancer.transport.pop_messages(Offer)] == [FIRST]


# Guards against a list that stays without a running agent: only balancers see
# that it lacks one.
def test_running_agent_is_told_until_it_is_listed():
    balancer = lose_entry()
    assert all(
        message.is_unlisted for message in subscriptions_of(balancer, FIRST)
    )
    keep_reporting(balancer, FIRST, SECOND, seconds=1)
    told = subscriptions_of(balancer, FIRST)
    assert told
    assert all(message.is_unlisted for message in told)
    balancer.list_agents((FIRST, SECOND))
    subscriptions_of(balancer, FIRST)
    keep_reporting(balancer, FIRST, SECOND, seconds=1)
    told = subscriptions_of(balancer, FIRST)
    assert told
    assert not any(message.is_unlisted for message in told)
    assert not balancer.relay.unlisted_agents


# Guards against lookups of lost flows that wait for an agent that has left.
def test_agent_whose_upstream_is_down_leaves_with_its_entry():
    balancer = lose_entry(state=DOWN)
    assert balancer.relay.agent_table.find(FIRST) is None


# Guards against resets of living flows: a deregistration of an earlier start
# arrived late, and the agent deleted the entry of the running upstream.
def test_agent_with_open_flows_is_kept_though_its_upstream_is_down():
    balancer = lose_entry(state=DOWN, flows=1)
    assert balancer.relay.agent_table.find(FIRST) is not None
    balancer.receive_message(FIRST, report_of(sequence=3, state=DOWN))
    balancer.advance(0.1)
    assert balancer.relay.agent_table.find(FIRST) is None


def test_agent_that_is_silent_since_its_entry_has_gone_leaves():
    balancer = lose_entry(state=DRAINING)
    assert balancer.relay.agent_table.find(FIRST) is not None
    balancer.advance(SILENCE_SECONDS + 0.1)
    assert balancer.relay.agent_table.find(FIRST) is None


# Guards against review/11: the store was down while an agent without an entry
# was restarted as planned, and the open flows of its upstream were reset.
def test_agent_that_ran_without_an_entry_is_kept_for_a_restart():
    balancer = lose_entry()
    keep_reporting(balancer, FIRST, SECOND, seconds=1)
    keep_reporting(balancer, SECOND, seconds=1.2)
    balancer.receive_packet(DATA)
    balancer.receive_message(SECOND, FlowNotFound(flow=DATA.flow))
    assert not balancer.transport.resets
    restarted = report_of(incarnation=2)
    balancer.receive_message(FIRST, restarted)
    assert FIRST in [
        to for to, _ in balancer.transport.pop_messages(FlowLookup)
    ]
    balancer.receive_message(FIRST, FlowFound(flow=DATA.flow))
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (FIRST, ForwardedPacket(packet=DATA))
    ]


def test_agent_that_ran_without_an_entry_leaves_if_it_does_not_return():
    balancer = lose_entry()
    keep_reporting(balancer, FIRST, SECOND, seconds=1)
    keep_reporting(balancer, SECOND, seconds=PRESUMED_DEAD_SECONDS - 0.2)
    assert balancer.relay.agent_table.find(FIRST) is not None
    keep_reporting(balancer, SECOND, seconds=0.6)
    assert balancer.relay.agent_table.find(FIRST) is None


# Guards against lookups of ended flows that wait for as long as a restart: the
# upstream deregistered with open flows, and its agent left.
def test_agent_whose_upstream_went_down_leaves_once_it_is_silent():
    balancer = lose_entry()
    keep_reporting(balancer, FIRST, SECOND, seconds=1)
    down = report_of(sequence=30, state=DOWN, flows=1)
    balancer.receive_message(FIRST, down)
    keep_reporting(balancer, SECOND, seconds=SILENCE_SECONDS + 0.3)
    assert balancer.relay.agent_table.find(FIRST) is None


# Guards against resets of living flows in a large fleet: a balancer has no
# recent report of most agents.
def test_agent_that_is_not_followed_is_asked_whether_it_runs():
    fleet = fleet_of(SUBSET_SIZE * 4)
    balancer = Balancer(agents=fleet)
    followed = {view.address for view in balancer.relay.agent_table.followed}
    lost = [entry for entry in fleet if entry.address not in followed][:2]
    running, gone = (entry.address for entry in lost)
    balancer.transport.sent.clear()
    balancer.list_agents([entry for entry in fleet if entry not in lost])
    asked = [to for to, _ in balancer.transport.pop_messages(Subscribe)]
    assert sorted(asked) == sorted((running, gone))
    keep_reporting(balancer, running, seconds=1)
    table = balancer.relay.agent_table
    assert table.find(running) is not None
    assert table.find(gone) is None
    balancer.advance(PRESUMED_DEAD_SECONDS + ASK_SECONDS)
    assert table.find(running) is None


# Guards against flows for the service that had the address before.
def test_entry_of_another_agent_at_the_address_replaces_a_kept_one():
    balancer = lose_entry()
    other = fleet_of(1)[0].replace(address=FIRST, service='other')
    balancer.list_agents((SECOND, other))
    assert balancer.relay.agent_table.get(FIRST).entry == other
    assert not balancer.relay.unlisted_agents
