"""Measure the rate at which new flows reach an agent.

Many balancers act on the same load report, and each of them lets flows arrive
that the others don't know of. The agent reports the rate of all arrivals; a
balancer measures its own part in the same way and subtracts it.
"""

from math import exp

# Five report intervals of 0.2 s. A shorter time makes the rate of a single
# agent, which gets a few flows a second, too random; a longer one hides bursts.
ARRIVAL_WINDOW_SECONDS = 1.0


class ArrivalRate:
    """Count arrivals, each with a weight that decays exponentially.

    The rate of a restarted process starts at 0 and approaches the true rate
    from below. It is not extrapolated from the first arrivals: a single one
    would look like a burst.

    >>> arrivals = ArrivalRate(now=0)
    >>> arrivals.count(now=0)
    >>> arrivals.count(now=0)
    >>> arrivals.per_second(now=0)
    2.0
    >>> round(arrivals.per_second(now=1), 2)
    0.74
    """

    __slots__ = ('_counted', '_decayed_at')

    def __init__(self, *, now: float) -> None:
        self._counted = float(0)
        self._decayed_at = now

    def count(self, now: float) -> None:
        """Count one arrival."""
        self._counted = self._decayed(now) + 1
        self._decayed_at = max(now, self._decayed_at)

    def per_second(self, now: float) -> float:
        """Return the recent arrivals per second."""
        return self._decayed(now) / ARRIVAL_WINDOW_SECONDS

    def _decayed(self, now: float) -> float:
        elapsed = max(now - self._decayed_at, 0)
        return self._counted * exp(-elapsed / ARRIVAL_WINDOW_SECONDS)
