"""Decide from when on an evacuated zone must get no new flow."""

from collections.abc import Iterable

from bluebellfold.soak.invariants import Disturbance

# An evacuation is in force this long after the store acknowledged it.
EVACUATE_SECONDS = 5.0
# The bound is extended by at most this while the store is unstable.
MAX_EXTENSION_SECONDS = 15.0
# After an outage, the bound counts from when the store has been well again for
# this long.
WELL_SECONDS = 5.0


def bound_of_evacuation(
    acknowledged_at: float,
    *,
    outages: Iterable[Disturbance] = (),
    unstable: Iterable[Disturbance] = (),
) -> float:
    """Return from when on an evacuation is in force.

    ``outages`` are times in which the store was down, slow or lost responses.
    Those that begin after the bound don't change it: what is in force stays.
    All are in the order of their start.

    >>> bound_of_evacuation(10)
    15.0
    """
    unstable = list(unstable)
    counted_from = float(acknowledged_at)
    in_force_at = _extended(counted_from, unstable)
    for outage in outages:
        if (
            outage.started_at < in_force_at
            and outage.ended_at > acknowledged_at
        ):
            well_at = outage.ended_at + WELL_SECONDS
            counted_from = max(counted_from, well_at)
            in_force_at = _extended(counted_from, unstable)
    return in_force_at


def _extended(counted_from: float, unstable: Iterable[Disturbance]) -> float:
    """Return when the bound has counted to its end."""
    latest = counted_from + EVACUATE_SECONDS + MAX_EXTENSION_SECONDS
    in_force_at = counted_from + EVACUATE_SECONDS
    covered_until = counted_from
    for disturbance in unstable:
        started_at = max(disturbance.started_at, covered_until)
        if started_at < in_force_at and started_at < disturbance.ended_at:
            in_force_at += disturbance.ended_at - started_at
            covered_until = disturbance.ended_at
    return min(in_force_at, latest)
