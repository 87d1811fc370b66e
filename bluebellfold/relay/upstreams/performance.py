"""Measure how an upstream serves its requests.

Detects upstreams that fail requests while they announce themselves as
healthy, that hang, and that turn slow. Without it, one that fails requests at
once would look idle and attract new flows. Upstreams whose speeds differ
permanently are weighted by the mean work; it comes with a bound on its error,
so that equally fast ones are treated as equal.
"""

from http import HTTPStatus
from math import hypot, sqrt

# Weight of the newest response in the mean: ten responses show a change.
SMOOTHING_FACTOR = 0.1
# The mean is as exact as one of this many responses, each with equal weight.
MAX_SAMPLES = (2 - SMOOTHING_FACTOR) / SMOOTHING_FACTOR
# An upstream that gets hardly any flows because it was slow is tried again: its
# measurements count less with time.
SAMPLES_HALF_LIFE_SECONDS = 5.0
# With less, the mean is unknown: even if it was exact, it is over 30 s old.
MIN_SAMPLES = 0.2
# Longer work counts as this multiple of the mean. Without the limit, one of the
# 3% of requests that take seven times as long raises the mean by 60%.
MAX_WORK_RATIO = 3.0
# Relative variance of work before it is measured: that of exponential times.
INITIAL_VARIANCE = 1.0
# The mean is within two standard errors in 95% of cases.
STANDARD_ERRORS = 2.0
# The kinds of requests of one service take 13 and 17 ms, or 40 and 52 ms, and
# an upstream may get one kind only: log(1.3) is 0.27.
KIND_ERROR = 0.3
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

    __slots__ = (
        '_decayed_at',
        '_failures',
        '_samples',
        '_successes',
        '_variance',
        '_work_seconds',
    )

    def __init__(self, *, now: float) -> None:
        self.reset(now)

    @property
    def work_seconds(self) -> float:
        """Return the mean work time without queueing, 0 if unknown."""
        return self._work_seconds

    def work_error(self, now: float) -> float:
        """Return the bound on the relative error of the mean work time.

        >>> performance = Performance(now=0)
        >>> performance.work_error(now=0)
        inf
        >>> for _ in range(10):
        ...     performance.record_response(
        ...         0.05, in_flight=1, slots=1, status=200, now=0
        ...     )
        >>> round(performance.work_error(now=0), 2)
        0.4
        """
        self._decay(now)
        if self._samples < MIN_SAMPLES:
            return float('inf')
        deviation = sqrt(self._variance / self._samples)
        return hypot(KIND_ERROR, STANDARD_ERRORS * deviation)

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
        self._record_work(work)

    def record_failure(self, *, now: float) -> None:
        """Count a request that failed, was reset or hangs."""
        self._decay(now)
        self._failures += 1

    def reset(self, now: float) -> None:
        """Discard all measurements, since the upstream has restarted."""
        self._work_seconds = float(0)
        self._variance = INITIAL_VARIANCE
        self._samples = float(0)
        self._successes = float(0)
        self._failures = float(0)
        self._decayed_at = now

    def _record_work(self, work: float) -> None:
        self._samples = min(self._samples + 1, MAX_SAMPLES)
        if not self._work_seconds:
            self._work_seconds = work
            return
        # The first responses have equal weights.
        weight = max(1 / self._samples, SMOOTHING_FACTOR)
        excess = min(work / self._work_seconds, MAX_WORK_RATIO) - 1
        # The initial variance counts as one more response.
        variance_weight = max(1 / (self._samples + 1), SMOOTHING_FACTOR)
        self._variance += variance_weight * (excess * excess - self._variance)
        self._work_seconds *= 1 + weight * excess

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        factor = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self._decayed_at = now
        self._samples *= 0.5 ** (elapsed / SAMPLES_HALF_LIFE_SECONDS)
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
