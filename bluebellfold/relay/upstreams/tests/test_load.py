"""Test what an agent counts as in flight, and when it reports load."""

import pytest

from bluebellfold.relay.agents import (
    DOWN,
    DRAINING,
    ForwardedPacket,
    LoadReport,
)
from bluebellfold.relay.tests.harness import (
    single,
    subscribe_of,
    versions_of,
)
from bluebellfold.relay.upstreams.tests.harness import (
    ANSWER,
    ANSWER_SEQUENCE,
    BALANCER,
    DATA,
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
    FINISH,
    client_packet,
    upstream_packet,
)


def test_balancer_that_offers_a_flow_gets_a_load_report_at_once():
    agent = agent_with_balancer()
    agent.receive_message(OTHER_BALANCER, SUBSCRIBE)
    agent.transport.sent.clear()
    offer(agent)
    address, report = single(agent.transport.sent)
    assert (address, report.load.in_flight) == (BALANCER, 1)


# Guards against lookups of lost flows that wait for an agent that has left:
# balancers keep an agent whose entry is gone, unless its upstream is down.
def test_agent_whose_upstream_has_deregistered_stays_down_at_its_stop():
    agent = agent_with_balancer()
    agent.relay.apply_deregistration('i-1', agent.now)
    assert last_load(agent).state == DOWN
    agent.relay.stop(agent.now)
    agent.advance(0.3)
    assert last_load(agent).state == DOWN


def test_stopping_agent_with_an_upstream_is_draining():
    agent = agent_with_balancer()
    agent.relay.stop(agent.now)
    assert last_load(agent).state == DRAINING


def test_upload_is_not_in_flight_until_the_upstream_has_it():
    # The upload of 40 KB over a slow link takes longer than the work on it.
    agent = agent_with_balancer()
    agent.transport.request_bytes = lambda packet: 100
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    begin = client_packet(
        flags=ACKNOWLEDGE,
        acknowledged=ANSWER_SEQUENCE + 1,
        payload=b'x' * 60,
    )
    rest = client_packet(
        flags=ACKNOWLEDGE,
        acknowledged=ANSWER_SEQUENCE + 1,
        sequence=60,
        payload=b'x' * 40,
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=begin))
    assert agent.relay.in_flight(agent.now) == 0
    agent.receive_message(BALANCER, ForwardedPacket(packet=rest))
    assert agent.relay.in_flight(agent.now) == 1


def test_upload_with_a_lost_packet_waits_for_the_retransmission():
    # A congested slow link loses packets, which clients retransmit after 0.2 s
    # or more.
    agent = agent_with_balancer()
    agent.transport.request_bytes = lambda packet: 150
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    parts = [
        client_packet(
            flags=ACKNOWLEDGE,
            acknowledged=ANSWER_SEQUENCE + 1,
            sequence=start,
            payload=b'x' * 50,
        )
        for start in (0, 100, 50)
    ]
    for part in parts[:2]:
        agent.receive_message(BALANCER, ForwardedPacket(packet=part))
    assert agent.relay.in_flight(agent.now) == 0
    agent.receive_message(BALANCER, ForwardedPacket(packet=parts[2]))
    assert agent.relay.in_flight(agent.now) == 1


def test_upstream_counts_as_warming_up_until_its_announcement():
    agent = agent_with_balancer(announced=False)
    agent.advance(0.25)
    assert last_load(agent).warming
    agent.announce()
    agent.advance(0.25)
    assert not last_load(agent).warming


def test_request_is_in_flight_until_it_is_answered():
    agent = agent_with_flow()
    assert agent.relay.in_flight(agent.now) == 1
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'HTTP/1.1 200')
    )
    assert agent.relay.in_flight(agent.now) == 0


def test_request_of_a_client_that_gave_up_is_not_in_flight():
    # After an outage of all VMs, clients abandoned their requests. Agents still
    # counted these, and declined new flows as full for ten seconds.
    agent = agent_with_flow()
    agent.clock.advance(2.1)
    assert agent.relay.in_flight(agent.now) == 0


def test_request_is_not_in_flight_after_its_client_ends_the_flow():
    agent = agent_with_flow()
    end = client_packet(flags=FINISH, acknowledged=ANSWER_SEQUENCE + 1)
    agent.receive_message(BALANCER, ForwardedPacket(packet=end))
    assert agent.relay.in_flight(agent.now) == 0


def test_request_that_arrives_after_the_end_of_its_flow_is_not_counted():
    # A client that gives up while its flow opens sends the request and the end
    # together, and they may be reordered.
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    end = client_packet(
        flags=ACKNOWLEDGE | FINISH,
        acknowledged=ANSWER_SEQUENCE + 1,
        sequence=len(b'GET /'),
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=end))
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered[-2:] == [end, DATA]
    assert agent.relay.in_flight(agent.now) == 0


def test_opening_flow_that_its_client_abandons_is_in_flight_briefly():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    assert agent.relay.in_flight(agent.now) == 1
    agent.clock.advance(0.15)
    assert agent.relay.in_flight(agent.now) == 0


def test_retransmission_of_an_answered_request_is_not_in_flight():
    agent = agent_with_flow()
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'HTTP/1.1 200')
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.relay.in_flight(agent.now) == 0


# Load pattern: all processes are killed, and clients repeat requests that were
# answered meanwhile. Guards against upstreams that count as full for up to 2 s
# because of them, and new flows that wait.
def test_request_answered_before_the_restart_of_the_agent_is_not_in_flight():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    end = DATA.sequence + DATA.payload_bytes
    agent.receive_upstream_packet(
        upstream_packet(flags=ACKNOWLEDGE, acknowledged=end)
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert not agent.relay.in_flight(agent.now)
    following = client_packet(
        flags=ACKNOWLEDGE,
        sequence=end,
        acknowledged=DATA.acknowledged,
        payload=b'GET /next',
    )
    agent.receive_message(BALANCER, ForwardedPacket(packet=following))
    assert agent.relay.in_flight(agent.now) == 1


# Guards against requests that count as none for the life of their flow: a late
# packet of an earlier flow from the same client port acknowledged numbers that
# are beyond those of the new flow.
def test_late_packet_of_an_earlier_flow_acknowledges_nothing():
    agent = with_complete_flow_table(agent_with_balancer())
    offer(agent)
    late = upstream_packet(
        flags=ACKNOWLEDGE,
        sequence=900_000,
        acknowledged=1_000_000,
        payload=b'HTTP/1.1 200 OK',
    )
    agent.receive_upstream_packet(late)
    agent.receive_upstream_packet(ANSWER)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.relay.in_flight(agent.now) == 1
    response = upstream_packet(
        flags=ACKNOWLEDGE,
        sequence=ANSWER_SEQUENCE + 1,
        acknowledged=DATA.sequence + DATA.payload_bytes,
        payload=b'HTTP/1.1 200 OK',
    )
    agent.receive_upstream_packet(response)
    assert not agent.relay.in_flight(agent.now)
    assert agent.transport.to_clients == [late, ANSWER, response]


def test_load_is_reported_after_a_change_and_periodically():
    agent = agent_with_balancer()
    agent.transport.sent.clear()
    offer(agent)
    agent.advance(0.02)
    load = last_load(agent)
    assert load.in_flight == 1
    assert load.offers_seen == 1
    agent.receive_upstream_packet(ANSWER)
    agent.advance(0.05)
    agent.transport.sent.clear()
    agent.advance(0.21)
    assert agent.transport.pop_messages(LoadReport)


def test_agent_with_few_followers_does_not_report_each_change():
    # In a large fleet an agent has four followers, and its load changes with
    # each packet: 143 reports a second were a fifth of all datagrams.
    agent = agent_with_balancer()
    followers = [(f'10.1.0.{number}', 7720) for number in range(4)]
    for follower in followers:
        agent.receive_message(follower, SUBSCRIBE)
    agent.transport.sent.clear()
    for _ in range(200):
        agent.relay._reporter.mark_changed()
        agent.advance(0.005)
    reports = agent.transport.pop_messages(LoadReport)
    assert len(reports) <= 17 * (1 + len(followers))


def test_next_subscribe_message_adds_lost_offers_to_the_count():
    agent = agent_with_balancer()
    agent.receive_message(BALANCER, subscribe_of(offers_sent=9))
    agent.advance(0.3)
    assert last_load(agent).offers_seen == 9


def test_subscription_without_renewal_expires():
    agent = agent_with_balancer()
    for _ in range(5):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.relay.tick(agent.now)
    assert agent.relay.balancer_count == 0


def test_newest_version_among_the_balancers_is_reported():
    agent = agent_with_balancer()
    agent.receive_message(
        OTHER_BALANCER, subscribe_of(versions=versions_of(configuration=8))
    )
    agent.advance(0.3)
    assert last_load(agent).versions.configuration == 8


def test_report_tells_the_rate_of_new_flows_of_all_balancers():
    agent = agent_with_balancer()
    offer(agent)
    # A copy of the opening packet is no new flow.
    offer(agent)
    rate = last_load(agent).request_stats.arrivals_per_second
    assert rate == pytest.approx(1, rel=0.1)
    agent.advance(5)
    stats = last_load(agent).request_stats
    assert stats.arrivals_per_second == pytest.approx(0, abs=0.1)
