"""Map requests to the flows and streams on which they arrived."""

import time

from bluebellfold.callers.quic.flow import Flow
from bluebellfold.core import Record, read_only


class OpenStream(Record):
    """Hold the stream of a request and the progress of its response.

    ``started_at`` is in seconds since the epoch.
    """

    __slots__ = (
        '_flow',
        '_head_sent',
        '_key',
        '_unconfirmed_parts',
        '_started_at',
        '_stream_id',
    )

    flow: Flow = read_only('_flow')
    head_sent: bool = read_only('_head_sent')
    key: int = read_only('_key')
    unconfirmed_parts: int = read_only('_unconfirmed_parts')
    started_at: float = read_only('_started_at')
    stream_id: int = read_only('_stream_id')

    def __init__(self, *, key: int, flow: Flow, stream_id: int) -> None:
        self._key = key
        self._flow = flow
        self._stream_id = stream_id
        self._started_at = time.time()
        self._head_sent = False
        self._unconfirmed_parts = 0

    def record_head(self) -> None:
        """Record that the response head was sent."""
        self._head_sent = True

    def record_part(self) -> None:
        """Record a response part not yet confirmed to the requests task."""
        self._unconfirmed_parts += 1

    def pop_unconfirmed_parts(self) -> int:
        """Return the number of unconfirmed parts and reset it to 0."""
        unconfirmed = self._unconfirmed_parts
        self._unconfirmed_parts = 0
        return unconfirmed


class StreamTable:
    """Hold the open streams by request key and by flow."""

    __slots__ = ('_by_key', '_by_flow', '_last_key')

    def __init__(self) -> None:
        self._by_key: dict[int, OpenStream] = {}
        self._by_flow: dict[bytes, dict[int, OpenStream]] = {}
        self._last_key = 0

    def __len__(self) -> int:
        """Return the number of open streams."""
        return len(self._by_key)

    def open(self, flow: Flow, stream_id: int) -> OpenStream:
        """Add a stream under a new request key."""
        self._last_key += 1
        stream = OpenStream(key=self._last_key, flow=flow, stream_id=stream_id)
        self._by_key[stream.key] = stream
        self._by_flow.setdefault(flow.key, {})[stream_id] = stream
        return stream

    def find(self, key: int) -> OpenStream | None:
        """Return the stream of a request, None if it is closed."""
        return self._by_key.get(key)

    def find_on_flow(self, flow: Flow, stream_id: int) -> OpenStream | None:
        """Return the open stream with this id on the flow, if any."""
        return self._by_flow.get(flow.key, {}).get(stream_id)

    def on_flow(self, flow: Flow) -> tuple[OpenStream, ...]:
        """Return the open streams of a flow."""
        return tuple(self._by_flow.get(flow.key, {}).values())

    def close(self, stream: OpenStream) -> None:
        """Remove a stream."""
        if self._by_key.pop(stream.key, None) is None:
            return
        streams = self._by_flow[stream.flow.key]
        streams.pop(stream.stream_id)
        if not streams:
            self._by_flow.pop(stream.flow.key)
