"""Test the measured rate of assignments."""

from bluebellfold.relay.callers.assignment_rate import (
    MIN_ASSIGNMENTS,
    WINDOW_SECONDS,
    AssignmentRate,
)


def record(rate, *, start, end, count):
    for number in range(count):
        rate.record(start + (end - start) * number / count)


def test_rate_is_unknown_before_a_whole_window():
    # After a start, few assignments show no lack of capacity.
    rate = AssignmentRate(now=0)
    record(rate, start=0, end=1, count=100)
    assert not rate.upper_bound(WINDOW_SECONDS - 0.1)
    assert rate.upper_bound(WINDOW_SECONDS)
    rate.restart(WINDOW_SECONDS)
    assert not rate.upper_bound(WINDOW_SECONDS)


def test_rate_is_unknown_with_few_assignments():
    rate = AssignmentRate(now=0)
    record(rate, start=1, end=2, count=MIN_ASSIGNMENTS - 1)
    assert not rate.upper_bound(2)
    rate.record(2)
    assert rate.upper_bound(2)
    rate.retract()
    assert not rate.upper_bound(2)
