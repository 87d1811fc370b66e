"""Replay loads that exceed what the upstreams of a service can serve.

Four upstreams with two slots and 40 ms of work serve 200 requests a second.
"""

import pytest

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
def test_service_without_contention_refuses_nothing(seed):
    urgent = Load(route_of(80, priority=0), rate=80, end=4)
    less_urgent = Load(route_of(81, priority=2), rate=80, end=4)
    replay = Replay(urgent, less_urgent, seed=seed).run(10)
    assert not replay.resets
    assert urgent.share('in target') > NEARLY_ALL
    assert less_urgent.share('in target') > NEARLY_ALL
