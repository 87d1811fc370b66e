"""Judge an upstream by what it really served.

Answers upstreams that fail requests while they call themselves healthy, that
hang, and that turn slow. One that fails at once would otherwise look idle
and draw new flows.
"""

from http import HTTPStatus

# Weight of the newest answer in the mean: ten answers tell of a change.
NEWEST_WEIGHT = 0.1
# How fast outcomes are forgotten. Balancers give a failing upstream next to
# nothing, so its share has to fall for it to be tried again.
HALF_LIFE_SECONDS = 2.0
# One failure may be the client's; several in a few seconds are not.
MIN_FAILURES = 1.5
# An upstream with a full queue that works five times as long answers sooner.
HANGING_SECONDS = 1.0


class Performance:
    """Hold how long an upstream works on a request, and what it fails."""

    __slots__ = ('_counted_at', '_failures', '_successes', '_work_seconds')

    def __init__(self, *, now: float) -> None:
        self.begin_anew(now)

    @property
    def work_seconds(self) -> float:
        """Return the mean work of a request without its wait, 0 if unknown."""
        return self._work_seconds

    def failure_share(self, now: float) -> float:
        """Return which part of the late requests failed, from 0 to 1.

        >>> performance = Performance(now=0)
        >>> performance.note_answer(0.05, busy=1, slots=1, status=200, now=0)
        >>> for _ in range(3):
        ...     performance.note_failure(now=0)
        >>> performance.failure_share(now=0)
        0.75
        >>> performance.failure_share(now=60)
        0
        """
        self._forget(now)
        if self._failures < MIN_FAILURES:
            return 0
        return self._failures / (self._failures + self._successes)

    def note_answer(
        self, seconds: float, *, busy: int, slots: int, status: int, now: float
    ) -> None:
        """Take an answer, and how many requests the upstream had with it."""
        if is_failure(status, busy=busy, slots=slots):
            self.note_failure(now=now)
            return
        self._forget(now)
        self._successes += 1
        # Requests beyond the slots wait for those before them.
        work = seconds * slots / max(busy, slots)
        if not self._work_seconds:
            self._work_seconds = work
        self._work_seconds += NEWEST_WEIGHT * (work - self._work_seconds)

    def note_failure(self, *, now: float) -> None:
        """Take a request that was cut, or that stays without an answer."""
        self._forget(now)
        self._failures += 1

    def begin_anew(self, now: float) -> None:
        """Forget what is known: the upstream has started again."""
        self._work_seconds = float(0)
        self._successes = float(0)
        self._failures = float(0)
        self._counted_at = now

    def _forget(self, now: float) -> None:
        kept = 0.5 ** ((now - self._counted_at) / HALF_LIFE_SECONDS)
        self._counted_at = now
        self._successes *= kept
        self._failures *= kept


def is_failure(status: int, *, busy: int, slots: int) -> bool:
    """Tell whether an answer is the upstream's failure.

    >>> [is_failure(status, busy=1, slots=2) for status in (200, 404, 500, 503)]
    [False, False, True, True]
    >>> is_failure(503, busy=10, slots=2)
    False
    """
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        # A full upstream does well to reject; an idle one has no reason.
        return busy <= slots
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR
