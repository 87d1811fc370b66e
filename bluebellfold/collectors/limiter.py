"""Limit the rate of log lines for each reason."""

from collections import OrderedDict

from bluebellfold.core import Record, Sentinel, read_only

LINE_INTERVAL_SECONDS = 1.0
MAX_REASONS = 1024

SUPPRESSED = Sentinel(
    name='suppressed',
    reason='a line with this reason was logged less than a second ago',
)


class Admitted(Record):
    """Admit a line, with the number of lines suppressed before it."""

    __slots__ = ('_suppressed',)

    suppressed: int = read_only('_suppressed')

    def __init__(self, *, suppressed: int) -> None:
        self._suppressed = suppressed


class _LoggedReason:
    """Hold when a reason was last logged, and the lines suppressed since."""

    __slots__ = ('logged_at', 'suppressed')

    def __init__(self, logged_at: float) -> None:
        self.logged_at = logged_at
        self.suppressed = 0


class LineLimiter:
    """Admit one line a second for each reason.

    >>> limiter = LineLimiter()
    >>> limiter.admit('forged-token', now=0.0)
    Admitted(suppressed=0)
    >>> limiter.admit('forged-token', now=0.9).name
    'suppressed'
    >>> limiter.admit('forged-token', now=1.0)
    Admitted(suppressed=1)
    """

    __slots__ = ('_interval_seconds', '_reasons')

    def __init__(
        self,
        *,
        interval_seconds: float = LINE_INTERVAL_SECONDS,
    ) -> None:
        self._interval_seconds = interval_seconds
        self._reasons: OrderedDict[str, _LoggedReason] = OrderedDict()

    def admit(self, reason: str, *, now: float) -> Admitted | Sentinel:
        """Return Admitted, or SUPPRESSED; ``now`` in seconds."""
        last = self._reasons.get(reason)
        if last is None:
            self._record_line(reason, now)
            return Admitted(suppressed=0)
        if now - last.logged_at < self._interval_seconds:
            last.suppressed += 1
            return SUPPRESSED
        self._record_line(reason, now)
        return Admitted(suppressed=last.suppressed)

    def _record_line(self, reason: str, now: float) -> None:
        self._reasons[reason] = _LoggedReason(now)
        self._reasons.move_to_end(reason)
        if len(self._reasons) > MAX_REASONS:
            self._reasons.popitem(last=False)
