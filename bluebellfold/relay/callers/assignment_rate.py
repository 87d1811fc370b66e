"""Measure how fast the flows of a service are assigned while others wait.

The wait of a queued flow is predicted from this rate. A rate over few flows, or
one that includes a time without upstreams or without queued flows, is lower
than what the service can assign, and flows that could still be served would be
refused: after a start, after a power loss, when a part of the upstreams
returns, and with few flows per second.
"""

import math
from collections import deque

from bluebellfold.relay.callers.queued_flow import QUEUE_TIMEOUT_SECONDS

# As long as the longest wait that is predicted from the rate.
WINDOW_SECONDS = QUEUE_TIMEOUT_SECONDS
# The standard error of a rate over this many flows is 22%.
MIN_ASSIGNMENTS = 20


class AssignmentRate:
    """Count the assignments of the last window.

    ``now`` is in seconds of a monotonic clock, rates are in flows per second.
    """

    __slots__ = ('_moments', '_started_at')

    def __init__(self, *, now: float) -> None:
        self._moments: deque[float] = deque()
        self._started_at = now

    def restart(self, now: float) -> None:
        """Forget the assignments: what limits them has changed."""
        self._moments.clear()
        self._started_at = now

    def record(self, now: float) -> None:
        """Count an assignment."""
        self._moments.append(now)
        self._forget_before(now - WINDOW_SECONDS)

    def retract(self) -> None:
        """Uncount an assignment whose agent did not accept the flow."""
        if self._moments:
            self._moments.pop()

    def mean(self, now: float) -> float:
        """Return the rate, or 0 before the end of the first window."""
        if now - self._started_at < WINDOW_SECONDS:
            return 0
        self._forget_before(now - WINDOW_SECONDS)
        return len(self._moments) / WINDOW_SECONDS

    def upper_bound(self, now: float) -> float:
        """Return the rate plus its standard error, or 0 if it is unknown.

        >>> rate = AssignmentRate(now=0)
        >>> for number in range(100):
        ...     rate.record(1 + number / 1000)
        >>> rate.upper_bound(1.2), round(rate.upper_bound(1.5), 1)
        (0, 84.6)
        """
        mean = self.mean(now)
        assignments = len(self._moments)
        if not mean or assignments < MIN_ASSIGNMENTS:
            return 0
        return (assignments + math.sqrt(assignments)) / WINDOW_SECONDS

    def _forget_before(self, moment: float) -> None:
        while self._moments and self._moments[0] < moment:
            self._moments.popleft()
