"""Test when an agent takes its upstream for younger than itself."""

import pytest

from bluebellfold.relay.agents import (
    FlowLookup,
    FlowPresumedAbsent,
    FlowUncertain,
    ForwardedPacket,
)
from bluebellfold.relay.tests.harness import (
    UPSTREAM_START_MS,
    Agent,
    subscribe_of,
)
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.tests.harness import (
    BALANCER,
    DATA,
    LOOKUP,
    SUBSCRIBE,
    offer,
)

# The agent's process is created 0.4 s before its upstream starts, and is ready
# 0.2 s after.
STARTED = AgentStart(
    created_ms=UPSTREAM_START_MS - 400,
    ready_ms=UPSTREAM_START_MS + 200,
    ready_at=100,
)


def look_up(agent):
    agent.receive_message(BALANCER, SUBSCRIBE)
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, LOOKUP)
    return agent


# Guards against FLOW broken by a denial on start times alone: the balancers
# that had offered flows to the earlier agent had restarted too, so that none of
# them told, and the upstream had started on a clock that was ahead.
def test_start_times_alone_only_presume_that_a_flow_is_absent():
    agent = look_up(Agent(agent_start=STARTED))
    assert agent.transport.pop_messages(FlowPresumedAbsent)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered == [DATA]


# Guards against FLOW broken by an agent that compared its start time with that
# of its upstream, which had started on a clock that was ahead.
@pytest.mark.parametrize('offers_sent', [(3,), (0, 1), (1, 0)])
def test_upstream_with_flows_of_an_earlier_agent_is_not_younger(offers_sent):
    agent = Agent(agent_start=STARTED)
    for number, offers in enumerate(offers_sent):
        agent.receive_message(
            (f'10.1.0.{number + 1}', 7720), subscribe_of(offers_sent=offers)
        )
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowUncertain)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered == [DATA]


# Guards against lost flows that are reset seconds late: after a power loss, a
# balancer that sampled the agent again told of its offers to this very agent,
# which took them for offers to an earlier one.
def test_offers_that_this_agent_received_are_no_evidence_of_an_earlier_one():
    agent = Agent(agent_start=STARTED)
    agent.receive_message(BALANCER, subscribe_of(once=True))
    offer(agent)
    agent.advance(5)
    agent.announce(sequence=2)
    agent.receive_message(BALANCER, subscribe_of(once=True, offers_sent=1))
    unknown = FlowLookup(flow=bytes(12), acknowledged=1)
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, unknown)
    assert agent.transport.pop_messages(FlowPresumedAbsent)


def test_lookup_is_uncertain_before_the_first_subscription():
    # A balancer that has offered flows to an earlier agent may follow.
    agent = Agent(agent_start=STARTED)
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowUncertain)


def test_lookup_is_uncertain_before_the_first_announcement():
    agent = look_up(Agent(agent_start=STARTED, announced=False))
    assert agent.transport.pop_messages(FlowUncertain)


@pytest.mark.parametrize(
    ('announced', 'why'),
    [
        (
            {'born': UPSTREAM_START_MS - 401},
            'the upstream started before the process',
        ),
        (
            {'born': UPSTREAM_START_MS + 5000},
            'the wall clock was set back since',
        ),
    ],
)
def test_lookup_is_uncertain_if_the_upstream_may_be_older(announced, why):
    agent = Agent(agent_start=STARTED, announced=False)
    agent.announce(**announced)
    assert look_up(agent).transport.pop_messages(FlowUncertain), why


def test_lookup_is_uncertain_after_a_restart_of_the_upstream():
    # Flows may have opened at the upstream before its announcement.
    agent = Agent(agent_start=STARTED)
    agent.announce(born=UPSTREAM_START_MS + 100, sequence=1, name='i-2')
    assert look_up(agent).transport.pop_messages(FlowUncertain)
