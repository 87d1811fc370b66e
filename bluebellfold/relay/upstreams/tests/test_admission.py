"""Test which new flows an agent admits to its upstream."""

import pytest

from bluebellfold.relay.agents import (
    DECLINED_DOWN,
    DECLINED_DRAINING,
    DECLINED_FULL,
    DECLINED_OTHER_SERVICE,
    DECLINED_REJECTED,
    DECLINED_UNANSWERED,
    DOWN,
    DRAINING,
    READY,
    Declined,
    ForwardedPacket,
    ReturnedPacket,
)
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.tests.harness import (
    TICK_SECONDS,
    single,
)
from bluebellfold.relay.upstreams.tests.harness import (
    ANSWER,
    BALANCER,
    DATA,
    SUBSCRIBE,
    agent_with_balancer,
    agent_with_flow,
    last_load,
    offer,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    RESET,
    client_packet,
    opening_packet,
    returned_packet,
    upstream_packet,
)

# The upstream is to leave, or its agent.
DRAINS = {
    'upstream': lambda agent: agent.announce(sequence=2, draining=True),
    'agent': lambda agent: agent.relay.stop(agent.now),
}


def test_offered_flow_is_forwarded_and_its_answer_sent_to_the_client():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.receive_upstream_packet(ANSWER)
    assert agent.transport.delivered == [packet]
    assert agent.transport.to_clients == [ANSWER]


def test_draining_upstream_gets_no_new_flow():
    agent = agent_with_balancer()
    agent.announce(sequence=2, draining=True)
    assert last_load(agent).state == DRAINING, 'balancers get a report at once'
    offer(agent)
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_DRAINING
    assert not agent.transport.delivered


# Guards against an untrue reset: the balancer took the declined copy for a flow
# that hasn't run, although the upstream had opened it and its answer was on the
# way.
@pytest.mark.parametrize('drain', DRAINS.values(), ids=DRAINS.keys())
def test_copy_of_an_accepted_opening_packet_passes_during_a_drain(drain):
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    drain(agent)
    copy = opening_packet(attempt=1)
    offer(agent, copy)
    assert not agent.transport.pop_messages(Declined)
    assert agent.transport.delivered[1:] == [copy]


# Guards against an untrue reset: the upstream has opened the flow, and later
# leaves the opening packet of another one unanswered.
def test_copy_of_an_accepted_opening_packet_may_have_run_while_down():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    agent.advance(0.11)
    assert agent.relay.state(agent.now) == DOWN
    agent.transport.sent.clear()
    offer(agent, opening_packet(attempt=1))
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_UNANSWERED
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered[-1] == DATA, 'the flow is kept'


@pytest.mark.parametrize('drain', DRAINS.values(), ids=DRAINS.keys())
def test_new_flow_of_a_reused_port_is_declined_during_a_drain(drain):
    agent = agent_with_balancer()
    offer(agent)
    drain(agent)
    offer(agent, client_packet(flags=OPEN, sequence=77_000))
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_DRAINING
    assert len(agent.transport.delivered) == 1


def test_flow_of_another_service_is_declined():
    agent = agent_with_balancer()
    offer(agent, service='makeroom')
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_OTHER_SERVICE
    assert not agent.transport.delivered


def test_late_announcement_of_an_earlier_start_is_ignored():
    agent = agent_with_balancer()
    agent.announce(born=2_000_000, name='i-2', draining=True)
    assert not agent.announce(born=1_500_000, sequence=99)
    assert agent.relay.state(agent.now) == DRAINING


def test_late_announcement_of_the_same_start_is_ignored():
    agent = agent_with_balancer()
    agent.announce(sequence=7, draining=True)
    assert not agent.announce(sequence=6)
    assert agent.relay.state(agent.now) == DRAINING


def test_deregistration_of_an_earlier_start_is_ignored():
    agent = agent_with_balancer()
    agent.announce(born=2_000_000, name='i-2')
    agent.relay.apply_deregistration('i-1', agent.now)
    assert agent.relay.state(agent.now) == READY
    agent.relay.apply_deregistration('i-2', agent.now)
    assert agent.relay.state(agent.now) == DOWN


def test_upstream_is_down_after_missed_announcements_until_the_next():
    agent = agent_with_balancer()
    agent.advance(2.4)
    assert agent.relay.state(agent.now) == READY
    agent.advance(0.2)
    assert agent.relay.state(agent.now) == DOWN
    offer(agent)
    assert agent.transport.pop_messages(Declined)[0].reason == DECLINED_DOWN
    agent.announce(sequence=2)
    assert agent.relay.state(agent.now) == READY


def test_unanswered_opening_packet_is_declined_within_100_ms():
    # The first flow shows that an upstream has stopped responding.
    agent = agent_with_balancer()
    offer(agent)
    agent.advance(0.11)
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_UNANSWERED
    assert agent.relay.state(agent.now) == DOWN


def test_upstream_that_refuses_a_packet_is_down():
    agent = agent_with_flow()
    agent.relay.handle_refusal(agent.now)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.pop_messages(ReturnedPacket)
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    assert agent.transport.pop_messages(Declined)[0].reason == DECLINED_DOWN


def test_full_upstream_gets_no_new_flow():
    agent = agent_with_balancer()
    for port in range(11):
        client = ('100.64.0.9', 1000 + port)
        offer(agent, opening_packet(client=client))
        agent.receive_upstream_packet(
            upstream_packet(client=client, flags=OPEN | ACKNOWLEDGE)
        )
    assert len(agent.transport.delivered) == 8
    assert agent.transport.pop_messages(Declined)[0].reason == DECLINED_FULL


def test_offer_is_declined_above_its_limit_of_in_flight_requests():
    agent = agent_with_balancer()
    offer(agent)
    agent.transport.sent.clear()
    other = opening_packet(client=('100.64.0.9', 1))
    offer(agent, other, max_in_flight=1)
    assert len(agent.transport.delivered) == 1
    (_, report), (_, declined) = agent.transport.sent
    assert (report.load.in_flight, declined.reason) == (1, DECLINED_FULL)


def test_upstream_that_warms_up_has_less_capacity():
    agent = agent_with_balancer(announced=False)
    agent.announce(warmup_seconds=2)
    for port in range(12):
        offer(agent, opening_packet(client=('100.64.0.9', 1000 + port)))
    assert len(agent.transport.delivered) == 5


def test_opening_packet_that_the_upstream_resets_is_declined():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.receive_upstream_packet(upstream_packet(flags=RESET))
    assert single(agent.transport.pop_messages(Declined)).packet == packet
    assert not agent.transport.to_clients


# Guards against flows that are offered over and over to an agent whose upstream
# had left before a power loss: the agent counted as ready without one.
def test_unannounced_upstream_that_rejects_a_flow_is_down_till_announced():
    agent = agent_with_balancer(announced=False)
    packet = opening_packet()
    offer(agent, packet)
    agent.receive_upstream_packet(
        returned_packet(packet, tag=balancer_tag(BALANCER))
    )
    assert last_load(agent).state == DOWN, 'balancers get a report at once'
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    declined = agent.transport.pop_messages(Declined)
    assert [message.reason for message in declined] == [
        DECLINED_REJECTED,
        DECLINED_DOWN,
    ]
    agent.announce()
    assert last_load(agent).state == READY


# Guards against upstreams that take no flows for an interval after all agents
# were restarted under load: one that was full and rejected a flow counted as
# down until its announcement, though it served others.
def test_unannounced_upstream_that_serves_may_reject_a_flow():
    agent = agent_with_balancer(announced=False)
    response = upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK')
    agent.receive_upstream_packet(response)
    rejected = opening_packet(client=('100.64.0.8', 9))
    offer(agent, rejected)
    agent.receive_upstream_packet(
        returned_packet(rejected, tag=balancer_tag(BALANCER))
    )
    assert agent.relay.state(agent.now) == READY


def test_upstream_that_rejects_a_flow_and_serves_another_is_ready():
    agent = agent_with_balancer(announced=False)
    rejected = opening_packet(client=('100.64.0.8', 9))
    offer(agent, rejected)
    agent.receive_upstream_packet(
        returned_packet(rejected, tag=balancer_tag(BALANCER))
    )
    assert agent.relay.state(agent.now) == DOWN
    response = upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK')
    agent.receive_upstream_packet(response)
    agent.advance(TICK_SECONDS)
    assert last_load(agent).state == READY


def test_upstream_that_served_long_ago_and_rejects_a_flow_is_down():
    agent = agent_with_balancer(announced=False)
    response = upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK')
    agent.receive_upstream_packet(response)
    agent.advance(2.45)
    agent.receive_message(BALANCER, SUBSCRIBE)
    rejected = opening_packet(client=('100.64.0.8', 9))
    offer(agent, rejected)
    agent.advance(0.06)
    agent.receive_upstream_packet(
        returned_packet(rejected, tag=balancer_tag(BALANCER))
    )
    assert agent.relay.state(agent.now) == DOWN


# Guards against a line for each flow that an upstream without an announcement
# rejects, or each time that it sends something in between.
def test_unannounced_upstream_that_rejects_flows_is_reported_once(caplog):
    caplog.set_level('INFO')
    agent = agent_with_balancer(announced=False)
    packets = [
        opening_packet(client=('100.64.0.8', 1000 + port)) for port in range(5)
    ]
    for packet in packets:
        offer(agent, packet)
    for packet in packets:
        agent.receive_upstream_packet(
            returned_packet(packet, tag=balancer_tag(BALANCER))
        )
        agent.receive_upstream_packet(upstream_packet(flags=RESET))
    for _ in range(100):
        agent.advance(0.05)
        offer(agent, opening_packet(client=('100.64.0.9', 9)))
    assert len(agent.transport.delivered) == 5
    states = [
        record.state
        for record in caplog.records
        if getattr(record, 'event', '') == 'BBF0720'
    ]
    assert states == ['down']


def test_announced_upstream_that_rejects_a_flow_stays_ready():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.receive_upstream_packet(
        returned_packet(packet, tag=balancer_tag(BALANCER))
    )
    assert agent.relay.state(agent.now) == READY


def test_stopping_agent_declines_new_flows_and_forwards_the_others():
    agent = agent_with_flow()
    agent.relay.stop(agent.now)
    assert last_load(agent).state == DRAINING
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    assert agent.transport.pop_messages(Declined)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered[-1] == DATA
