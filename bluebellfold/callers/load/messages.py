"""Define the messages between the tasks of a load run."""

from bluebellfold.callers.load.arrivals import Arrival
from bluebellfold.callers.load.plan import KindLoad
from bluebellfold.core import Message, read_only

ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
BROKEN = 'broken'


class SendRequest(Message):
    """Make a worker send a request now."""

    __slots__ = ('_arrival',)

    arrival: Arrival = read_only('_arrival')

    def __init__(self, *, arrival: Arrival) -> None:
        self._arrival = arrival


class HoldStream(Message):
    """Make a worker hold one stream open until the worker stops."""

    __slots__ = ('_kind',)

    kind: KindLoad = read_only('_kind')

    def __init__(self, *, kind: KindLoad) -> None:
        self._kind = kind


class RequestEnded(Message):
    """Report the outcome of a request.

    ``sent_at`` is in seconds from the start of the run, ``lag_seconds`` is
    the delay of the load generator itself after the due time, and ``seconds``
    is the time from sending to the outcome.
    """

    __slots__ = (
        '_kind',
        '_lag_seconds',
        '_outcome',
        '_reason',
        '_request_id',
        '_seconds',
        '_sent_at',
        '_upstream',
    )

    kind: str = read_only('_kind')
    lag_seconds: float = read_only('_lag_seconds')
    outcome: str = read_only('_outcome')
    reason: str = read_only('_reason')
    request_id: str = read_only('_request_id')
    seconds: float = read_only('_seconds')
    sent_at: float = read_only('_sent_at')
    upstream: str = read_only('_upstream')

    def __init__(
        self,
        *,
        kind: str,
        request_id: str,
        sent_at: float,
        lag_seconds: float,
        seconds: float,
        outcome: str,
        reason: str = '',
        upstream: str = '',
    ) -> None:
        self._kind = kind
        self._request_id = request_id
        self._sent_at = sent_at
        self._lag_seconds = lag_seconds
        self._seconds = seconds
        self._outcome = outcome
        self._reason = reason
        self._upstream = upstream


class StreamOpened(Message):
    """Report that an upstream has started the response of a stream."""

    __slots__ = ('_kind', '_upstream')

    kind: str = read_only('_kind')
    upstream: str = read_only('_upstream')

    def __init__(self, *, kind: str, upstream: str) -> None:
        self._kind = kind
        self._upstream = upstream


class StreamBroken(Message):
    """Report a stream that ended or failed before the end of the run."""

    __slots__ = ('_kind', '_reason')

    kind: str = read_only('_kind')
    reason: str = read_only('_reason')

    def __init__(self, *, kind: str, reason: str) -> None:
        self._kind = kind
        self._reason = reason
