"""Define the messages to and from the requests task."""

from bluebellfold.core import (
    Actor,
    Count,
    Kind,
    Message,
    Reply,
    Service,
    read_only,
)
from bluebellfold.upstreams.messages import BodyPart, Request, RequestKey


class SetObserver(Message):
    """Set the actor that receives UsageChanged and UpstreamShed."""

    __slots__ = ('_observer',)

    observer: Actor = read_only('_observer')

    def __init__(self, *, observer: Actor) -> None:
        self._observer = observer


class Submit(Message):
    """Submit a request; the owner receives its response and outcome."""

    __slots__ = ('_owner', '_request')

    owner: Actor = read_only('_owner')
    request: Request = read_only('_request')

    def __init__(self, *, request: Request, owner: Actor) -> None:
        self._request = request
        self._owner = owner


class SubmitBody(Message):
    """Submit a part of a request's body."""

    __slots__ = ('_key', '_part')

    key: RequestKey = read_only('_key')
    part: BodyPart = read_only('_part')

    def __init__(self, *, key: RequestKey, part: BodyPart) -> None:
        self._key = key
        self._part = part


class CancelRequest(Message):
    """Cancel a request on behalf of its client."""

    __slots__ = ('_key',)

    key: RequestKey = read_only('_key')

    def __init__(self, *, key: RequestKey) -> None:
        self._key = key


class ResponseForwarded(Message):
    """Confirm that parts of a response were forwarded to the client."""

    __slots__ = ('_key', '_parts')

    key: RequestKey = read_only('_key')
    parts: int = read_only('_parts')

    def __init__(self, *, key: RequestKey, parts: int) -> None:
        self._key = key
        self._parts = parts


class BodyBytesSent(Message):
    """Report to the owner how many more body bytes were written upstream."""

    __slots__ = ('_key', '_size_bytes')

    key: RequestKey = read_only('_key')
    size_bytes: int = read_only('_size_bytes')

    def __init__(self, *, key: RequestKey, size_bytes: int) -> None:
        self._key = key
        self._size_bytes = size_bytes


class DrainRequests(Message):
    """Refuse new requests.

    Running requests continue; queued ones may start for
    DRAIN_START_WINDOW_SECONDS.
    """

    __slots__ = ()


class UpdateService(Message):
    """Apply new capacities of the service and new request kinds."""

    __slots__ = ('_kinds', '_service')

    kinds: tuple[Kind, ...] = read_only('_kinds')
    service: Service = read_only('_service')

    def __init__(self, *, service: Service, kinds: tuple[Kind, ...]) -> None:
        self._service = service
        self._kinds = kinds


class RequestCounts(Message):
    """Report the current usage of an upstream and its outcome counters."""

    __slots__ = ('_connections', '_counts', '_slots', '_waiting')

    connections: int = read_only('_connections')
    counts: tuple[Count, ...] = read_only('_counts')
    slots: int = read_only('_slots')
    waiting: int = read_only('_waiting')

    def __init__(
        self,
        *,
        slots: int,
        connections: int,
        waiting: int,
        counts: tuple[Count, ...],
    ) -> None:
        self._slots = slots
        self._connections = connections
        self._waiting = waiting
        self._counts = counts


class GetRequestCounts(Message):
    """Ask the requests task for its RequestCounts."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class UpstreamShed(Message):
    """Report to the observer that the upstream shed a request."""

    __slots__ = ()


class UsageChanged(Message):
    """Report to the observer how much of the upstream is in use."""

    __slots__ = ('_connections', '_slots')

    connections: int = read_only('_connections')
    slots: int = read_only('_slots')

    def __init__(self, *, slots: int, connections: int) -> None:
        self._slots = slots
        self._connections = connections
