"""Replay loads that exceed what the upstreams of a service can serve.

Four upstreams with two slots and 40 ms of work serve 200 requests a second.
"""

import pytest

from bluebellfold.relay.callers.queued_flow import QUEUE_TIMEOUT_SECONDS
from bluebellfold.relay.callers.service_queue import GRACE_SECONDS
from bluebellfold.relay.callers.tests.replay import Load, Replay, route_of

SEEDS = (7, 8)
USUAL_RATE = 60
BURST_RATE = 4 * USUAL_RATE
BURST_END = 8
# The clients' last tries have ended.
END = BURST_END + 6
# Until the service is contended, 0.3 s after a burst began, flows are assigned
# by priority: 4% of the time of the burst.
MOST = 0.9
NEARLY_ALL = 0.99


def early_resets(replay):
    """Return when flows were reset that could have waited longer."""
    return [
        elapsed
        for elapsed, waited in replay.resets
        if waited < QUEUE_TIMEOUT_SECONDS - 0.01
    ]


@pytest.mark.parametrize('seed', SEEDS)
def test_burst_of_one_route_leaves_the_share_of_another(seed):
    # In the order of time alone, a burst took the places of all other flows.
    burst = Load(route_of(80), rate=BURST_RATE, start=1, end=BURST_END)
    beside = Load(route_of(81), rate=USUAL_RATE, end=BURST_END)
    Replay(burst, beside, seed=seed).run(END)
    assert beside.share('in target') > MOST
    assert beside.share('in target', 'late') > NEARLY_ALL


@pytest.mark.parametrize('seed', SEEDS)
def test_urgent_burst_does_not_starve_less_urgent_flows(seed):
    # Strict priority assigned less urgent flows only when none else waited.
    # Their demand is below their share, a third of the capacity.
    burst = Load(
        route_of(80, priority=0), rate=BURST_RATE, start=1, end=BURST_END
    )
    less_urgent = Load(
        route_of(81, priority=2), rate=USUAL_RATE - 10, end=BURST_END
    )
    Replay(burst, less_urgent, seed=seed).run(END)
    assert less_urgent.share('in target', 'late') > NEARLY_ALL
    assert less_urgent.share('in target') > MOST


@pytest.mark.parametrize('seed', SEEDS)
def test_less_urgent_burst_does_not_delay_urgent_flows(seed):
    # A share for each route must not undo the priority of urgent flows.
    urgent = Load(route_of(80, priority=0), rate=USUAL_RATE, end=BURST_END)
    burst = Load(
        route_of(81, priority=2), rate=BURST_RATE, start=1, end=BURST_END
    )
    Replay(urgent, burst, seed=seed).run(END)
    assert urgent.share('in target') > NEARLY_ALL


@pytest.mark.parametrize('seed', SEEDS)
def test_client_with_most_of_the_flows_leaves_the_share_of_others(seed):
    # In the order of time alone, each client got capacity by its demand.
    route = route_of(80)
    heavy = Load(route, rate=BURST_RATE, start=1, end=BURST_END, clients=1)
    others = Load(route, rate=USUAL_RATE, end=BURST_END, first_client=1)
    Replay(heavy, others, seed=seed).run(END)
    assert others.share('in target') > MOST
    assert others.share('in target', 'late') > NEARLY_ALL


@pytest.mark.parametrize('seed', SEEDS)
def test_flows_in_excess_are_refused_before_their_deadline(seed):
    # All of them waited for 1.3 s, and none was refused earlier.
    burst = Load(route_of(80), rate=BURST_RATE, start=1, end=BURST_END)
    beside = Load(route_of(81), rate=USUAL_RATE, end=BURST_END)
    replay = Replay(burst, beside, seed=seed).run(END)
    resets = len(replay.resets)
    assert len(early_resets(replay)) > MOST * resets
    assert beside.resets == 0
    # No wave of retries: a tick refuses at most a fifth of the excess.
    by_tick = {}
    for elapsed in early_resets(replay):
        tick = round(elapsed / 0.05)
        by_tick[tick] = by_tick.get(tick, 0) + 1
    assert max(by_tick.values()) < 0.2 * QUEUE_TIMEOUT_SECONDS * BURST_RATE


@pytest.mark.parametrize('seed', SEEDS)
def test_service_without_contention_refuses_nothing(seed):
    urgent = Load(route_of(80, priority=0), rate=80, end=4)
    less_urgent = Load(route_of(81, priority=2), rate=80, end=4)
    replay = Replay(urgent, less_urgent, seed=seed).run(10)
    assert not replay.resets
    assert urgent.share('in target') > NEARLY_ALL
    assert less_urgent.share('in target') > NEARLY_ALL


@pytest.mark.parametrize('seed', SEEDS)
def test_no_flow_is_refused_early_after_the_loss_of_all_upstreams(seed):
    # The low rate during the loss, and the full queue after it, must not count
    # as what the upstreams can serve.
    lost_at, back_at = 1, 3
    loads = (
        Load(route_of(80, priority=0), rate=USUAL_RATE, end=BURST_END),
        Load(route_of(81, priority=2), rate=100, end=BURST_END),
    )
    replay = Replay(*loads, seed=seed)
    replay.after(lost_at, replay.set_reachable, False)
    replay.after(back_at, replay.set_reachable, True)
    replay.run(END)
    assert [
        elapsed
        for elapsed in early_resets(replay)
        if lost_at < elapsed < back_at + GRACE_SECONDS
    ] == []


@pytest.mark.parametrize('seed', SEEDS)
def test_balancer_that_has_just_started_refuses_no_flow_early(seed):
    # Without a measured rate, nothing is known to be unservable. Once it is
    # measured, flows in excess are refused.
    back_at = 0.6
    waiting = Load(route_of(80), rate=1000, end=back_at)
    burst = Load(route_of(81), rate=300, start=back_at, end=BURST_END)
    replay = Replay(waiting, burst, seed=seed, reachable=False)
    replay.after(back_at, replay.set_reachable, True)
    replay.run(END)
    early = early_resets(replay)
    assert min(early) >= back_at + GRACE_SECONDS
    assert len(early) > 300
