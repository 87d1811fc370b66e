"""Limit the new flows that an upstream receives while it is cold.

Load pattern: the upstreams of a whole zone return cold under full load. Every
balancer sees them idle and offers them flows at once, many times what they can
handle. The agent sees the opening packets of all balancers, so that its token
bucket enforces the limit whatever they offer.

The bound is the rate times the overshoot plus the slack, in any second. A
restarted agent doesn't know what its predecessor accepted, so each start has a
share of the slack until the rate is known, and the bucket holds what the bound
leaves beside these shares and a second at the rate.
"""

import math

from bluebellfold.core import NO_VERSION
from bluebellfold.relay.agents import NO_FLOW_LIMIT

# An agent that crashes again and again starts at most this often in any second,
# since a process takes some 0.3 s until it receives packets.
MAX_STARTS_PER_SECOND = 4
# Without a known slack, or at a rate of less than one flow a second, the bucket
# still has to hold the one flow that it lets through.
MIN_BURST_FLOWS = 1.0


class WarmupLimit:
    """Count the new flows that a cold upstream may still receive.

    ``slack`` is in flows and ``overshoot`` a factor of the rate; either is
    None if the platform sets no bound. Rates are in flows per second, and times
    in seconds of a monotonic clock.
    """

    __slots__ = (
        '_flows_before_rate',
        '_overshoot',
        '_rate',
        '_refilled_at',
        '_slack',
        '_tokens',
        '_version',
    )

    def __init__(
        self,
        *,
        now: float,
        slack: float | None = None,
        overshoot: float | None = None,
    ) -> None:
        self._slack = slack
        self._overshoot = overshoot
        self._flows_before_rate = math.floor(
            (slack or 0) / MAX_STARTS_PER_SECOND
        )
        self._rate: float | None = None
        self._refilled_at = now
        self._tokens = float(0)
        self._version = NO_VERSION

    @property
    def flows_per_second(self) -> float:
        """Return the rate, 0 if it isn't limited or not known yet."""
        return self._rate or 0

    @property
    def is_limited(self) -> bool:
        """Return whether the flows of a cold upstream are limited."""
        if self._rate is None:
            return self._slack is not None
        return self._rate > 0

    def learn_rate(
        self, flows_per_second: float, *, version: int, now: float
    ) -> bool:
        """Set the rate that a version of the configuration states.

        Ignore an older version, and return whether the rate has changed.
        """
        if version == NO_VERSION or version < self._version:
            return False
        self._version = version
        if flows_per_second == self._rate:
            return False
        self._refill(now)
        if not self._rate:
            # Nothing is known of the flows before the limit.
            self._tokens = float(0)
        self._rate = flows_per_second
        self._tokens = min(self._tokens, self._burst)
        return True

    def flows_left(self, now: float) -> int:
        """Return how many flows may be accepted now, up to NO_FLOW_LIMIT."""
        if not self.is_limited:
            return NO_FLOW_LIMIT
        if self._rate is None:
            left = self._flows_before_rate
        else:
            self._refill(now)
            left = math.floor(self._tokens)
        return min(left, NO_FLOW_LIMIT - 1)

    def take(self, now: float) -> bool:
        """Count a new flow, or return False if it is over the limit."""
        if not self.is_limited:
            return True
        if not self.flows_left(now):
            return False
        if self._rate is None:
            self._flows_before_rate -= 1
        else:
            self._tokens -= 1
        return True

    @property
    def _burst(self) -> float:
        """Return how many flows the bucket holds."""
        if self._slack is None:
            return MIN_BURST_FLOWS
        margin = ((self._overshoot or 1) - 1) * self.flows_per_second
        other_starts = MAX_STARTS_PER_SECOND - 1
        shares = other_starts * math.floor(self._slack / MAX_STARTS_PER_SECOND)
        return max(
            MIN_BURST_FLOWS, min(self._slack, self._slack - shares + margin)
        )

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self.flows_per_second
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, self._burst)
