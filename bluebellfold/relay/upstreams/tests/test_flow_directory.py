"""Test what an agent remembers of the flows of other agents."""

from bluebellfold.relay.agents import FlowFound, FlowNotFound, FlowOwner
from bluebellfold.relay.tests.harness import single
from bluebellfold.relay.upstreams.flow_directory import (
    ENTRY_SECONDS,
    FlowDirectory,
)
from bluebellfold.relay.upstreams.tests.harness import (
    BALANCER,
    DATA,
    LOOKUP,
    agent_with_balancer,
    agent_with_flow,
    with_complete_flow_table,
)

OWNER = ('10.0.0.9', 8172)
HINT = FlowOwner(flow=DATA.flow, owner=OWNER)


def test_home_names_the_owner_that_it_was_told():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, HINT)
    agent.receive_message(BALANCER, LOOKUP)
    assert single(agent.transport.sent) == (BALANCER, HINT)


def test_home_that_knows_all_flows_denies_with_its_hint():
    agent = with_complete_flow_table(agent_with_balancer())
    agent.receive_message(BALANCER, HINT)
    agent.receive_message(BALANCER, LOOKUP)
    reply = single(agent.transport.pop_messages(FlowOwner))
    assert (reply.owner, reply.denies) == (OWNER, True)


def test_own_flow_goes_before_what_the_home_was_told():
    agent = agent_with_flow()
    agent.receive_message(BALANCER, HINT)
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, LOOKUP)
    reply = single(agent.transport.pop_messages(FlowFound))
    assert reply.flow == DATA.flow


def test_home_forgets_an_owner_that_is_not_repeated():
    agent = with_complete_flow_table(agent_with_balancer())
    agent.receive_message(BALANCER, HINT)
    agent.clock.advance(ENTRY_SECONDS + 1)
    agent.announce(sequence=int(agent.now))
    agent.relay.tick(agent.now)
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowNotFound)


def test_full_directory_drops_the_oldest_entry():
    directory = FlowDirectory(max_entries=2)
    for number, flow in enumerate((b'a', b'b', b'a', b'c')):
        directory.record(flow, OWNER, number)
    assert directory.find(b'b') is None
    assert directory.find(b'a') == directory.find(b'c') == OWNER
    assert len(directory) == 2
