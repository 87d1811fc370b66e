"""Test what an agent decides for the flows of its upstream."""

from bluebellfold.relay.agents import (
    DECLINED_DOWN,
    DECLINED_DRAINING,
    DECLINED_FULL,
    DECLINED_SERVICE,
    DECLINED_UNANSWERED,
    DOWN,
    DRAINING,
    READY,
    Carry,
    Declined,
    Denied,
    Held,
    LoadReport,
    MayHold,
    NotHeld,
    Offer,
    Seek,
)
from bluebellfold.relay.balancers import tag_of
from bluebellfold.relay.tests.scene import (
    COUNTER,
    Agent,
    hello_of,
    only,
    versions_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    FINISH,
    OPEN,
    RESET,
    client_packet,
    opening_packet,
    returned_packet,
    upstream_packet,
)

BALANCER = ('10.1.0.1', 7720)
OTHER = ('10.1.0.2', 7720)
ANSWER_SEQUENCE = 5000
ANSWER = upstream_packet(flags=OPEN | ACKNOWLEDGE, sequence=ANSWER_SEQUENCE)
DATA = client_packet(
    flags=ACKNOWLEDGE, acknowledged=ANSWER_SEQUENCE + 1, payload=b'GET /'
)
SOUGHT = Seek(flow=DATA.flow, acknowledged=DATA.acknowledged)
HELLO = hello_of()


def agent_with_balancer(**fields):
    agent = Agent(**fields)
    agent.hear(BALANCER, HELLO)
    agent.outlet.told.clear()
    return agent


def offer(
    agent, packet=None, *, service=COUNTER, balancer=BALANCER, most_busy=255
):
    packet = packet or opening_packet()
    agent.hear(
        balancer, Offer(packet=packet, service=service, most_busy=most_busy)
    )


def agent_with_flow():
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    agent.hear(BALANCER, Carry(packet=DATA))
    return agent


def certain(agent):
    """Let the agent watch until it knows all flows of its upstream."""
    for _ in range(25):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.hear(BALANCER, HELLO)
        agent.relay.tick(agent.now)
    agent.outlet.told.clear()
    return agent


def last_load(agent):
    return agent.outlet.take(LoadReport)[-1].load


def test_offered_flow_goes_to_the_upstream_and_its_answer_to_the_client():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.send(ANSWER)
    assert agent.outlet.delivered == [packet]
    assert agent.outlet.to_clients == [ANSWER]


def test_balancer_that_offers_a_flow_is_told_the_load_at_once():
    agent = agent_with_balancer()
    agent.hear(OTHER, HELLO)
    agent.outlet.told.clear()
    offer(agent)
    address, report = only(agent.outlet.told)
    assert (address, report.load.busy) == (BALANCER, 1)


def test_draining_upstream_takes_no_new_flow_from_its_acknowledgement_on():
    agent = agent_with_balancer()
    agent.announce(sequence=2, draining=True)
    assert last_load(agent).state == DRAINING, 'balancers are told at once'
    offer(agent)
    declined = only(agent.outlet.take(Declined))
    assert declined.reason == DECLINED_DRAINING
    assert not agent.outlet.delivered


def test_copy_of_an_opening_packet_is_declined_once_the_upstream_drains():
    agent = agent_with_balancer()
    offer(agent)
    agent.announce(sequence=2, draining=True)
    offer(agent, opening_packet(attempt=1))
    assert len(agent.outlet.delivered) == 1


def test_flow_of_another_service_never_reaches_the_upstream():
    agent = agent_with_balancer()
    offer(agent, service='makeroom')
    declined = only(agent.outlet.take(Declined))
    assert declined.reason == DECLINED_SERVICE
    assert not agent.outlet.delivered


def test_late_announcement_of_an_earlier_start_changes_nothing():
    agent = agent_with_balancer()
    agent.announce(born=2_000_000, name='i-2', draining=True)
    assert not agent.announce(born=1_500_000, sequence=99)
    assert agent.relay.state(agent.now) == DRAINING


def test_late_announcement_of_one_start_changes_nothing():
    agent = agent_with_balancer()
    agent.announce(sequence=7, draining=True)
    assert not agent.announce(sequence=6)
    assert agent.relay.state(agent.now) == DRAINING


def test_withdrawal_of_an_earlier_start_changes_nothing():
    agent = agent_with_balancer()
    agent.announce(born=2_000_000, name='i-2')
    agent.relay.withdraw('i-1', agent.now)
    assert agent.relay.state(agent.now) == READY
    agent.relay.withdraw('i-2', agent.now)
    assert agent.relay.state(agent.now) == DOWN


def test_silent_upstream_is_down_and_back_with_its_next_sign():
    agent = agent_with_balancer()
    agent.wait(2.4)
    assert agent.relay.state(agent.now) == READY
    agent.wait(0.2)
    assert agent.relay.state(agent.now) == DOWN
    offer(agent)
    assert agent.outlet.take(Declined)[0].reason == DECLINED_DOWN
    agent.announce(sequence=2)
    assert agent.relay.state(agent.now) == READY


def test_unanswered_opening_packet_goes_back_within_a_tenth_of_a_second():
    # An upstream that has fallen silent is noticed by the first flow.
    agent = agent_with_balancer()
    offer(agent)
    agent.wait(0.11)
    declined = only(agent.outlet.take(Declined))
    assert declined.reason == DECLINED_UNANSWERED
    assert agent.relay.state(agent.now) == DOWN


def test_refused_packet_means_that_the_upstream_has_ended():
    agent = agent_with_flow()
    agent.relay.refuse(agent.now)
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.take(NotHeld)
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    assert agent.outlet.take(Declined)[0].reason == DECLINED_DOWN


def test_upstream_that_is_full_gets_no_new_flow():
    agent = agent_with_balancer()
    for port in range(11):
        client = ('100.64.0.9', 1000 + port)
        offer(agent, opening_packet(client=client))
        agent.send(upstream_packet(client=client, flags=OPEN | ACKNOWLEDGE))
    assert len(agent.outlet.delivered) == 8
    assert agent.outlet.take(Declined)[0].reason == DECLINED_FULL


def test_agent_that_is_busier_than_the_balancer_believes_declines():
    agent = agent_with_balancer()
    offer(agent)
    agent.outlet.told.clear()
    other = opening_packet(client=('100.64.0.9', 1))
    offer(agent, other, most_busy=1)
    assert len(agent.outlet.delivered) == 1
    (_, report), (_, declined) = agent.outlet.told
    assert (report.load.busy, declined.reason) == (1, DECLINED_FULL)


def test_upload_is_no_load_until_the_upstream_has_it():
    # 40 KB over a slow link take longer than the work on them.
    agent = agent_with_balancer()
    agent.outlet.request_bytes = lambda packet: 100
    offer(agent)
    agent.send(ANSWER)
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
    agent.hear(BALANCER, Carry(packet=begin))
    assert agent.relay.busy(agent.now) == 0
    agent.hear(BALANCER, Carry(packet=rest))
    assert agent.relay.busy(agent.now) == 1


def test_upload_with_a_lost_packet_is_no_load_until_it_is_sent_again():
    # A thin link that is full loses packets, and a client sends them again
    # after 0.2 s and more.
    agent = agent_with_balancer()
    agent.outlet.request_bytes = lambda packet: 150
    offer(agent)
    agent.send(ANSWER)
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
        agent.hear(BALANCER, Carry(packet=part))
    assert agent.relay.busy(agent.now) == 0
    agent.hear(BALANCER, Carry(packet=parts[2]))
    assert agent.relay.busy(agent.now) == 1


def test_upstream_that_warms_up_is_full_sooner():
    agent = agent_with_balancer(announced=False)
    agent.announce(warmup_seconds=2)
    for port in range(12):
        offer(agent, opening_packet(client=('100.64.0.9', 1000 + port)))
    assert len(agent.outlet.delivered) == 5


def test_upstream_that_has_not_announced_itself_may_be_warming_up():
    agent = agent_with_balancer(announced=False)
    agent.wait(0.25)
    assert last_load(agent).warming
    agent.announce()
    agent.wait(0.25)
    assert not last_load(agent).warming


def test_opening_packet_that_the_upstream_gives_back_is_declined():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.send(returned_packet(packet, tag=tag_of(BALANCER)))
    declined = only(agent.outlet.take(Declined))
    assert declined.packet.flow == packet.flow


def test_flow_that_the_restarted_upstream_lost_is_reset():
    agent = agent_with_flow()
    agent.send(upstream_packet(flags=ACKNOWLEDGE))
    agent.send(returned_packet(DATA, tag=tag_of(BALANCER)))
    assert len(agent.outlet.resets) == 1
    agent.hear(BALANCER, Carry(packet=DATA))
    assert len(agent.outlet.resets) == 1


def test_flow_is_not_reset_when_the_client_chose_another_upstream():
    # Two upstreams answered two copies of the opening packet.
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    chosen_elsewhere = client_packet(
        flags=ACKNOWLEDGE, acknowledged=900_000_000, payload=b'GET /'
    )
    agent.hear(BALANCER, Carry(packet=chosen_elsewhere))
    assert agent.outlet.take(NotHeld)
    assert len(agent.outlet.delivered) == 1
    assert not agent.outlet.resets


def test_flow_that_the_upstream_never_confirmed_is_denied_and_not_reset():
    # The client may have chosen another upstream, which serves the flow.
    agent = agent_with_flow()
    agent.send(returned_packet(DATA, tag=tag_of(BALANCER)))
    assert agent.outlet.take(NotHeld)
    assert not agent.outlet.resets


def test_client_chose_the_upstream_only_by_its_exact_sequence():
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    close = client_packet(flags=ACKNOWLEDGE, acknowledged=ANSWER_SEQUENCE + 500)
    agent.hear(BALANCER, Carry(packet=close))
    assert agent.outlet.take(NotHeld)


def test_reset_by_the_upstream_does_not_make_it_hold_the_flow():
    # An upstream that gives up a half-open flow resets it; the client may
    # be served by another upstream all the while.
    agent = agent_with_balancer()
    agent.send(upstream_packet(flags=RESET))
    agent.hear(OTHER, HELLO)
    agent.hear(OTHER, Carry(packet=DATA))
    agent.send(returned_packet(DATA, tag=tag_of(OTHER)))
    assert agent.outlet.take(NotHeld)
    assert not agent.outlet.resets


def test_port_used_again_is_a_new_flow_at_another_upstream():
    # A client reused a port; another balancer still had the earlier flow.
    agent = agent_with_flow()
    agent.send(upstream_packet(flags=ACKNOWLEDGE, sequence=5001, payload=b'x'))
    later = client_packet(
        flags=ACKNOWLEDGE, acknowledged=800_000_000, payload=b'GET /'
    )
    delivered = len(agent.outlet.delivered)
    agent.hear(BALANCER, Carry(packet=later))
    assert agent.outlet.take(NotHeld)
    assert len(agent.outlet.delivered) == delivered


def test_port_used_again_is_a_new_flow_at_the_same_upstream():
    agent = agent_with_flow()
    agent.send(upstream_packet(flags=ACKNOWLEDGE, sequence=5001, payload=b'x'))
    offer(agent, client_packet(flags=OPEN, sequence=77))
    agent.send(upstream_packet(flags=OPEN | ACKNOWLEDGE, sequence=9000))
    later = client_packet(flags=ACKNOWLEDGE, acknowledged=9001, payload=b'a')
    agent.hear(BALANCER, Carry(packet=later))
    assert agent.outlet.delivered[-1] == later
    assert not agent.outlet.take(NotHeld)


def test_packets_within_what_the_upstream_sent_belong_to_the_flow():
    agent = agent_with_flow()
    agent.send(
        upstream_packet(flags=ACKNOWLEDGE, sequence=5001, payload=b'x' * 900)
    )
    for acknowledged in (5001, 5400, 5901):
        packet = client_packet(flags=ACKNOWLEDGE, acknowledged=acknowledged)
        agent.hear(BALANCER, Carry(packet=packet))
        assert agent.outlet.delivered[-1] == packet


def test_reset_of_a_flow_that_is_only_sought_does_not_reach_the_client():
    # The upstream of a new machine resets what it doesn't know, while
    # another upstream serves the flow.
    agent = agent_with_balancer()
    agent.hear(BALANCER, Carry(packet=DATA))
    agent.send(upstream_packet(flags=RESET))
    assert not agent.outlet.to_clients
    assert agent.outlet.take(NotHeld) == [NotHeld(packet=DATA)]


def test_reset_of_a_flow_that_never_opened_here_does_not_reach_the_client():
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    agent.send(upstream_packet(flags=RESET))
    assert agent.outlet.to_clients == [ANSWER]


def test_opening_packet_that_the_upstream_resets_is_declined():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.send(upstream_packet(flags=RESET))
    assert only(agent.outlet.take(Declined)).packet == packet
    assert not agent.outlet.to_clients


def test_reset_of_an_open_flow_reaches_the_client():
    agent = agent_with_flow()
    reset = upstream_packet(flags=RESET)
    agent.send(reset)
    assert agent.outlet.to_clients[-1] == reset


def test_sought_flow_is_claimed_by_the_agent_that_holds_it():
    agent = agent_with_flow()
    agent.hear(OTHER, HELLO)
    agent.hear(OTHER, SOUGHT)
    assert agent.outlet.take(Held) == [Held(flow=DATA.flow)]


def test_sought_flow_is_denied_where_its_client_chose_another_upstream():
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    agent.hear(BALANCER, Seek(flow=DATA.flow, acknowledged=77))
    assert agent.outlet.take(Denied) == [Denied(flow=DATA.flow)]


def test_sought_flow_is_denied_by_an_agent_that_has_watched_long_enough():
    agent = certain(agent_with_balancer())
    agent.hear(BALANCER, SOUGHT)
    assert agent.outlet.take(Denied) == [Denied(flow=DATA.flow)]
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.take(NotHeld) == [NotHeld(packet=DATA)]
    assert not agent.outlet.delivered


def test_restarted_agent_asks_its_upstream_and_claims_what_it_answers():
    agent = agent_with_balancer()
    agent.hear(BALANCER, SOUGHT)
    assert agent.outlet.take(MayHold) == [MayHold(flow=DATA.flow)]
    assert not agent.outlet.delivered
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.delivered == [DATA]
    agent.send(upstream_packet(flags=ACKNOWLEDGE, payload=b'HTTP/1.1 200 OK'))
    assert agent.outlet.take(Held) == [Held(flow=DATA.flow)]
    assert len(agent.outlet.to_clients) == 1


def test_restarted_agent_denies_what_its_upstream_gives_back():
    agent = agent_with_balancer()
    agent.hear(BALANCER, Carry(packet=DATA))
    agent.send(returned_packet(DATA, tag=tag_of(BALANCER)))
    assert agent.outlet.take(NotHeld)
    assert not agent.outlet.resets


def test_request_counts_as_load_until_it_is_answered():
    agent = agent_with_flow()
    assert agent.relay.busy(agent.now) == 1
    agent.send(
        upstream_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'HTTP/1.1 200')
    )
    assert agent.relay.busy(agent.now) == 0


def test_request_of_a_client_that_gave_up_is_no_load():
    # All machines had been away: clients left requests without an answer,
    # and for ten seconds agents declined new flows as if they were full.
    agent = agent_with_flow()
    agent.clock.advance(2.1)
    assert agent.relay.busy(agent.now) == 0


def test_client_that_ends_its_flow_leaves_no_load():
    agent = agent_with_flow()
    end = client_packet(flags=FINISH, acknowledged=ANSWER_SEQUENCE + 1)
    agent.hear(BALANCER, Carry(packet=end))
    assert agent.relay.busy(agent.now) == 0


def test_request_that_arrives_behind_the_end_of_its_flow_is_no_load():
    # A client that gives up while its flow opens sends request and end at
    # once, and one may overtake the other.
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    end = client_packet(
        flags=ACKNOWLEDGE | FINISH,
        acknowledged=ANSWER_SEQUENCE + 1,
        sequence=len(b'GET /'),
    )
    agent.hear(BALANCER, Carry(packet=end))
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.delivered[-2:] == [end, DATA]
    assert agent.relay.busy(agent.now) == 0


def test_flow_whose_client_left_before_it_opened_is_load_for_a_moment():
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    assert agent.relay.busy(agent.now) == 1
    agent.clock.advance(0.15)
    assert agent.relay.busy(agent.now) == 0


def test_repeated_packet_of_an_answered_request_is_no_load():
    agent = agent_with_flow()
    agent.send(
        upstream_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'HTTP/1.1 200')
    )
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.relay.busy(agent.now) == 0


def test_stopping_agent_takes_no_new_flow_and_carries_the_others():
    agent = agent_with_flow()
    agent.relay.stop(agent.now)
    assert last_load(agent).state == DRAINING
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    assert agent.outlet.take(Declined)
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.delivered[-1] == DATA


def test_load_is_reported_after_a_change_and_regularly():
    agent = agent_with_balancer()
    agent.outlet.told.clear()
    offer(agent)
    agent.wait(0.02)
    load = last_load(agent)
    assert load.busy == 1
    assert load.offers_seen == 1
    agent.send(ANSWER)
    agent.wait(0.05)
    agent.outlet.told.clear()
    agent.wait(0.21)
    assert agent.outlet.take(LoadReport)


def test_lost_offers_are_counted_by_the_next_hello():
    agent = agent_with_balancer()
    agent.hear(BALANCER, hello_of(offers_sent=9))
    agent.wait(0.3)
    assert last_load(agent).offers_seen == 9


def test_silent_balancer_is_told_no_more():
    agent = agent_with_balancer()
    for _ in range(5):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.relay.tick(agent.now)
    assert agent.relay.balancers == 0


def test_newest_version_that_balancers_named_is_reported():
    agent = agent_with_balancer()
    agent.hear(OTHER, hello_of(versions=versions_of(configuration=8)))
    agent.wait(0.3)
    assert last_load(agent).versions.configuration == 8
