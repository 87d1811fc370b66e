"""Test on which evidence an agent denies a flow that it doesn't know."""

import pytest

from bluebellfold.relay.agents import (
    DOWN,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowPresumedAbsent,
    FlowUncertain,
    ForwardedPacket,
    ReturnedPacket,
)
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.tests.harness import (
    TICK_SECONDS,
    UPSTREAM_START_MS,
    Agent,
    subscribe_of,
)
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
from bluebellfold.relay.upstreams.unknown_flows import UnknownFlows
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    RESET,
    client_packet,
    opening_packet,
    returned_packet,
    upstream_packet,
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


# Guards against FLOW broken by a raised idle time at an agent that no balancer
# follows: it denied paused flows by the idle time that one sample had told.
def test_idle_time_of_a_past_sample_is_no_evidence():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, subscribe_of(idle_seconds=5, once=True))
    for _ in range(11):
        agent.advance(1)
        agent.announce(sequence=int(agent.now))
    assert not denies(agent)


@pytest.mark.parametrize('told', [None, 0])
def test_longest_idle_time_applies_while_no_balancer_tells_one(told):
    agent = agent_with_balancer()
    pass_time(agent, 1, idle_seconds=15)
    for _ in range(63):
        agent.advance(1)
        if told is not None:
            agent.receive_message(BALANCER, subscribe_of(idle_seconds=told))
    assert not denies(agent)
    agent.advance(2)
    assert denies(agent)


def test_lookup_is_uncertain_before_the_first_announcement():
    assert not denies(agent_with_balancer(announced=False))


def test_lookup_is_uncertain_after_a_restart_of_the_upstream():
    # Flows may have opened at the upstream before its announcement.
    agent = with_complete_flow_table(agent_with_balancer())
    assert denies(agent)
    agent.announce(born=UPSTREAM_START_MS + 100, sequence=1, name='i-2')
    assert not denies(agent)


# Guards against FLOW broken by one lost datagram after an agent's restart: an
# upstream that left an opening packet unanswered counted as one without flows.
def test_unanswered_opening_packet_is_no_evidence():
    agent = agent_with_balancer()
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    agent.advance(0.2)
    assert agent.relay.state(agent.now) == DOWN
    assert not denies(agent)


@pytest.mark.parametrize('sign', ['silence', 'deregistration'])
def test_upstream_that_counts_as_down_may_hold_flows(sign):
    agent = agent_with_balancer()
    if sign == 'silence':
        agent.advance(3)
    else:
        agent.relay.apply_deregistration('i-1', agent.now)
    assert agent.relay.state(agent.now) == DOWN
    assert not denies(agent)


# Guards against lost flows that are reset seconds late, since a listed agent
# without an upstream was uncertain until the idle time had passed.
def test_agent_that_hears_no_upstream_for_three_intervals_presumes():
    agent = agent_with_balancer(announced=False)
    run(agent, 2.8)
    assert not presumes(agent)
    run(agent, 0.4)
    assert presumes(agent)
    agent.announce()
    assert not presumes(agent)
    assert not denies(agent)


# Guards against living flows that are reset: an agent that was restarted while
# its upstream stood still for three intervals denied the flows.
def test_agent_of_an_upstream_that_stands_still_does_not_deny():
    agent = agent_with_balancer(announced=False)
    run(agent, 3.2)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert not agent.transport.pop_messages(ReturnedPacket)
    assert agent.transport.delivered == [DATA]
    response = upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK')
    agent.receive_upstream_packet(response)
    assert agent.transport.pop_messages(FlowFound)
    other = FlowLookup(flow=bytes(12), acknowledged=1)
    agent.receive_message(BALANCER, other)
    assert agent.transport.pop_messages(FlowUncertain)


def test_flow_of_a_silent_upstream_is_denied_once_its_port_gives_it_back():
    agent = agent_with_balancer(announced=False)
    run(agent, 3.2)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert agent.transport.pop_messages(ReturnedPacket)
    assert denies(agent)
    # The others cost no packet.
    agent.receive_message(BALANCER, FlowLookup(flow=bytes(12), acknowledged=1))
    assert agent.transport.pop_messages(FlowPresumedAbsent)


def presumes(agent):
    agent.transport.sent.clear()
    agent.receive_message(BALANCER, LOOKUP)
    return bool(agent.transport.pop_messages(FlowPresumedAbsent))


# Guards against an agent that stays listed when it stops, because its upstream
# had left before its start: lookups waited 3 s for each such agent.
@pytest.mark.parametrize(
    ('announced', 'seconds', 'left'),
    [(False, 2.8, False), (False, 3.2, True), (True, 3.2, False)],
)
def test_upstream_without_an_announcement_has_left(announced, seconds, left):
    agent = agent_with_balancer(announced=announced)
    run(agent, seconds)
    assert agent.relay.upstream_left is left


# Guards against living flows that are reset: an agent that got no announcements
# removed its entry when it stopped, though its upstream served, and all agents
# that were still listed denied the flows.
def test_upstream_that_serves_without_an_announcement_has_not_left():
    agent = agent_with_balancer(announced=False)
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK')
    )
    run(agent, 3.2)
    assert agent.relay.flow_count == 1
    assert not agent.relay.upstream_left


@pytest.mark.parametrize('ending', ['returned', 'reset'])
def test_upstream_that_only_gives_flows_back_has_left(ending):
    agent = agent_with_balancer(announced=False)
    packet = opening_packet()
    offer(agent, packet)
    gives_back = {
        'returned': returned_packet(packet, tag=balancer_tag(BALANCER)),
        'reset': upstream_packet(flags=RESET),
    }
    agent.receive_upstream_packet(gives_back[ending])
    run(agent, 3.2)
    assert agent.relay.upstream_left


# Guards against FLOW broken by a VM that stood still after its agent's start.
def test_time_in_which_the_agent_stood_still_is_no_silence():
    agent = agent_with_balancer(announced=False)
    agent.advance(5)
    run(agent, 2)
    assert not denies(agent)


def run(agent, seconds):
    """Let an agent run in ticks while a balancer renews its subscription."""
    for _ in range(round(seconds / TICK_SECONDS)):
        agent.advance(TICK_SECONDS)
    agent.receive_message(BALANCER, subscribe_of())


def test_closed_port_shows_that_there_is_no_flow():
    agent = agent_with_balancer()
    agent.relay.handle_refusal(agent.now)
    assert denies(agent)


@pytest.mark.parametrize('ending', ['returned', 'reset'])
def test_flow_that_the_upstream_gave_back_is_denied(ending):
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    gives_back = {
        'returned': returned_packet(DATA, tag=balancer_tag(BALANCER)),
        'reset': upstream_packet(flags=RESET),
    }
    agent.receive_upstream_packet(gives_back[ending])
    assert agent.transport.pop_messages(ReturnedPacket)
    assert denies(agent)


def test_flow_that_is_offered_again_is_no_longer_denied():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert denies(agent)
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    # The flow table is cleared, but the upstream may still hold the flow.
    agent.announce(born=UPSTREAM_START_MS + 100, sequence=1, name='i-2')
    assert not denies(agent)


# Guards against living flows that are reset: a packet of an earlier flow from
# the same port was returned, and then an opening packet was answered late.
def test_flow_that_opened_after_a_return_is_no_longer_denied():
    agent = agent_with_balancer()
    offer(agent)
    agent.advance(0.15)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert denies(agent)
    agent.receive_upstream_packet(ANSWER)
    # The flow table is cleared, but the upstream may still hold the flow.
    agent.announce(born=UPSTREAM_START_MS + 100, sequence=1, name='i-2')
    assert not denies(agent)


def test_flow_lost_in_a_power_failure_costs_its_upstream_one_packet():
    # The upstream has just started, like its agent. Clients send packets of
    # flows from before, several times, through whichever balancer.
    agent = Agent()
    balancers = [(f'10.1.0.{number}', 7720) for number in range(1, 7)]
    lost = [
        client_packet(
            source=('100.64.0.9', port), flags=ACKNOWLEDGE, payload=b'GET /'
        )
        for port in range(1000, 1500)
    ]
    for balancer in balancers:
        agent.receive_message(balancer, subscribe_of())
    for balancer in balancers:
        for packet in lost:
            sent = len(agent.transport.delivered)
            agent.receive_message(balancer, ForwardedPacket(packet=packet))
            if len(agent.transport.delivered) > sent:
                agent.receive_upstream_packet(
                    returned_packet(packet, tag=balancer_tag(balancer))
                )
    assert len(agent.transport.delivered) == len(lost)
    returned = agent.transport.pop_messages(ReturnedPacket)
    assert len(returned) == len(lost) * len(balancers)


def test_memory_of_returned_flows_is_bounded():
    unknown_flows = UnknownFlows(now=0, max_returned=2)
    flows = (b'a', b'b', b'c')
    for flow in flows:
        unknown_flows.record_returned(flow)
    judgements = [
        bool(unknown_flows.judge(each, 1, idle_seconds=15)) for each in flows
    ]
    assert judgements == [False, True, True]
