"""Spread new flows over upstreams whose loads are known from stale reports.

Many balancers that all choose the upstream with the least reported load send
their flows to the same one until its next report, while others are idle
(herding). Dahlin, "Interpreting stale load information" (1999): a balancer that
knows the arrival rate and the age of the reports knows how many flows others
have sent since. If these are spread evenly, they fill the least loaded
upstreams up to a common level, and a flow is one of them.
"""

from collections.abc import Sequence


def fill_to_common_level(
    levels: Sequence[float], capacities: Sequence[float], flows: float
) -> list[float]:
    """Return how many of the flows each upstream gets for equal levels.

    One flow raises the level of an upstream by 1 / capacity. Upstreams above
    the common level get none. The time is O(n log n).

    >>> fill_to_common_level([0, 1, 5], [1, 1, 1], 3)
    [2.0, 1.0, 0]
    >>> fill_to_common_level([0, 0], [3, 1], 2)
    [1.5, 0.5]
    """
    capacity = float(0)
    # Sum of capacity * level over the upstreams below the common level.
    filled = float(0)
    for index in sorted(range(len(levels)), key=levels.__getitem__):
        level = levels[index]
        if level * capacity - filled >= flows:
            break
        capacity += capacities[index]
        filled += capacities[index] * level
    common_level = (flows + filled) / capacity
    return [
        max(common_level - level, 0) * share
        for level, share in zip(levels, capacities, strict=True)
    ]


def raise_to_common_level(
    levels: Sequence[float], capacities: Sequence[float], flows: float
) -> list[float]:
    """Return the levels after the flows were spread for equal levels.

    >>> raise_to_common_level([0, 1, 5], [1, 1, 1], 3)
    [2.0, 2.0, 5.0]
    """
    if not levels:
        return list(levels)
    parts = fill_to_common_level(levels, capacities, flows)
    return [
        level + part / capacity
        for level, part, capacity in zip(levels, parts, capacities, strict=True)
    ]


def draw_index(parts: Sequence[float], fraction: float) -> int:
    """Return an index, drawn in proportion to the parts.

    ``fraction`` is a random number in [0, 1).

    >>> [draw_index([2, 0, 1], fraction) for fraction in (0, 0.6, 0.7)]
    [0, 0, 2]
    """
    remaining = fraction * sum(parts)
    chosen = 0
    for index, part in enumerate(parts):
        if not part:
            continue
        chosen = index
        if remaining < part:
            break
        remaining -= part
    return chosen
