"""Test how a balancer tracks agents and its configuration."""

from bluebellfold.core import NO_ROUTES
from bluebellfold.relay.agents import (
    DRAINING,
    Offer,
    Subscribe,
)
from bluebellfold.relay.callers.tests.harness import (
    FIRST,
    SECOND,
    balancer_with,
)
from bluebellfold.relay.tests.harness import (
    Balancer,
    report_of,
    route_to,
    table_of,
    versions_of,
)
from bluebellfold.standins.packets import (
    opening_packet,
)


def test_older_configuration_is_ignored():
    balancer = balancer_with(report_of(), routes=table_of(version=3))
    older = table_of(route_to(), version=2)
    assert not balancer.relay.update_routes(older, now=balancer.now)
    balancer.receive_packet(opening_packet())
    assert len(balancer.transport.resets) == 1


def test_balancer_detects_that_its_configuration_is_outdated():
    balancer = balancer_with(report_of())
    balancer.receive_message(
        FIRST, report_of(sequence=2, versions=versions_of(configuration=5))
    )
    assert not balancer.relay.routes_outdated(balancer.now)
    balancer.advance(0.4)
    assert balancer.relay.routes_outdated(balancer.now)
    balancer.relay.update_routes(table_of(version=5), now=balancer.now)
    assert not balancer.relay.routes_outdated(balancer.now)


def test_report_of_an_earlier_incarnation_is_ignored():
    balancer = balancer_with(report_of(incarnation=5, state=DRAINING))
    balancer.receive_message(FIRST, report_of(incarnation=4, sequence=9))
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.pop_messages(Offer)


def test_agent_whose_clock_was_set_back_is_accepted_again():
    balancer = balancer_with(report_of(incarnation=5))
    balancer.advance(1)
    balancer.receive_message(FIRST, report_of(incarnation=4))
    balancer.receive_packet(opening_packet())
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [FIRST]


def test_balancer_subscribes_at_once_and_renews_regularly():
    balancer = Balancer(agents=(FIRST,))
    assert [
        address for address, _ in balancer.transport.pop_messages(Subscribe)
    ] == [FIRST]
    balancer.receive_message(FIRST, report_of())
    balancer.advance(0.05)
    balancer.transport.sent.clear()
    balancer.advance(0.6)
    assert [
        address for address, _ in balancer.transport.pop_messages(Subscribe)
    ] == [FIRST]


def test_balancer_subscribes_to_an_unreachable_agent_at_every_tick():
    # After a power loss balancers know the agent list before agents listen.
    balancer = Balancer(agents=(FIRST, SECOND))
    balancer.receive_message(SECOND, report_of())
    balancer.advance(0.1)
    balancer.transport.sent.clear()
    balancer.advance(0.1)
    subscribed = [
        address for address, _ in balancer.transport.pop_messages(Subscribe)
    ]
    assert set(subscribed) == {FIRST}
    assert len(subscribed) >= 2


def test_readiness_needs_routes_and_a_live_agent():
    assert not Balancer(agents=(FIRST,), routes=NO_ROUTES).relay.is_ready(100)
    balancer = Balancer(agents=(FIRST,))
    assert not balancer.relay.is_ready(balancer.now)
    balancer.receive_message(FIRST, report_of())
    assert balancer.relay.is_ready(balancer.now)
    balancer.advance(1)
    assert not balancer.relay.is_ready(balancer.now)
