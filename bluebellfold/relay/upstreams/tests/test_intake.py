"""Test which new flows an agent takes for its upstream."""

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
    NotHeld,
)
from bluebellfold.relay.tests.scene import (
    only,
)
from bluebellfold.relay.upstreams.tests.scene import (
    ANSWER,
    BALANCER,
    DATA,
    agent_with_balancer,
    agent_with_flow,
    last_load,
    offer,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    RESET,
    opening_packet,
    upstream_packet,
)


def test_offered_flow_goes_to_the_upstream_and_its_answer_to_the_client():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.send(ANSWER)
    assert agent.outlet.delivered == [packet]
    assert agent.outlet.to_clients == [ANSWER]


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


def test_upstream_that_warms_up_is_full_sooner():
    agent = agent_with_balancer(announced=False)
    agent.announce(warmup_seconds=2)
    for port in range(12):
        offer(agent, opening_packet(client=('100.64.0.9', 1000 + port)))
    assert len(agent.outlet.delivered) == 5


def test_opening_packet_that_the_upstream_resets_is_declined():
    agent = agent_with_balancer()
    packet = opening_packet()
    offer(agent, packet)
    agent.send(upstream_packet(flags=RESET))
    assert only(agent.outlet.take(Declined)).packet == packet
    assert not agent.outlet.to_clients


def test_stopping_agent_takes_no_new_flow_and_carries_the_others():
    agent = agent_with_flow()
    agent.relay.stop(agent.now)
    assert last_load(agent).state == DRAINING
    offer(agent, opening_packet(client=('100.64.0.8', 9)))
    assert agent.outlet.take(Declined)
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.delivered[-1] == DATA
