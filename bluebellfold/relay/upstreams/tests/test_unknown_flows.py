"""Test on which evidence an agent denies a flow that it doesn't know."""

import pytest

from bluebellfold.relay.agents import (
    FlowNotFound,
    FlowUncertain,
    ForwardedPacket,
)
from bluebellfold.relay.tests.harness import subscribe_of
from bluebellfold.relay.upstreams.tests.harness import (
    ANSWER,
    BALANCER,
    DATA,
    LOOKUP,
    OTHER_BALANCER,
    agent_with_balancer,
    offer,
    with_complete_flow_table,
)


def pass_time(agent, seconds, *, idle_seconds, balancer=BALANCER):
    """Let seconds pass in which a balancer tells an idle time."""
    for _ in range(seconds):
        agent.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.receive_message(balancer, subscribe_of(idle_seconds=idle_seconds))


def agent_with_late_flow():
    """Return an agent whose flow opened long after the agent's start."""
    agent = with_complete_flow_table(agent_with_balancer())
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    return agent


def denies(agent):
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, LOOKUP)
    if agent.transport.pop_messages(FlowNotFound):
        return True
    assert agent.transport.pop_messages(FlowUncertain)
    return False


# Guards against FLOW broken by an idle time that is raised after the restart
# of an agent: it took its flow table for complete by the shorter one.
def test_raised_idle_time_prolongs_the_doubt_of_a_restarted_agent():
    agent = agent_with_balancer()
    pass_time(agent, 2, idle_seconds=5)
    pass_time(agent, 17, idle_seconds=15)
    assert not denies(agent)
    pass_time(agent, 3, idle_seconds=15)
    assert denies(agent)


@pytest.mark.parametrize(
    ('told', 'when'),
    [
        ((15, 5, 15), 'lowered, then raised'),
        ((5, 10, 15), 'raised twice'),
    ],
)
def test_flow_removed_under_a_shorter_idle_time_is_not_denied(told, when):
    agent = agent_with_late_flow()
    first, second, third = told
    pass_time(agent, 4, idle_seconds=first)
    pass_time(agent, 13, idle_seconds=second)
    pass_time(agent, 2, idle_seconds=third)
    assert not agent.relay.flow_count
    assert not denies(agent), when
    pass_time(agent, 4, idle_seconds=third)
    assert denies(agent), when


def test_flow_removed_under_a_shorter_idle_time_expires_at_last():
    agent = agent_with_late_flow()
    pass_time(agent, 13, idle_seconds=5)
    assert not agent.relay.flow_count
    assert denies(agent)
    pass_time(agent, 1, idle_seconds=15)
    assert not denies(agent)
    pass_time(agent, 8, idle_seconds=15)
    assert denies(agent)


def test_longest_idle_time_of_the_balancers_counts():
    # A balancer that hasn't learnt of the change goes on telling the old one.
    agent = agent_with_balancer()
    for _ in range(18):
        pass_time(agent, 1, idle_seconds=5)
        agent.receive_message(OTHER_BALANCER, subscribe_of(idle_seconds=15))
    assert not denies(agent)


def test_idle_time_stays_in_force_while_no_balancer_tells_it():
    agent = agent_with_balancer()
    pass_time(agent, 1, idle_seconds=15)
    agent.advance(5)
    pass_time(agent, 15, idle_seconds=0)
    assert denies(agent)
