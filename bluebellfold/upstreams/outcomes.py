"""Define the outcomes of a request: answered, not run or unknown."""

from bluebellfold.core import Record, Sentinel, read_only

QUEUE_TOO_LONG = Sentinel(
    name='queue-too-long',
    reason='the predicted wait exceeds the limit for queues of its kind',
)
WAITED_TOO_LONG = Sentinel(
    name='waited-too-long',
    reason='the request waited in its queue for the maximum time',
)
OVER_SHARE = Sentinel(
    name='over-share',
    reason='its kind already uses all the capacity that it may use',
)
DEADLINE_TOO_NEAR = Sentinel(
    name='deadline-too-near',
    reason='the deadline passes before the request can complete',
)
DRAINING = Sentinel(
    name='draining',
    reason='the upstream is draining and accepts no new requests',
)
NOT_SERVED = Sentinel(
    name='not-served',
    reason='the service does not accept this request kind',
)
CONNECT_FAILED = Sentinel(
    name='connect-failed',
    reason='no connection to the upstream could be opened',
)
SHED = Sentinel(
    name='shed',
    reason='the upstream refused the request and reports that it did not run',
)
WITHDRAWN = Sentinel(
    name='withdrawn',
    reason='the client cancelled the request before any byte was sent',
)
BODY_OVERRUN = Sentinel(
    name='body-overrun',
    reason='more body parts arrived than the flow-control window allows',
)
CUT = Sentinel(
    name='cut',
    reason='the upstream connection ended before the response was complete',
)
LATE = Sentinel(
    name='late',
    reason='the deadline passed before the response was complete',
)
CANCELLED = Sentinel(
    name='cancelled',
    reason='the client cancelled the request after bytes of it were sent',
)
MALFORMED = Sentinel(
    name='malformed',
    reason='the request or its response violates HTTP/1.1',
)
UNFRAMED = Sentinel(
    name='unframed',
    reason='the response has no framing, so it may be truncated',
)
FAILED = Sentinel(
    name='failed',
    reason='the exchange failed with an internal error',
)


class Outcome(Record):
    """State how a request ended."""

    __slots__ = ()


class Answered(Outcome):
    """State that the complete response was received from the upstream."""

    __slots__ = ('_status',)

    status: int = read_only('_status')

    def __init__(self, *, status: int) -> None:
        self._status = status


class NotRun(Outcome):
    """State that the request did not and will not run."""

    __slots__ = ('_reason',)

    reason: Sentinel = read_only('_reason')

    def __init__(self, *, reason: Sentinel) -> None:
        self._reason = reason


class Unknown(Outcome):
    """State that the request may have run."""

    __slots__ = ('_reason',)

    reason: Sentinel = read_only('_reason')

    def __init__(self, *, reason: Sentinel) -> None:
        self._reason = reason


_OUTCOME_NAMES = (
    (Answered, 'answered'),
    (NotRun, 'not-run'),
    (Unknown, 'unknown'),
)


def outcome_name(outcome: Outcome) -> str:
    """Return the outcome's name in response headers and metrics.

    >>> outcome_name(Answered(status=200))
    'answered'
    """
    for outcome_type, name in _OUTCOME_NAMES:
        if isinstance(outcome, outcome_type):
            return name
    return 'unknown'
