"""Define the spans of a flow, and derive their trace and parent ids.

The trace id is derived from the flow key, so that the spans of a balancer
and an agent, which share no state, belong to one trace.
"""

import hashlib

from bluebellfold.core import Record, read_only

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
TRACE_ID_COUNT = 1 << (8 * TRACE_ID_BYTES)
WHOLE_FLOW = -1


class Attribute(Record):
    """Hold one attribute of a span."""

    __slots__ = ('_name', '_attribute_value')

    name: str = read_only('_name')
    attribute_value: str | int | float = read_only('_attribute_value')

    def __init__(self, *, name: str, attribute_value: str | float) -> None:
        self._name = name
        self._attribute_value = attribute_value


class Span(Record):
    """Describe one finished step of a flow or of one of its requests.

    ``flow`` is the flow key, ``request`` the request's number in the flow,
    or WHOLE_FLOW. Times are in seconds since the epoch. ``owner`` marks the
    span of the agent that owns the flow or the request; it is the parent of
    the other spans of that flow or request.
    """

    __slots__ = (
        '_attributes',
        '_ended_at',
        '_flow',
        '_name',
        '_owner',
        '_request',
        '_started_at',
    )

    attributes: tuple[Attribute, ...] = read_only('_attributes')
    ended_at: float = read_only('_ended_at')
    flow: bytes = read_only('_flow')
    name: str = read_only('_name')
    owner: bool = read_only('_owner')
    request: int = read_only('_request')
    started_at: float = read_only('_started_at')

    def __init__(
        self,
        *,
        name: str,
        flow: bytes,
        started_at: float,
        ended_at: float,
        request: int = WHOLE_FLOW,
        owner: bool = False,
        attributes: tuple[Attribute, ...] = (),
    ) -> None:
        self._name = name
        self._flow = flow
        self._started_at = started_at
        self._ended_at = ended_at
        self._request = request
        self._owner = owner
        self._attributes = attributes


def trace_id_of(flow: bytes) -> int:
    """Return the trace id of a flow, never 0."""
    return _hash(flow, TRACE_ID_BYTES)


def owner_span_id(flow: bytes, request: int = WHOLE_FLOW) -> int:
    """Return the id of the owner's span of a flow or a request, never 0."""
    return _hash(b'%d/%b' % (request, flow), SPAN_ID_BYTES)


def parent_span_id(span: Span) -> int | None:
    """Return the id of the parent of a span, if any."""
    if not span.owner:
        return owner_span_id(span.flow, span.request)
    if span.request == WHOLE_FLOW:
        return None
    return owner_span_id(span.flow)


def is_traced(flow: bytes, share: float) -> bool:
    """Return whether a flow is sampled, the same in all processes."""
    return trace_id_of(flow) < share * TRACE_ID_COUNT


def _hash(key: bytes, size: int) -> int:
    digest = hashlib.blake2b(key, digest_size=size).digest()
    return int.from_bytes(digest) or 1
