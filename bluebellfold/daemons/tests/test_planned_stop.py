"""Test that planned stops interrupt no request (promise 7)."""

import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellfold.daemons.tests.planned_change_harness import (
    PlannedChangeHarness,
    open_harness,
)
from bluebellfold.standins.child import Child

TOTAL_SLOTS = 6
ORDER_BYTES = 20_000
DRAINED = 'BBF0005'
STOPPED_UPSTREAM = 'counter-1'

scenarios('bluebellfold/daemons/tests/features/planned_stop.feature')


@pytest.fixture
def harness(tmp_path):
    with open_harness(tmp_path) as opened:
        yield opened


@given('a site with 3 balancers and 2 upstreams of counter')
def start_site(harness: PlannedChangeHarness) -> None:
    harness.run(harness.start(counter=2))


@given(parsers.parse('{orders:d} orders of {work_ms:d} ms are in progress'))
def send_orders(
    harness: PlannedChangeHarness, orders: int, work_ms: int
) -> None:
    async def send() -> None:
        harness.send_orders(orders, work_ms=work_ms, size=ORDER_BYTES)
        await harness.wait_until_delivered(orders)
        await harness.wait_until_started(TOTAL_SLOTS)

    harness.run(send())


@given(
    parsers.parse(
        'a configuration with a drain of {seconds:d} seconds is applied'
    )
)
def shorten_drain(harness: PlannedChangeHarness, seconds: int) -> None:
    site = 'region = wa-south'
    harness.run(harness.apply((site, f'{site}\ndrain_seconds = {seconds}')))


@given(parsers.parse('{feeds:d} feeds run'))
def open_feeds(harness: PlannedChangeHarness, feeds: int) -> None:
    async def open_on_both() -> None:
        # All of the feeds may be assigned to the same upstream.
        await harness.open_feeds(feeds)
        await harness.open_feeds_until(STOPPED_UPSTREAM)

    harness.run(open_on_both())
    assert harness.feeds_of(STOPPED_UPSTREAM)


@when('balancers 1 and 2 are asked to stop', target_fixture='process')
def stop_balancers(harness: PlannedChangeHarness) -> Child:
    for index in range(2):
        harness.run(harness.terminate_balancer(index))
    return harness.child('balancer-2')


@when('the agent of counter-1 is asked to stop', target_fixture='process')
def stop_agent(harness: PlannedChangeHarness) -> Child:
    harness.run(harness.terminate_agent(STOPPED_UPSTREAM))
    return harness.child(f'agent-{STOPPED_UPSTREAM}')


@when('the process is asked to stop again')
def stop_again(process: Child) -> None:
    process.terminate()


@when('the agent of counter-1 is drained and exits')
def drain_agent(harness: PlannedChangeHarness) -> None:
    harness.run(harness.drain(STOPPED_UPSTREAM))
    assert not harness.run(harness.child(f'agent-{STOPPED_UPSTREAM}').wait())


@when('the upstream counter-1 is asked to stop')
def stop_upstream(harness: PlannedChangeHarness) -> None:
    harness.child(STOPPED_UPSTREAM).terminate()
    assert not harness.run(harness.child(STOPPED_UPSTREAM).wait())


@when('a replacement for the agent of counter-1 is started')
def start_replacement_agent(harness: PlannedChangeHarness) -> None:
    harness.run(harness.start_replacement_agent(STOPPED_UPSTREAM))


@when("the clients of the old agent's feeds close them")
def close_old_feeds(harness: PlannedChangeHarness) -> None:
    old_feeds = harness.feeds_of_draining_agents()
    assert old_feeds
    for feed in old_feeds:
        harness.feeds.remove(feed)
        harness.run(harness.close_feed(feed))


@then('every order receives the digest of its body')
def check_orders(harness: PlannedChangeHarness) -> None:
    harness.run(harness.check_responses())


@then('the process exits gracefully')
def check_exit(harness: PlannedChangeHarness, process: Child) -> None:
    assert not harness.run(process.wait())


@then('the process logged once that 0 flows and 0 requests were open')
def check_report(process: Child) -> None:
    report = _drain_report(process)
    assert not report['flows_left_open']
    assert not report['requests_left_open']


@then('the process logged once what was still open')
def check_left_open(harness: PlannedChangeHarness, process: Child) -> None:
    report = _drain_report(process)
    feeds = len(harness.feeds_of(STOPPED_UPSTREAM))
    assert report['flows_left_open'] == feeds
    assert report['requests_left_open'] == feeds


@then('its feeds were closed without an error')
def check_closed(harness: PlannedChangeHarness) -> None:
    for feed in harness.feeds_of(STOPPED_UPSTREAM):
        harness.run(feed.wait_for_end())
        assert 'error_code=0' in str(feed.error)
        assert not feed.gaps


@then('the feeds of counter-2 continue without a gap')
def check_other_feeds(harness: PlannedChangeHarness) -> None:
    for feed in harness.feeds_of('counter-2'):
        harness.run(feed.wait_for_lines(1))


@then('every feed continues without a gap')
def check_feeds(harness: PlannedChangeHarness) -> None:
    harness.run(harness.check_feeds())


@then('new feeds reach counter-1 through the replacement')
def reach_replacement(harness: PlannedChangeHarness) -> None:
    count_before = len(harness.feeds_of(STOPPED_UPSTREAM))
    while len(harness.feeds_of(STOPPED_UPSTREAM)) == count_before:
        harness.run(harness.open_feeds(1))


@then(parsers.parse('{orders:d} new orders are served by counter-2'))
def check_new_orders(harness: PlannedChangeHarness, orders: int) -> None:
    async def send() -> None:
        count_before = await harness.started_count('counter-2')
        harness.send_orders(orders, work_ms=0, size=ORDER_BYTES)
        await harness.check_responses()
        assert await harness.started_count('counter-2') == count_before + orders

    harness.run(send())


def _drain_report(process: Child) -> dict[str, object]:
    lines = [line for line in process.log.splitlines() if DRAINED in line]
    assert len(lines) == 1, lines
    return json.loads(lines[0])
