"""Test how an agent forwards the packets of its upstream's flows."""

import pytest

from bluebellfold.relay.agents import (
    DECLINED_DOWN,
    DOWN,
    Declined,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowUncertain,
    ForwardedPacket,
    ReturnedPacket,
)
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.tests.harness import (
    Agent,
    single,
    subscribe_of,
)
from bluebellfold.relay.upstreams.tests.harness import (
    ANSWER,
    ANSWER_SEQUENCE,
    BALANCER,
    DATA,
    LOOKUP,
    OTHER_BALANCER,
    SUBSCRIBE,
    agent_with_balancer,
    agent_with_flow,
    last_load,
    offer,
    with_complete_flow_table,
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


def test_opening_packet_that_the_upstream_returns_is_declined():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.receive_upstream_packet(
        returned_packet(packet, tag=balancer_tag(BALANCER))
    )
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.packet.flow == packet.flow


def test_flow_that_a_restarted_upstream_lost_is_reset():
    agent = agent_with_flow()
    agent.receive_upstream_packet(upstream_packet(flags=ACKNOWLEDGE))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert len(agent.transport.resets) == 1
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert len(agent.transport.resets) == 1


def test_flow_is_not_reset_when_the_client_chose_another_upstream():
    # Two upstreams answered two copies of the opening packet.
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    chosen_elsewhere = client_packet(
        flags=ACKNOWLEDGE, acknowledged=900_000_000, payload=b'GET /'
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=chosen_elsewhere))
    assert agent.transport.pop_messages(ReturnedPacket)
    assert len(agent.transport.delivered) == 1
    assert not agent.transport.resets


def test_flow_that_the_upstream_never_confirmed_is_not_reset():
    # The client may have chosen another upstream, which serves the flow.
    agent = agent_with_flow()
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert agent.transport.pop_messages(ReturnedPacket)
    assert not agent.transport.resets


def test_packet_that_acknowledges_unsent_data_is_returned():
    agent = with_complete_flow_table(agent_with_balancer())
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    mismatched = client_packet(
        flags=ACKNOWLEDGE, acknowledged=ANSWER_SEQUENCE + 500
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=mismatched))
    assert agent.transport.pop_messages(ReturnedPacket)


# Guards against living flows that are reset: a copy of the opening packet came
# to an agent after its restart, which took the flow for a new one and denied
# what the client had received before.
def test_late_copy_of_an_opening_packet_hides_no_open_flow():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    later = client_packet(
        flags=ACKNOWLEDGE,
        acknowledged=ANSWER_SEQUENCE + 500,
        payload=b'GET /next',
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=later))
    assert agent.transport.delivered[-1] == later
    assert not agent.transport.pop_messages(ReturnedPacket)


def test_late_copy_that_the_upstream_ignores_hides_no_open_flow():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowUncertain)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered[-1] == DATA
    response = upstream_packet(
        flags=ACKNOWLEDGE, sequence=ANSWER_SEQUENCE + 1, payload=b'HTTP/1.1 200'
    )
    agent.receive_upstream_packet(response)
    assert agent.transport.pop_messages(FlowFound)
    agent.advance(0.2)
    assert not agent.transport.pop_messages(Declined)
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowFound)


# Guards against living flows that are reset: an upstream answered an opening
# packet after its agent had declined the flow, and the agent took a later copy
# of the packet for the opening of another flow.
@pytest.mark.parametrize('client_has_sent', [True, False])
def test_late_copy_does_not_replace_a_flow_that_was_answered_late(
    client_has_sent,
):
    agent = with_complete_flow_table(agent_with_balancer())
    offer(agent)
    agent.advance(0.15)
    assert agent.transport.pop_messages(Declined)
    agent.receive_upstream_packet(ANSWER)
    if client_has_sent:
        agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    offer(agent, opening_packet(attempt=1))
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowFound)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered[-1] == DATA


def test_opening_packet_on_a_reused_port_replaces_a_learnt_flow():
    agent = with_complete_flow_table(agent_with_balancer())
    agent.receive_upstream_packet(ANSWER)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    reused = client_packet(flags=OPEN, sequence=DATA.sequence + 3_000_000)
    offer(agent, reused)
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowNotFound)


def test_packet_of_an_earlier_flow_does_not_end_an_opening():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert agent.transport.pop_messages(ReturnedPacket)
    agent.receive_upstream_packet(ANSWER)
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowFound)


def test_reset_by_the_upstream_does_not_add_a_flow():
    # An upstream resets a half-open flow that has timed out, while another
    # upstream may serve the client.
    agent = agent_with_balancer()
    agent.receive_upstream_packet(upstream_packet(flags=RESET))
    agent.receive_message(OTHER_BALANCER, SUBSCRIBE)
    agent.receive_message(OTHER_BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(OTHER_BALANCER))
    )
    assert agent.transport.pop_messages(ReturnedPacket)
    assert not agent.transport.resets


def test_packet_of_a_later_flow_with_a_reused_port_is_returned():
    # The later flow is at another upstream. A balancer that still has the
    # earlier flow in its cache forwards the packet to this agent.
    agent = agent_with_flow()
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, sequence=5001, payload=b'x')
    )
    later = client_packet(
        flags=ACKNOWLEDGE, acknowledged=800_000_000, payload=b'GET /'
    )
    delivered = len(agent.transport.delivered)
    agent.receive_message(BALANCER, ForwardedPacket(packet=later))
    assert agent.transport.pop_messages(ReturnedPacket)
    assert len(agent.transport.delivered) == delivered


def test_offered_flow_with_a_reused_port_replaces_the_earlier_flow():
    agent = agent_with_flow()
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, sequence=5001, payload=b'x')
    )
    offer(agent, client_packet(flags=OPEN, sequence=77))
    agent.receive_upstream_packet(
        upstream_packet(flags=OPEN | ACKNOWLEDGE, sequence=9000)
    )
    later = client_packet(flags=ACKNOWLEDGE, acknowledged=9001, payload=b'a')
    agent.receive_message(BALANCER, ForwardedPacket(packet=later))
    assert agent.transport.delivered[-1] == later
    assert not agent.transport.pop_messages(ReturnedPacket)


def test_packets_that_acknowledge_sent_data_are_forwarded():
    agent = agent_with_flow()
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, sequence=5001, payload=b'x' * 900)
    )
    for acknowledged in (5001, 5400, 5901):
        packet = client_packet(flags=ACKNOWLEDGE, acknowledged=acknowledged)
        agent.receive_message(BALANCER, ForwardedPacket(packet=packet))
        assert agent.transport.delivered[-1] == packet


def test_reset_of_an_unknown_flow_is_not_sent_to_the_client():
    # The upstream of a new VM resets flows that it doesn't know, while another
    # upstream serves them.
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(upstream_packet(flags=RESET))
    assert not agent.transport.to_clients
    assert agent.transport.pop_messages(ReturnedPacket) == [
        ReturnedPacket(packet=DATA)
    ]


def test_reset_of_a_half_open_flow_is_not_sent_to_the_client():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    agent.receive_upstream_packet(upstream_packet(flags=RESET))
    assert agent.transport.to_clients == [ANSWER]


def test_reset_of_an_open_flow_is_sent_to_the_client():
    agent = agent_with_flow()
    reset = upstream_packet(flags=RESET)
    agent.receive_upstream_packet(reset)
    assert agent.transport.to_clients[-1] == reset


def test_lookup_finds_the_flow_at_the_agent_that_holds_it():
    agent = agent_with_flow()
    agent.receive_message(OTHER_BALANCER, SUBSCRIBE)
    agent.receive_message(OTHER_BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowFound) == [
        FlowFound(flow=DATA.flow)
    ]


def test_lookup_fails_if_the_client_chose_another_upstream():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    agent.receive_message(BALANCER, FlowLookup(flow=DATA.flow, acknowledged=77))
    assert agent.transport.pop_messages(FlowNotFound) == [
        FlowNotFound(flow=DATA.flow)
    ]


def test_lookup_of_an_unknown_flow_fails_once_the_table_is_complete():
    agent = with_complete_flow_table(agent_with_balancer())
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowNotFound) == [
        FlowNotFound(flow=DATA.flow)
    ]
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.pop_messages(ReturnedPacket) == [
        ReturnedPacket(packet=DATA)
    ]
    assert not agent.transport.delivered


def test_balancer_without_a_configuration_completes_no_flow_table():
    # A balancer that has just started doesn't know the idle time and sends 0 s.
    # An agent that applied it reported flows as not found after 5 s without a
    # packet, and they were reset.
    agent = agent_with_balancer()
    agent.receive_message(OTHER_BALANCER, subscribe_of(idle_seconds=0))
    for _ in range(12):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.receive_message(BALANCER, SUBSCRIBE)
        agent.relay.tick(agent.now)
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowUncertain) == [
        FlowUncertain(flow=DATA.flow)
    ]


def test_subscription_without_an_idle_time_completes_no_flow_table():
    agent = Agent()
    agent.receive_message(BALANCER, subscribe_of(idle_seconds=0))
    for _ in range(12):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.receive_message(BALANCER, subscribe_of(idle_seconds=0))
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowUncertain)


def test_restarted_agent_learns_a_flow_that_its_upstream_answers():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, LOOKUP)
    assert agent.transport.pop_messages(FlowUncertain) == [
        FlowUncertain(flow=DATA.flow)
    ]
    assert not agent.transport.delivered
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered == [DATA]
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK')
    )
    assert agent.transport.pop_messages(FlowFound) == [
        FlowFound(flow=DATA.flow)
    ]
    assert len(agent.transport.to_clients) == 1


def test_restarted_agent_accepts_acknowledgements_beyond_what_it_saw():
    # The upstream retransmits data that the client already has, since the
    # acknowledgement was lost with the earlier agent.
    agent = agent_with_balancer()
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, sequence=6000, payload=b'x' * 100)
    )
    ahead = client_packet(
        flags=ACKNOWLEDGE, acknowledged=6000 + 100 + 2400, payload=b'GET /'
    )
    agent.receive_message(
        BALANCER, FlowLookup(flow=ahead.flow, acknowledged=ahead.acknowledged)
    )
    assert agent.transport.pop_messages(FlowFound) == [
        FlowFound(flow=ahead.flow)
    ]
    agent.receive_message(BALANCER, ForwardedPacket(packet=ahead))
    assert agent.transport.delivered == [ahead]


def test_restarted_agent_returns_packets_that_its_upstream_returns():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    agent.receive_upstream_packet(
        returned_packet(DATA, tag=balancer_tag(BALANCER))
    )
    assert agent.transport.pop_messages(ReturnedPacket)
    assert not agent.transport.resets


# Guards against lost flows and new ones that wait for a repeated packet, though
# the upstream's port was found closed: their packets were dropped.
def test_closed_port_gives_packets_under_way_back():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    opening = opening_packet(client=('100.64.0.8', 9))
    offer(agent, opening)
    agent.transport.sent.clear()
    agent.relay.handle_refusal(agent.now)
    assert single(agent.transport.pop_messages(ReturnedPacket)).packet == DATA
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.packet == opening
    assert declined.reason == DECLINED_DOWN
    assert last_load(agent).state == DOWN
