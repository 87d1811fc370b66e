"""Test whom a balancer asks, and how often."""

from random import Random

import pytest

from bluebellfold.relay.balancers.copies.query_plan import (
    FIRST_QUERY_DELAY_SECONDS,
    MAX_INTERVAL_SECONDS,
    MIN_INTERVAL_SECONDS,
    QueryPlan,
)

SEEDS = ('a', 'b', 'c')
CLIENT_GIVES_UP_MS = 1400


def queries_of(plan, *, seconds, has_copy=False, lasting: float = 0):
    """Return the times and seeds of the queries, each ``lasting`` so long."""
    now = float(0)
    queries = []
    while now < seconds:
        delay = plan.delay_seconds(now, has_copy=has_copy)
        if delay:
            now += delay
            continue
        queries.append((now, plan.begin_query(now)))
        now += lasting
    return queries


def plan_of(seeds=SEEDS, seed=1):
    return QueryPlan(seeds=seeds, now=0, randomness=Random(seed))


def test_usual_start_asks_nobody():
    assert not queries_of(plan_of(), seconds=FIRST_QUERY_DELAY_SECONDS)


def test_seeds_are_asked_in_turn():
    asked = [seed for _, seed in queries_of(plan_of(), seconds=5)]
    assert asked[:7] == ['a', 'b', 'c', 'a', 'b', 'c', 'a']


# Guards against a load of requests on the seeds when many balancers start while
# the store is away: the bound of HARD-LOAD.md is one request each 0.2 s.
@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('seeds', [SEEDS, SEEDS[:1]])
def test_interval_stays_between_its_bounds(seeds, seed):
    times = [time for time, _ in queries_of(plan_of(seeds, seed), seconds=60)]
    intervals = [later - time for time, later in zip(times, times[1:])]
    assert min(intervals) >= MIN_INTERVAL_SECONDS - 1e-9
    assert max(intervals) <= MAX_INTERVAL_SECONDS + 1e-9
    assert intervals[-1] > 2 * MIN_INTERVAL_SECONDS


# Guards against one hung seed that keeps the others from being asked in time.
def test_next_seed_follows_a_hung_one_at_once():
    queries = queries_of(plan_of(), seconds=2, lasting=0.5)
    assert [seed for _, seed in queries[:3]] == ['a', 'b', 'c']
    assert int(queries[2][0] * 1000) < CLIENT_GIVES_UP_MS


# Guards against a first seed whose copy is older than those of the others.
def test_each_seed_is_asked_once_although_a_copy_is_held():
    queries = queries_of(plan_of(), seconds=4, has_copy=True)
    assert [seed for _, seed in queries] == ['a', 'b', 'c']
    assert int(queries[2][0] * 1000) < CLIENT_GIVES_UP_MS
