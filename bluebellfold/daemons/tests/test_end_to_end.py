"""Test flows from clients to upstreams through real processes."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellfold.daemons.tests.flow_harness import BALANCER_COUNT
from bluebellfold.daemons.tests.planned_change_harness import (
    PlannedChangeHarness,
    open_harness,
)
from bluebellfold.operators import fetch_all_statuses

WORK_MS = 20

scenarios('bluebellfold/daemons/tests/features/end_to_end.feature')


@pytest.fixture
def harness(tmp_path):
    with open_harness(tmp_path) as opened:
        yield opened


@given('a site with 3 balancers and 2 upstreams')
def start_site(harness: PlannedChangeHarness) -> None:
    harness.run(harness.start(counter=2))


@when(parsers.parse('{number:d} clients post orders of {size:d} bytes'))
def post_orders(harness: PlannedChangeHarness, number: int, size: int) -> None:
    async def send() -> None:
        harness.send_orders(number, work_ms=WORK_MS, size=size)

    harness.run(send())


@given(parsers.parse('{number:d} clients follow feeds'))
@when(parsers.parse('{number:d} clients follow feeds'))
def follow_feeds(harness: PlannedChangeHarness, number: int) -> None:
    harness.run(harness.open_feeds(number))


@when(parsers.parse('balancer {position:d} is killed'))
def kill_balancer(harness: PlannedChangeHarness, position: int) -> None:
    child = harness.child(f'balancer-{position}')
    child.kill()
    harness.run(child.wait())


@when(parsers.parse('the fabric stops using balancer {position:d}'))
def remove_balancer(harness: PlannedChangeHarness, position: int) -> None:
    harness.set_balancer_used(position - 1, used=False)


@when(parsers.parse('balancer {position:d} is replaced gracefully'))
def replace_balancer(harness: PlannedChangeHarness, position: int) -> None:
    harness.run(harness.replace_balancer(position - 1))


@then('every feed continues without a gap')
def check_feeds(harness: PlannedChangeHarness) -> None:
    harness.run(harness.check_feeds())


@then('every order receives the digest of its body')
def check_orders(harness: PlannedChangeHarness) -> None:
    harness.run(harness.check_all())


@then('each balancer forwarded datagrams of orders and feeds')
def check_every_balancer_used(harness: PlannedChangeHarness) -> None:
    reports = harness.run(
        fetch_all_statuses(harness.fleet.settings.site.balancers)
    )
    assert len(reports) == BALANCER_COUNT
    for report in reports:
        counts = {count.name: count.times for count in report.requests}
        assert counts['forwarded'] and counts['answered']
