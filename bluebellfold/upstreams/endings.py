"""Map the early endings of an exchange to outcomes."""

import logging

import h11

from bluebellfold.core import Record, Sentinel, read_only
from bluebellfold.upstreams import outcomes

_log = logging.getLogger(__name__)


class Ending(Record):
    """Hold an early ending's reasons, before and after the first byte."""

    __slots__ = ('_after', '_before')

    after: Sentinel = read_only('_after')
    before: Sentinel = read_only('_before')

    def __init__(self, *, before: Sentinel, after: Sentinel) -> None:
        self._before = before
        self._after = after

    def outcome(self, *, sent: bool) -> outcomes.Outcome:
        """Return NotRun if no byte was sent upstream, else Unknown."""
        if sent:
            return outcomes.Unknown(reason=self._after)
        return outcomes.NotRun(reason=self._before)


CLIENT_CANCELLED = Ending(
    before=outcomes.WITHDRAWN,
    after=outcomes.CANCELLED,
)
DEADLINE_PASSED = Ending(
    before=outcomes.DEADLINE_TOO_NEAR,
    after=outcomes.LATE,
)
CONNECTION_LOST = Ending(
    before=outcomes.CONNECT_FAILED,
    after=outcomes.CUT,
)
REQUEST_MALFORMED = Ending(
    before=outcomes.MALFORMED,
    after=outcomes.MALFORMED,
)
BODY_WINDOW_EXCEEDED = Ending(
    before=outcomes.BODY_OVERRUN,
    after=outcomes.BODY_OVERRUN,
)
EXCHANGE_FAILED = Ending(before=outcomes.FAILED, after=outcomes.FAILED)


def ending_of(error: Exception) -> Ending:
    """Return the ending for an error that a connection raised."""
    if isinstance(error, h11.LocalProtocolError):
        return REQUEST_MALFORMED
    if isinstance(error, (OSError, TimeoutError, h11.RemoteProtocolError)):
        return CONNECTION_LOST
    _log.error(
        'exchange failed with an unexpected error',
        exc_info=error,
        extra={'event': 'BBF0400'},
    )
    return EXCHANGE_FAILED
