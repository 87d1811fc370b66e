"""Check the flood targets on the benchmark's fleet, with fixed seeds."""

from functools import cache

import pytest

from benchmarks.admission import FLOODS, capacity_seconds
from benchmarks.admission_fleet import KINDS, SERVICE_SECONDS, Fleet

MIN_KEPT_FRACTION = 0.95
MAX_P99_RATIO = 2
MIN_USED_FRACTION = 0.9
MAX_REFUSED_LATER_FRACTION = 0.005
FLOOD_NAMES = ('batch', 'order', 'both')


@cache
def run_fleet(slots, pattern, discipline, flood, leaving):
    fleet = Fleet(
        slots=slots,
        discipline=discipline,
        flood=FLOODS[flood],
        seconds=SERVICE_SECONDS[pattern],
        leaving=leaving,
        seed=1,
    )
    fleet.run()
    return fleet


def kept_fraction(kind, baseline, flooded) -> float:
    return flooded.tallies[kind].done / baseline.tallies[kind].done


@pytest.mark.parametrize('leaving', [False, True])
@pytest.mark.parametrize('flood', FLOOD_NAMES)
def test_other_kinds_keep_throughput_and_the_flood_gets_the_rest(
    flood, leaving
):
    baseline = run_fleet(3, 'equal', 'shares', 'none', leaving=False)
    flooded = run_fleet(3, 'equal', 'shares', flood, leaving)
    remaining_seconds = capacity_seconds(flooded, leaving=leaving)
    for kind in set(KINDS) - set(FLOODS[flood]):
        tally = flooded.tallies[kind]
        assert kept_fraction(kind, baseline, flooded) >= MIN_KEPT_FRACTION
        p99_ratio = tally.p99_ms / baseline.tallies[kind].p99_ms
        assert p99_ratio <= MAX_P99_RATIO
        remaining_seconds -= tally.used_seconds
    flood_used = sum(
        flooded.tallies[flooding_kind].used_seconds
        for flooding_kind in FLOODS[flood]
    )
    assert flood_used >= MIN_USED_FRACTION * remaining_seconds


@pytest.mark.parametrize('discipline', ['fifo', 'strict'])
def test_naive_disciplines_miss_the_target(discipline):
    baseline = run_fleet(3, 'equal', discipline, 'none', leaving=False)
    flooded = run_fleet(3, 'equal', discipline, 'order', leaving=False)
    stock = KINDS[1]
    assert kept_fraction(stock, baseline, flooded) < MIN_KEPT_FRACTION / 2


@pytest.mark.parametrize('flood', ['batch', 'order'])
def test_throughput_is_kept_beside_much_longer_requests(flood):
    """The p99 latency misses its target here: see docs/ADMISSION.md."""
    baseline = run_fleet(2, 'long batches', 'shares', 'none', leaving=False)
    flooded = run_fleet(2, 'long batches', 'shares', flood, leaving=True)
    for kind in set(KINDS) - set(FLOODS[flood]):
        assert kept_fraction(kind, baseline, flooded) >= MIN_KEPT_FRACTION


@pytest.mark.parametrize('flood', FLOOD_NAMES)
def test_almost_all_refusals_happen_on_arrival(flood):
    """The target is all refusals: see docs/measures/floods.md."""
    flooded = run_fleet(3, 'equal', 'shares', flood, leaving=False)
    tallies = [
        flooded.tallies[flooding_kind] for flooding_kind in FLOODS[flood]
    ]
    on_arrival = sum(tally.refused_at_once for tally in tallies)
    after_waiting = sum(tally.refused_later for tally in tallies)
    assert after_waiting <= MAX_REFUSED_LATER_FRACTION * (
        on_arrival + after_waiting
    )
