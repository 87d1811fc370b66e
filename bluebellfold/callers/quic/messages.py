"""Define the messages of flows and the messages to the flows task."""

from aioquic.quic.configuration import QuicConfiguration

from bluebellfold.core import (
    Count,
    Kind,
    Member,
    Message,
    Reply,
    Service,
    read_only,
)
from bluebellfold.upstreams import HeaderField


class RequestHead(Message):
    """Report the head of a request; ``last`` if no body follows."""

    __slots__ = ('_fields', '_last', '_stream_id')

    fields: tuple[HeaderField, ...] = read_only('_fields')
    last: bool = read_only('_last')
    stream_id: int = read_only('_stream_id')

    def __init__(
        self,
        *,
        stream_id: int,
        fields: tuple[HeaderField, ...],
        last: bool,
    ) -> None:
        self._stream_id = stream_id
        self._fields = fields
        self._last = last

    def field_text(self, name: str) -> str:
        """Return a field's text, empty if the field is missing."""
        for field in self._fields:
            if field.name == name:
                return field.text
        return ''


class RequestBody(Message):
    """Report a part of a request body."""

    __slots__ = ('_last', '_payload', '_stream_id')

    last: bool = read_only('_last')
    payload: bytes = read_only('_payload')
    stream_id: int = read_only('_stream_id')

    def __init__(self, *, stream_id: int, payload: bytes, last: bool) -> None:
        self._stream_id = stream_id
        self._payload = payload
        self._last = last


class RequestAborted(Message):
    """Report that the client cancelled a request."""

    __slots__ = ('_stream_id',)

    stream_id: int = read_only('_stream_id')

    def __init__(self, *, stream_id: int) -> None:
        self._stream_id = stream_id


class FlowEnded(Message):
    """Report the end of a flow; error code 0 is an end without error."""

    __slots__ = ('_error_code', '_flow_key')

    error_code: int = read_only('_error_code')
    flow_key: bytes = read_only('_flow_key')

    def __init__(self, *, flow_key: bytes, error_code: int) -> None:
        self._flow_key = flow_key
        self._error_code = error_code


class ServiceChanged(Message):
    """Update the service, its kinds of work and its members."""

    __slots__ = ('_kinds', '_members', '_service')

    kinds: tuple[Kind, ...] = read_only('_kinds')
    members: tuple[Member, ...] = read_only('_members')
    service: Service = read_only('_service')

    def __init__(
        self,
        *,
        service: Service,
        kinds: tuple[Kind, ...],
        members: tuple[Member, ...],
    ) -> None:
        self._service = service
        self._kinds = kinds
        self._members = members

    def kind_at(self, address: int) -> Kind | None:
        """Return the service's kind of work with this address number."""
        for kind in self._kinds:
            if kind.number == address:
                return kind
        return None


class CertificateChanged(Message):
    """Use another certificate for new flows."""

    __slots__ = ('_quic',)

    quic: QuicConfiguration = read_only('_quic')

    def __init__(self, *, quic: QuicConfiguration) -> None:
        self._quic = quic


class DrainFlows(Message):
    """Stop accepting flows and reply when all open flows have ended.

    The reply holds the FlowCounts at that time or at the deadline.
    """

    __slots__ = ('_deadline_seconds', '_reply')

    deadline_seconds: float = read_only('_deadline_seconds')
    reply: Reply = read_only('_reply')

    def __init__(self, *, deadline_seconds: float, reply: Reply) -> None:
        self._deadline_seconds = deadline_seconds
        self._reply = reply


class FlowCounts(Message):
    """Hold the numbers of open flows and requests, and the event counts."""

    __slots__ = ('_counts', '_flows', '_requests')

    counts: tuple[Count, ...] = read_only('_counts')
    flows: int = read_only('_flows')
    requests: int = read_only('_requests')

    def __init__(
        self,
        *,
        flows: int,
        requests: int,
        counts: tuple[Count, ...],
    ) -> None:
        self._flows = flows
        self._requests = requests
        self._counts = counts


class GetFlowCounts(Message):
    """Request the FlowCounts of the flows task."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply
