"""Test how a balancer tracks agents and its configuration."""

from bluebellfold.core import NO_ROUTES
from bluebellfold.relay.agents import (
    DRAINING,
    Hello,
    Offer,
)
from bluebellfold.relay.callers.tests.scene import (
    FIRST,
    SECOND,
    balancer_with,
)
from bluebellfold.relay.tests.scene import (
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
    assert not balancer.relay.change_routes(older, now=balancer.now)
    balancer.receive(opening_packet())
    assert len(balancer.outlet.resets) == 1


def test_balancer_detects_that_its_configuration_is_outdated():
    balancer = balancer_with(report_of())
    balancer.hear(
        FIRST, report_of(sequence=2, versions=versions_of(configuration=5))
    )
    assert not balancer.relay.routes_outdated(balancer.now)
    balancer.wait(0.4)
    assert balancer.relay.routes_outdated(balancer.now)
    balancer.relay.change_routes(table_of(version=5), now=balancer.now)
    assert not balancer.relay.routes_outdated(balancer.now)


def test_report_of_an_earlier_incarnation_is_ignored():
    balancer = balancer_with(report_of(start=5, state=DRAINING))
    balancer.hear(FIRST, report_of(start=4, sequence=9))
    balancer.receive(opening_packet())
    assert not balancer.outlet.take(Offer)


def test_agent_whose_clock_was_set_back_is_accepted_again():
    balancer = balancer_with(report_of(start=5))
    balancer.wait(1)
    balancer.hear(FIRST, report_of(start=4))
    balancer.receive(opening_packet())
    assert [address for address, _ in balancer.outlet.take(Offer)] == [FIRST]


def test_balancer_subscribes_at_once_and_renews_regularly():
    balancer = Balancer(agents=(FIRST,))
    assert [address for address, _ in balancer.outlet.take(Hello)] == [FIRST]
    balancer.hear(FIRST, report_of())
    balancer.wait(0.05)
    balancer.outlet.told.clear()
    balancer.wait(0.6)
    assert [address for address, _ in balancer.outlet.take(Hello)] == [FIRST]


def test_balancer_subscribes_to_an_unreachable_agent_at_every_tick():
    # After a power loss balancers know the agent list before agents listen.
    balancer = Balancer(agents=(FIRST, SECOND))
    balancer.hear(SECOND, report_of())
    balancer.wait(0.1)
    balancer.outlet.told.clear()
    balancer.wait(0.1)
    subscribed = [address for address, _ in balancer.outlet.take(Hello)]
    assert set(subscribed) == {FIRST}
    assert len(subscribed) >= 2


def test_readiness_needs_routes_and_a_live_agent():
    assert not Balancer(agents=(FIRST,), routes=NO_ROUTES).relay.is_ready(100)
    balancer = Balancer(agents=(FIRST,))
    assert not balancer.relay.is_ready(balancer.now)
    balancer.hear(FIRST, report_of())
    assert balancer.relay.is_ready(balancer.now)
    balancer.wait(1)
    assert not balancer.relay.is_ready(balancer.now)
