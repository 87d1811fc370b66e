"""Define requests and the messages between an exchange and its owner."""

from bluebellfold.core import Kind, Message, Record, read_only
from bluebellfold.upstreams.outcomes import Outcome

RequestKey = str | int


class HeaderField(Record):
    """Hold one header field; its name is in lower case."""

    __slots__ = ('_name', '_text')

    name: str = read_only('_name')
    text: str = read_only('_text')

    def __init__(self, *, name: str, text: str) -> None:
        self._name = name
        self._text = text


class Request(Record):
    """Describe a request without its body.

    ``key`` is unique in this process. Times are in seconds of the clock.
    The deadline applies to the response head if the kind holds a connection,
    else to the complete response.
    """

    __slots__ = (
        '_arrived_at',
        '_deadline_at',
        '_fields',
        '_key',
        '_kind',
        '_method',
        '_path',
    )

    arrived_at: float = read_only('_arrived_at')
    deadline_at: float = read_only('_deadline_at')
    fields: tuple[HeaderField, ...] = read_only('_fields')
    key: RequestKey = read_only('_key')
    kind: Kind = read_only('_kind')
    method: str = read_only('_method')
    path: str = read_only('_path')

    def __init__(
        self,
        *,
        key: RequestKey,
        kind: Kind,
        method: str,
        path: str,
        fields: tuple[HeaderField, ...],
        arrived_at: float,
        deadline_at: float,
    ) -> None:
        self._key = key
        self._kind = kind
        self._method = method
        self._path = path
        self._fields = fields
        self._arrived_at = arrived_at
        self._deadline_at = deadline_at


class BodyPart(Message):
    """Give the exchange a part of the body; the last may be empty."""

    __slots__ = ('_last', '_payload')

    last: bool = read_only('_last')
    payload: bytes = read_only('_payload')

    def __init__(self, *, payload: bytes, last: bool) -> None:
        self._payload = payload
        self._last = last


class Cancel(Message):
    """Cancel the exchange because the client cancelled the request."""

    __slots__ = ()


class WindowUpdate(Message):
    """Allow the exchange to deliver this many more response parts."""

    __slots__ = ('_parts',)

    parts: int = read_only('_parts')

    def __init__(self, *, parts: int = 1) -> None:
        self._parts = parts


class BodyPartSent(Message):
    """Report to the owner that one body part was written upstream."""

    __slots__ = ('_key',)

    key: RequestKey = read_only('_key')

    def __init__(self, *, key: RequestKey) -> None:
        self._key = key


class ResponseHead(Message):
    """Report the status and the fields of the response to the owner."""

    __slots__ = ('_fields', '_key', '_status')

    fields: tuple[HeaderField, ...] = read_only('_fields')
    key: RequestKey = read_only('_key')
    status: int = read_only('_status')

    def __init__(
        self,
        *,
        key: RequestKey,
        status: int,
        fields: tuple[HeaderField, ...],
    ) -> None:
        self._key = key
        self._status = status
        self._fields = fields


class ResponseBody(Message):
    """Deliver a part of the response; the owner replies with WindowUpdate."""

    __slots__ = ('_key', '_payload')

    key: RequestKey = read_only('_key')
    payload: bytes = read_only('_payload')

    def __init__(self, *, key: RequestKey, payload: bytes) -> None:
        self._key = key
        self._payload = payload


class ResponseEnd(Message):
    """Report to the owner how the request ended; no message follows."""

    __slots__ = ('_key', '_outcome')

    key: RequestKey = read_only('_key')
    outcome: Outcome = read_only('_outcome')

    def __init__(self, *, key: RequestKey, outcome: Outcome) -> None:
        self._key = key
        self._outcome = outcome
