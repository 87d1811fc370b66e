"""Test how a balancer uses state that another balancer has copied to it."""

import pytest

from bluebellfold.core import NO_ROUTES
from bluebellfold.relay.agents import AgentEntry, FlowNotFound, Offer
from bluebellfold.relay.callers.tests.harness import DATA, FIRST, SECOND
from bluebellfold.relay.tests.harness import (
    Balancer,
    position_of,
    report_of,
    route_to,
    table_of,
)
from bluebellfold.standins.packets import opening_packet

PEER = '10.1.0.2'


def started_without_store():
    """Return a balancer that knows only what another balancer had."""
    balancer = Balancer(agents=None, routes=NO_ROUTES, fresh=False)
    copy_routes(balancer, table_of(route_to(), version=3))
    copy_agents(balancer, FIRST, revision=30)
    balancer.receive_message(FIRST, report_of())
    return balancer


def copy_routes(balancer, routes):
    return balancer.relay.update_routes(routes, now=balancer.now, peer=PEER)


def copy_agents(balancer, *addresses, revision):
    entries = [AgentEntry(address=address) for address in addresses]
    balancer.relay.update_agents(
        entries, balancer.now, position=position_of(revision), peer=PEER
    )


def listed(balancer):
    table = balancer.relay._agent_table
    return [view.address for view in table.listed_for('counter')]


def test_copied_state_serves_flows_and_makes_the_balancer_ready():
    balancer = started_without_store()
    assert balancer.relay.is_ready(balancer.now)
    balancer.receive_packet(opening_packet())
    offers = balancer.transport.pop_messages(Offer)
    assert [address for address, _ in offers] == [FIRST]
    assert balancer.relay.sources.routes.name == PEER
    assert balancer.relay.sources.agents.is_peer


# Guards against a refusal of a flow whose route is newer than the copy.
def test_flow_without_a_copied_route_waits():
    balancer = started_without_store()
    newer = table_of(route_to(address=('198.18.0.99', 1)), version=4)
    copy_routes(balancer, newer)
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.resets
    balancer.relay.set_routes_fresh(fresh=True)
    balancer.receive_packet(opening_packet())
    assert len(balancer.transport.resets) == 1


# Guards against a copy that removes or re-adds agents: the revision of the
# store's list falls below that of a copy when the newest agent has left.
@pytest.mark.parametrize('revision', [10, 30, 50])
def test_list_of_the_store_replaces_the_copy_and_stays(revision):
    balancer = started_without_store()
    balancer.list_agents(
        [AgentEntry(address=SECOND, service='counter')], revision=revision
    )
    assert listed(balancer) == [SECOND]
    copy_agents(balancer, FIRST, revision=90)
    copy_agents(balancer, revision=5)
    assert listed(balancer) == [SECOND]
    assert balancer.relay.positions.agents == position_of(revision)
    assert balancer.relay.sources.agents.is_store


# Guards against flows that lose their agent when the store answers.
def test_same_list_of_the_store_keeps_what_is_known_of_agents():
    balancer = started_without_store()
    balancer.list_agents((FIRST,), revision=30)
    assert balancer.relay.is_ready(balancer.now)


def test_copy_never_sets_the_configuration_back():
    balancer = started_without_store()
    assert not copy_routes(balancer, table_of(version=2))
    assert balancer.relay.version == 3
    # The store's answer of an older version doesn't either.
    older = table_of(version=2)
    assert not balancer.relay.update_routes(older, now=balancer.now)
    assert balancer.relay.version == 3


def test_no_configuration_is_copied_once_the_store_has_answered():
    balancer = started_without_store()
    balancer.relay.set_routes_fresh(fresh=True)
    assert not copy_routes(balancer, table_of(version=9))
    balancer.relay.set_routes_fresh(fresh=False)
    assert not copy_routes(balancer, table_of(version=9))
    assert balancer.relay.version == 3


# Guards against the reset of an open flow whose agent has registered since the
# copy was confirmed.
def test_no_flow_is_reset_by_a_copied_list():
    balancer = started_without_store()
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    balancer.advance(0.1)
    assert not balancer.transport.resets
    balancer.list_agents((FIRST,), revision=30)
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    balancer.advance(0.1)
    assert balancer.transport.resets


# Guards against a warning at each start: the time since the boot of the machine
# counted as a pause.
def test_first_run_is_no_pause(caplog):
    caplog.set_level('INFO')
    balancer = Balancer(agents=(FIRST,))
    balancer.relay.tick(balancer.now)
    events = [record.event for record in caplog.records]
    assert 'BBF0741' not in events
    balancer.clock.advance(0.6)
    balancer.relay.tick(balancer.now)
    paused = [
        record.paused_ms
        for record in caplog.records
        if record.event == 'BBF0741'
    ]
    assert paused == [600]
