"""Test from when on a zone must get no new flow."""

import pytest

from bluebellfold.soak.evacuation_bound import bound_of_evacuation
from bluebellfold.soak.invariants import Disturbance


def disturbances(*times):
    return [
        Disturbance(component='store', started_at=start, ended_at=end)
        for start, end in times
    ]


@pytest.mark.parametrize(
    ('unstable', 'expected'),
    [
        # It ended before the store acknowledged the evacuation.
        ([(6, 9)], 15),
        # Instants, such as a discarded history.
        ([(11, 11), (12, 12)], 15),
        ([(8, 12)], 17),
        ([(12, 14)], 17),
        # Overlapping times count once.
        ([(11, 14), (12, 13), (13, 15)], 19),
        # It begins only after the bound, as extended by the first one.
        ([(12, 13), (15.9, 16.9)], 17),
        ([(12, 13), (16.1, 17)], 16),
        ([(11, 60)], 30),
    ],
)
def test_unstable_store_extends_the_bound_by_at_most_15_s(unstable, expected):
    bound = bound_of_evacuation(10, unstable=disturbances(*unstable))
    assert bound == pytest.approx(expected)


@pytest.mark.parametrize(
    ('outages', 'expected'),
    [
        ([(6, 9)], 15),
        ([(8, 12)], 22),
        ([(12, 14)], 24),
        # The second one begins before the bound, as deferred by the first.
        ([(12, 14), (20, 21)], 31),
        # What is in force stays in force.
        ([(15.1, 16)], 15),
    ],
)
def test_bound_counts_from_when_the_store_is_well_again(outages, expected):
    bound = bound_of_evacuation(10, outages=disturbances(*outages))
    assert bound == pytest.approx(expected)


def test_unstable_time_during_an_outage_does_not_count():
    # The bound counts from 17 s only, so that the first one is covered.
    bound = bound_of_evacuation(
        10,
        outages=disturbances((11, 12)),
        unstable=disturbances((11, 13), (18, 19)),
    )
    assert bound == pytest.approx(23)
