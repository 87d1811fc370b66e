"""Test that planned stops cut no request (promise 7)."""

import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellfold.daemons.tests.planned_scene import PlannedScene, open_scene
from bluebellfold.standins.child import Child

SLOTS_OF_BOTH = 6
ORDER_BYTES = 20_000
DRAINED = 'BBF0005'
LEAVING = 'counter-1'

scenarios('bluebellfold/daemons/tests/features/planned_stop.feature')


@pytest.fixture
def scene(tmp_path):
    with open_scene(tmp_path) as opened:
        yield opened


@given('a site with 3 balancers and 2 upstreams of counter')
def start_site(scene: PlannedScene) -> None:
    scene.run(scene.start(counter=2))


@given(parsers.parse('{orders:d} orders of {work_ms:d} ms are under way'))
def place_orders(scene: PlannedScene, orders: int, work_ms: int) -> None:
    async def place() -> None:
        scene.place_orders(orders, work_ms=work_ms, size=ORDER_BYTES)
        await scene.wait_until_under_way(orders)
        await scene.wait_until_begun(SLOTS_OF_BOTH)

    scene.run(place())


@given(
    parsers.parse(
        'a configuration with a drain of {seconds:d} seconds is applied'
    )
)
def shorten_drain(scene: PlannedScene, seconds: int) -> None:
    site = 'region = wa-south'
    scene.run(scene.apply((site, f'{site}\ndrain_seconds = {seconds}')))


@given(parsers.parse('{feeds:d} feeds run'))
def open_feeds(scene: PlannedScene, feeds: int) -> None:
    async def open_on_both() -> None:
        # Any number of feeds may happen to be placed on one upstream.
        await scene.open_feeds(feeds)
        await scene.open_feeds_until(LEAVING)

    scene.run(open_on_both())
    assert scene.feeds_of(LEAVING)


@when('balancers 1 and 2 are told to stop', target_fixture='leaving')
def stop_balancers(scene: PlannedScene) -> Child:
    for index in range(2):
        scene.run(scene.terminate_balancer(index))
    return scene.child('balancer-2')


@when('the agent of counter-1 is told to stop', target_fixture='leaving')
def stop_agent(scene: PlannedScene) -> Child:
    scene.run(scene.terminate_agent(LEAVING))
    return scene.child(f'agent-{LEAVING}')


@when('it is told to stop again')
def stop_again(leaving: Child) -> None:
    leaving.terminate()


@when('the agent of counter-1 is drained and gone')
def drain_agent(scene: PlannedScene) -> None:
    scene.run(scene.drain(LEAVING))
    assert not scene.run(scene.child(f'agent-{LEAVING}').wait())


@when('the upstream counter-1 is told to stop')
def stop_upstream(scene: PlannedScene) -> None:
    scene.child(LEAVING).terminate()
    assert not scene.run(scene.child(LEAVING).wait())


@when('another generation of the agent of counter-1 is started')
def start_generation(scene: PlannedScene) -> None:
    scene.run(scene.start_generation(LEAVING))


@when("the callers of the old generation's feeds leave")
def leave_feeds(scene: PlannedScene) -> None:
    old = scene.feeds_told_to_leave()
    assert old
    for feed in old:
        scene.feeds.remove(feed)
        scene.run(scene.leave(feed))


@then('every order is answered with the digest of its body')
def check_answers(scene: PlannedScene) -> None:
    scene.run(scene.await_answers())


@then('it ends gracefully')
def check_end(scene: PlannedScene, leaving: Child) -> None:
    assert not scene.run(leaving.wait())


@then('it reported once that it left 0 flows and 0 requests open')
def check_report(leaving: Child) -> None:
    reported = _drain_report(leaving)
    assert not reported['flows_left_open']
    assert not reported['requests_left_open']


@then('it reported once what it left open')
def check_left_open(scene: PlannedScene, leaving: Child) -> None:
    reported = _drain_report(leaving)
    feeds = len(scene.feeds_of(LEAVING))
    assert reported['flows_left_open'] == feeds
    assert reported['requests_left_open'] == feeds


@then('its feeds were closed in good order')
def check_closed(scene: PlannedScene) -> None:
    for feed in scene.feeds_of(LEAVING):
        scene.run(feed.wait_for_end())
        assert 'error_code=0' in str(feed.broken)
        assert not feed.gaps


@then('the feeds of counter-2 go on without a gap')
def check_others(scene: PlannedScene) -> None:
    for feed in scene.feeds_of('counter-2'):
        scene.run(feed.wait_for_lines(1))


@then('every feed goes on without a gap')
def check_feeds(scene: PlannedScene) -> None:
    scene.run(scene.check_feeds())


@then('new feeds reach counter-1 through the other generation')
def reach_generation(scene: PlannedScene) -> None:
    former = len(scene.feeds_of(LEAVING))
    while len(scene.feeds_of(LEAVING)) == former:
        scene.run(scene.open_feeds(1))


@then(parsers.parse('{orders:d} new orders are answered by counter-2'))
def check_new_orders(scene: PlannedScene, orders: int) -> None:
    async def place() -> None:
        former = await scene.begun('counter-2')
        scene.place_orders(orders, work_ms=0, size=ORDER_BYTES)
        await scene.await_answers()
        assert await scene.begun('counter-2') == former + orders

    scene.run(place())


def _drain_report(leaving: Child) -> dict[str, object]:
    lines = [line for line in leaving.log.splitlines() if DRAINED in line]
    assert len(lines) == 1, lines
    return json.loads(lines[0])
