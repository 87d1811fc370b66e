"""Measure how an upstream serves its requests.

Detects upstreams that fail requests while they announce themselves as
healthy, that hang, and that turn slow. Without it, one that fails requests at
once would look idle and attract new flows.
"""

from http import HTTPStatus

# Weight of the newest response in the mean: ten responses show a change.
SMOOTHING_FACTOR = 0.1
# Half-life of the counted outcomes. Balancers send a failing upstream almost no
# flows, so its failure share has to decay before it gets flows again.
HALF_LIFE_SECONDS = 2.0
# With fewer recent failures the failure share is 0: a client may cause one
# failure, but not several in a few seconds.
MIN_FAILURES = 1.5
# Longer than an upstream with a full queue takes at five times the usual work.
HUNG_REQUEST_SECONDS = 1.0


class Performance:
    """Track the work time of an upstream and the share of failures."""

    __slots__ = ('_decayed_at', '_failures', '_successes', '_work_seconds')

    def __init__(self, *, now: float) -> None:
        self.reset(now)

    @property
    def work_seconds(self) -> float:
        """Return the mean work time without queueing, 0 if unknown."""
        return self._work_seconds

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1.

        >>> performance = Performance(now=0)
        >>> performance.record_response(
        ...     0.05, in_flight=1, slots=1, status=200, now=0
        ... )
        >>> for _ in range(3):
        ...     performance.record_failure(now=0)
        >>> performance.failure_share(now=0)
        0.75
        >>> performance.failure_share(now=60)
        0
        """
        self._decay(now)
        if self._failures < MIN_FAILURES:
            return 0
        return self._failures / (self._failures + self._successes)

    def record_response(
        self,
        seconds: float,
        *,
        in_flight: int,
        slots: int,
        status: int,
        now: float,
    ) -> None:
        """Record a response that arrived ``seconds`` after its request.

        ``in_flight`` is the number of requests in flight when the request
        arrived.
        """
        if is_failure(status, in_flight=in_flight, slots=slots):
            self.record_failure(now=now)
            return
        self._decay(now)
        self._successes += 1
        # Requests in excess of the slots are queued.
        work = seconds * slots / max(in_flight, slots)
        if not self._work_seconds:
            self._work_seconds = work
        self._work_seconds += SMOOTHING_FACTOR * (work - self._work_seconds)

    def record_failure(self, *, now: float) -> None:
        """Count a request that failed, was reset or hangs."""
        self._decay(now)
        self._failures += 1

    def reset(self, now: float) -> None:
        """Discard all measurements, since the upstream has restarted."""
        self._work_seconds = float(0)
        self._successes = float(0)
        self._failures = float(0)
        self._decayed_at = now

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        self._successes *= factor
        self._failures *= factor


def is_failure(status: int, *, in_flight: int, slots: int) -> bool:
    """Tell whether a response counts as a failure of the upstream.

    >>> [
    ...     is_failure(status, in_flight=1, slots=2)
    ...     for status in (200, 404, 500, 503)
    ... ]
    [False, False, True, True]
    >>> is_failure(503, in_flight=10, slots=2)
    False
    """
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        # A full upstream is right to reject; an idle one has no reason to.
        return in_flight <= slots
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR
