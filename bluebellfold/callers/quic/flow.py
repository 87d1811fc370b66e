"""Run the QUIC connection and the HTTP/3 streams of one flow."""

import time
from collections.abc import Iterator

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import (
    ConnectionTerminated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from bluebellfold.callers.quic.connection import TokenConnection, send_goaway
from bluebellfold.callers.quic.messages import (
    FlowEnded,
    RequestAborted,
    RequestBody,
    RequestHead,
)
from bluebellfold.core import Endpoint, Kind, Message, Registry
from bluebellfold.upstreams import HeaderField

_H3_REQUEST_CANCELLED = 0x10C
# The ids of successive request streams differ by 4 (RFC 9000).
_STREAM_ID_STEP = 4
BODY_BUFFER_LIMIT_BYTES = 262_144
# A client that completed its handshake with another agent sends nothing more
# to this agent, so its flow is dropped after this time.
HANDSHAKE_TIMEOUT_SECONDS = 5.0

_translators = Registry(name='translators of flow events')


class Flow:
    """Translate datagrams to request messages and responses to datagrams."""

    __slots__ = (
        '_client',
        '_http',
        '_key',
        '_kind',
        '_buffered_bytes',
        '_next_stream_id',
        '_opened_at',
        '_quic',
        '_last_received_at',
        '_started_at',
        '_via',
    )

    def __init__(
        self,
        *,
        key: bytes,
        kind: Kind,
        client: Endpoint,
        quic: TokenConnection,
        opened_at: float,
    ) -> None:
        self._key = key
        self._kind = kind
        self._client = client
        self._quic = quic
        self._started_at = time.time()
        self._last_received_at = opened_at
        self._opened_at = opened_at
        self._http = H3Connection(quic)
        self._next_stream_id = 0
        self._buffered_bytes: dict[int, int] = {}
        self._via: Endpoint | None = None

    @property
    def key(self) -> bytes:
        """Return the original destination connection id."""
        return self._key

    @property
    def kind(self) -> Kind:
        """Return the kind of work whose address received the flow."""
        return self._kind

    @property
    def started_at(self) -> float:
        """Return when the flow was opened, in seconds since the epoch."""
        return self._started_at

    @property
    def via(self) -> Endpoint | None:
        """Return the balancer that forwarded the newest datagram."""
        return self._via

    @property
    def is_established(self) -> bool:
        """Tell whether the handshake is complete."""
        return self._quic.is_established

    @property
    def connection_ids(self) -> tuple[bytes, ...]:
        """Return the connection ids that packets of the flow may carry."""
        return self._quic.connection_ids

    @property
    def next_timer_at(self) -> float | None:
        """Return when ``handle_timer`` is due, in seconds of the clock."""
        timer_at = self._quic.get_timer()
        if self.is_established:
            return timer_at
        handshake_expires_at = self._opened_at + HANDSHAKE_TIMEOUT_SECONDS
        return (
            handshake_expires_at
            if timer_at is None
            else min(timer_at, handshake_expires_at)
        )

    def idle_seconds(self, *, now: float) -> float:
        """Return the seconds since the last datagram of the client."""
        return now - self._last_received_at

    def is_handshake_expired(self, *, now: float) -> bool:
        """Tell whether the handshake exceeded its timeout."""
        if self.is_established:
            return False
        return now >= self._opened_at + HANDSHAKE_TIMEOUT_SECONDS

    def receive(
        self,
        payload: bytes,
        *,
        client: Endpoint,
        via: Endpoint,
        now: float,
    ) -> tuple[Message, ...]:
        """Process one datagram and return the resulting messages."""
        self._client = client
        self._via = via
        self._last_received_at = now
        self._quic.receive_datagram(payload, (client.host, client.port), now)
        return self._read_events()

    def handle_timer(self, *, now: float) -> tuple[Message, ...]:
        """Run the timers that are due and return the resulting messages."""
        self._quic.handle_timer(now)
        return self._read_events()

    def datagrams(self, *, now: float) -> tuple[tuple[bytes, Endpoint], ...]:
        """Return the datagrams to send now, each with its client endpoint."""
        return tuple(
            (payload, Endpoint(host=target[0], port=target[1]))
            for payload, target in self._quic.datagrams_to_send(now)
        )

    def send_head(
        self,
        stream_id: int,
        status: int,
        fields: tuple[HeaderField, ...],
    ) -> None:
        """Send the head of a response."""
        head = [(b':status', str(status).encode())]
        head.extend(
            (field.name.lower().encode(), field.text.encode('latin-1'))
            for field in fields
        )
        self._http.send_headers(stream_id, head)

    def send_body(self, stream_id: int, payload: bytes, *, last: bool) -> None:
        """Send a part of a response body."""
        self._http.send_data(stream_id, payload, end_stream=last)

    def add_buffered_bytes(self, stream_id: int, added_bytes: int) -> None:
        """Count buffered body bytes; pause the stream above the limit."""
        buffered = self._buffered_bytes.get(stream_id, 0) + added_bytes
        self._buffered_bytes[stream_id] = buffered
        self._quic.pause_stream(
            stream_id, paused=buffered > BODY_BUFFER_LIMIT_BYTES
        )

    def release_stream(self, stream_id: int) -> None:
        """Drop the byte count of a stream that ended and resume it."""
        self._buffered_bytes.pop(stream_id, None)
        self._quic.pause_stream(stream_id, paused=False)

    def reset_stream(self, stream_id: int) -> None:
        """Reset a stream whose response is incomplete."""
        self._quic.reset_stream(stream_id, _H3_REQUEST_CANCELLED)

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of response bytes not acknowledged yet."""
        return self._quic.unacknowledged_bytes(stream_id)

    def announce_drain(self) -> None:
        """Send GOAWAY, so that the client opens a new flow for new requests."""
        if self.is_established:
            send_goaway(self._quic, self._http, self._next_stream_id)

    def renew_connection_ids(self) -> None:
        """Issue connection ids sealed with the current token key."""
        if self.is_established:
            self._quic.renew_connection_ids()

    def close(self) -> None:
        """Close the flow without error."""
        self._quic.close()

    def _read_events(self) -> tuple[Message, ...]:
        messages: list[Message] = []
        event = self._quic.next_event()
        while event is not None:
            messages.extend(self._translate(event))
            event = self._quic.next_event()
        return tuple(messages)

    def _translate(self, event: QuicEvent) -> Iterator[Message]:
        translate = _translators.get(event.__class__)
        if translate is not None:
            yield translate(self, event)
            return
        for http_event in self._http.handle_event(event):
            translate = _translators.get(http_event.__class__)
            if translate is not None:
                yield translate(self, http_event)

    @_translators.add(ConnectionTerminated)
    def _translate_termination(self, event: ConnectionTerminated) -> Message:
        return FlowEnded(flow_key=self._key, error_code=event.error_code)

    @_translators.add(StreamReset)
    @_translators.add(StopSendingReceived)
    def _translate_reset(
        self, event: StreamReset | StopSendingReceived
    ) -> Message:
        return RequestAborted(stream_id=event.stream_id)

    @_translators.add(HeadersReceived)
    def _translate_headers(self, event: HeadersReceived) -> Message:
        self._next_stream_id = max(
            self._next_stream_id,
            event.stream_id + _STREAM_ID_STEP,
        )
        fields = tuple(
            HeaderField(name=name.decode(), text=text.decode('latin-1'))
            for name, text in event.headers
        )
        return RequestHead(
            stream_id=event.stream_id,
            fields=fields,
            last=event.stream_ended,
        )

    @_translators.add(DataReceived)
    def _translate_data(self, event: DataReceived) -> Message:
        return RequestBody(
            stream_id=event.stream_id,
            payload=event.data,
            last=event.stream_ended,
        )
