"""Test how a balancer treats upstreams that limit their new flows."""

from bluebellfold.core import NO_VERSION
from bluebellfold.relay.agents import (
    DECLINED_WARMING,
    AgentEntry,
    Declined,
    Offer,
    Subscribe,
    Warmup,
)
from bluebellfold.relay.callers.tests.harness import (
    FIRST,
    SECOND,
    balancer_with,
)
from bluebellfold.relay.tests.harness import (
    COUNTER,
    Balancer,
    report_of,
    route_to,
    service_of,
    single,
    table_of,
)
from bluebellfold.standins.packets import opening_packet

RATE = 20
LIMITED = table_of(route_to(), services=(service_of(RATE),))
BUSY = 5


def open_flows(balancer, count, *, first=1):
    for port in range(first, first + count):
        balancer.receive_packet(opening_packet(client=('100.64.3.1', port)))


def offered_to(balancer):
    return [address for address, _ in balancer.transport.pop_messages(Offer)]


def cold(flows_left, **fields):
    return report_of(warmup=Warmup(flows_left=flows_left), **fields)


def told(balancer):
    """Return the subscriptions sent, by address."""
    return dict(balancer.transport.pop_messages(Subscribe))


def test_balancer_offers_no_more_flows_than_are_left():
    # The cold upstream is idle and would be the first choice for all.
    balancer = balancer_with(cold(2), report_of(in_flight=BUSY), routes=LIMITED)
    open_flows(balancer, 3)
    assert offered_to(balancer) == [FIRST, FIRST, SECOND]


def test_cold_upstream_without_flows_left_gets_none():
    balancer = balancer_with(cold(0), report_of(in_flight=BUSY), routes=LIMITED)
    open_flows(balancer, 1)
    assert offered_to(balancer) == [SECOND]


def test_flow_waits_for_a_cold_upstream_if_there_is_no_other():
    balancer = balancer_with(cold(0), routes=LIMITED)
    open_flows(balancer, 1)
    assert not offered_to(balancer)
    balancer.receive_message(FIRST, cold(1, sequence=2))
    assert offered_to(balancer) == [FIRST]
    assert not balancer.transport.resets


def decline(balancer, port):
    packet = opening_packet(client=('100.64.3.1', port))
    balancer.receive_message(
        FIRST, Declined(packet=packet, reason=DECLINED_WARMING)
    )


def test_declined_flow_is_offered_elsewhere_at_once():
    balancer = balancer_with(cold(1), report_of(in_flight=2), routes=LIMITED)
    open_flows(balancer, 1)
    assert offered_to(balancer) == [FIRST]
    decline(balancer, 1)
    assert offered_to(balancer) == [SECOND]


def test_balancer_backs_off_until_the_upstream_takes_one_flow_more():
    # The decline overtook a newer report: the last one still tells of flows.
    balancer = balancer_with(cold(9), report_of(in_flight=2), routes=LIMITED)
    open_flows(balancer, 1)
    decline(balancer, 1)
    balancer.transport.sent.clear()
    balancer.clock.advance(0.9 / RATE)
    open_flows(balancer, 1, first=2)
    assert offered_to(balancer) == [SECOND]
    balancer.clock.advance(0.2 / RATE)
    open_flows(balancer, 1, first=3)
    assert offered_to(balancer) == [FIRST]


def test_backoff_ends_with_the_next_report_at_a_low_rate():
    # One flow in 100 s: the upstream is warm long before.
    slow = table_of(route_to(), services=(service_of(0.01),))
    balancer = balancer_with(cold(9), routes=slow)
    open_flows(balancer, 1)
    decline(balancer, 1)
    balancer.transport.sent.clear()
    balancer.clock.advance(0.25)
    open_flows(balancer, 1, first=2)
    assert offered_to(balancer) == [FIRST]


def test_declined_flow_may_return_to_the_same_agent():
    balancer = balancer_with(cold(1), routes=LIMITED)
    open_flows(balancer, 1)
    decline(balancer, 1)
    balancer.transport.sent.clear()
    balancer.receive_message(FIRST, cold(1, sequence=2, offers_seen=1))
    balancer.advance(0.1)
    assert FIRST in offered_to(balancer)


def test_subscription_tells_the_rate_of_the_service():
    listed = AgentEntry(address=FIRST, service=COUNTER)
    other = AgentEntry(address=SECOND, service='other')
    balancer = Balancer(agents=[listed, other], routes=LIMITED)
    subscriptions = told(balancer)
    assert subscriptions[FIRST].warmup_flows_per_second == RATE
    assert subscriptions[SECOND].warmup_flows_per_second == 0


def test_rate_of_an_agent_without_a_known_service_is_not_told():
    # The agent would take a rate of 0 with a version for no limit.
    balancer = Balancer(agents=[FIRST], routes=LIMITED)
    assert told(balancer)[FIRST].versions.configuration == NO_VERSION
    balancer.receive_message(FIRST, report_of())
    balancer.advance(0.7)
    message = told(balancer)[FIRST]
    assert message.versions.configuration == LIMITED.version
    assert message.warmup_flows_per_second == RATE


def test_changed_rate_is_told_within_a_tick():
    listed = AgentEntry(address=FIRST, service=COUNTER)
    balancer = Balancer(agents=[listed], routes=LIMITED)
    balancer.receive_message(FIRST, report_of())
    balancer.advance(0.7)
    told(balancer)
    changed = table_of(route_to(), services=(service_of(3),), version=2)
    balancer.relay.update_routes(changed, now=balancer.now)
    balancer.advance(0.05)
    _, message = single(balancer.transport.pop_messages(Subscribe))
    assert message.warmup_flows_per_second == 3
