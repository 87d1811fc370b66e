"""Limit the rate of events, such as new flows, with a token bucket."""

from bluebellfold.core import Sentinel

BURST_SECONDS = 1.0

TOO_MANY_FLOWS = Sentinel(
    name='too-many-flows',
    reason='the address exceeded its limit of new flows per second',
)


class RateLimiter:
    """Admit events at a rate, with bursts of up to one second's worth.

    >>> limiter = RateLimiter(rate_per_second=2, now=0)
    >>> [limiter.admit(now=0) for _ in range(3)]
    [True, True, False]
    >>> limiter.admit(now=0.5)
    True
    """

    __slots__ = ('_rate_per_second', '_refilled_at', '_tokens')

    def __init__(self, *, rate_per_second: float, now: float) -> None:
        self._rate_per_second = rate_per_second
        self._tokens = rate_per_second * BURST_SECONDS
        self._refilled_at = now

    def admit(self, *, now: float) -> bool:
        """Tell whether one more event is admitted at ``now``, in seconds."""
        refill = (now - self._refilled_at) * self._rate_per_second
        self._refilled_at = now
        capacity = self._rate_per_second * BURST_SECONDS
        self._tokens = min(capacity, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
