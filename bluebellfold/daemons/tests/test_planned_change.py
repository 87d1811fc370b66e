"""Test that established flows survive planned changes (promise 1)."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellfold.daemons.tests.flow_harness import BALANCER_COUNT
from bluebellfold.daemons.tests.planned_change_harness import (
    PlannedChangeHarness,
    open_harness,
)

ROTATIONS = 2
STEPS_OF_A_ROTATION = 2
UNKNOWN_KEY = 'unknown-key'
CHANGES = (
    ('share = 0.6', 'share = 0.55'),
    ('share = 0.4', 'share = 0.45'),
    ('region = wa-south', 'region = wa-south\ncandidates = 3'),
)

scenarios('bluebellfold/daemons/tests/features/planned_change.feature')


@pytest.fixture
def harness(tmp_path):
    with open_harness(tmp_path) as opened:
        yield opened


@given('a site with 3 balancers, 2 upstreams of counter and 1 of makeroom')
def start_site(harness: PlannedChangeHarness) -> None:
    harness.run(harness.start(counter=2, makeroom=1))


@given(parsers.parse('{feeds:d} feeds and {uploads:d} uploads run'))
def open_flows(harness: PlannedChangeHarness, feeds: int, uploads: int) -> None:
    harness.run(harness.open_feeds(feeds))
    harness.run(harness.open_uploads(uploads))


@when('every balancer is replaced in turn')
def replace_balancers(harness: PlannedChangeHarness) -> None:
    for index in range(BALANCER_COUNT):
        harness.run(harness.replace_balancer(index))


@when('balancer 1 is replaced gracefully')
def replace_balancer(harness: PlannedChangeHarness) -> None:
    harness.run(harness.replace_balancer(0))


@when('an upstream of counter is added')
def add_upstream(harness: PlannedChangeHarness) -> None:
    harness.run(harness.add_upstream('counter', 3))


@when('new feeds reach the added upstream')
def reach_upstream(harness: PlannedChangeHarness) -> None:
    harness.run(harness.open_feeds_until('counter-3'))


@when('an upstream of counter drains')
def drain_upstream(harness: PlannedChangeHarness) -> None:
    harness.run(harness.drain('counter-1'))
    feeds_before = len(harness.feeds)
    harness.run(harness.open_feeds(4))
    upstreams = {feed.upstream for feed in harness.feeds[feeds_before:]}
    assert 'counter-1' not in upstreams


@when('a configuration with other shares and candidates is applied')
def apply_configuration(harness: PlannedChangeHarness) -> None:
    harness.run(harness.apply(*CHANGES))


@when('the weight of an upstream of counter becomes 3')
def change_weight(harness: PlannedChangeHarness) -> None:
    harness.change_weight('counter-1', 3)


@then('every balancer and agent knows the weight')
def check_weight(harness: PlannedChangeHarness) -> None:
    harness.run(harness.wait_for_weight('counter-1', 3))


@when('the keys rotate twice through both steps')
def rotate_keys(harness: PlannedChangeHarness) -> None:
    for _ in range(ROTATIONS * STEPS_OF_A_ROTATION):
        harness.run(harness.rotate_keys())
        harness.run(harness.check_feeds())


@when('the platform is killed')
def kill_platform(harness: PlannedChangeHarness) -> None:
    harness.run(harness.fleet_harness.kill('platform'))


@then('every feed continues without a gap')
def check_feeds(harness: PlannedChangeHarness) -> None:
    harness.run(harness.check_feeds())


@then('every upload receives the digest of its body')
def check_uploads(harness: PlannedChangeHarness) -> None:
    harness.run(harness.check_all())


@then('no packet was dropped for an unknown key')
def check_drops(harness: PlannedChangeHarness) -> None:
    assert not harness.run(harness.drop_count(UNKNOWN_KEY))
