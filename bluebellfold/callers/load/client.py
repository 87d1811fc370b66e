"""Drive a client QUIC connection and its HTTP/3 streams without a socket."""

import asyncio
import ssl
import time
from collections.abc import Callable

from aioquic.h3.connection import H3_ALPN, FrameType, H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    StreamReset,
)
from aioquic.quic.packet import QuicErrorCode

IDLE_TIMEOUT_SECONDS = 60.0
# aioquic requires a peer address; the socket owner selects the real one.
PEER_ADDRESS = ('203.0.113.1', 443)
_H3_REQUEST_CANCELLED = 0x10C
_RESET_TOKEN_BYTES = 16
_STATELESS_RESET = ConnectionTerminated(
    error_code=QuicErrorCode.NO_ERROR,
    frame_type=None,
    reason_phrase='stateless reset',
)

Headers = list[tuple[bytes, bytes]]


class _ClientHttp(H3Connection):
    """Record a received GOAWAY, which aioquic ignores."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.goaway_received = asyncio.Event()

    def _check_control_frame_type(self, frame_type: int) -> None:
        if frame_type == FrameType.GOAWAY:
            self.goaway_received.set()
        super()._check_control_frame_type(frame_type)


class ClientConnection:
    """Hold one connection, its timer, and an inbox for each open stream.

    ``send`` is called with each outgoing datagram; the owner passes incoming
    datagrams to ``receive``. An inbox receives the HTTP/3 events of its
    stream, and StreamReset or ConnectionTerminated if the stream ends early.
    """

    def __init__(
        self,
        *,
        send: Callable[[bytes], None],
        server_name: str | None = None,
    ) -> None:
        self._send = send
        self._quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                verify_mode=ssl.CERT_NONE,
                server_name=server_name,
                idle_timeout=IDLE_TIMEOUT_SECONDS,
            ),
        )
        self._http = _ClientHttp(self._quic)
        self._inboxes: dict[int, asyncio.Queue[object]] = {}
        self._handshake_finished = asyncio.Event()
        self._is_ended = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the number of buffered bytes that are not acknowledged."""
        streams = self._quic._streams.values()  # noqa: WPS437
        return sum(
            len(stream.sender._buffer)  # noqa: WPS437
            for stream in streams
        )

    @property
    def is_ended(self) -> bool:
        """Tell whether the connection has ended."""
        return self._is_ended

    @property
    def goaway_received(self) -> asyncio.Event:
        """Return the event that is set when the peer has sent a GOAWAY."""
        return self._http.goaway_received

    async def connect(self, *, seconds: float) -> None:
        """Complete the handshake, or raise TimeoutError."""
        self._quic.connect(PEER_ADDRESS, now=time.monotonic())
        self.transmit()
        async with asyncio.timeout(seconds):
            await self._handshake_finished.wait()

    def send_request(
        self, headers: Headers, body: bytes | None, *, last: bool
    ) -> int:
        """Send the headers and first body part, and return the stream id."""
        stream_id = self._quic.get_next_available_stream_id()
        self._inboxes[stream_id] = asyncio.Queue()
        ends_now = body is None and last
        self._http.send_headers(stream_id, headers, end_stream=ends_now)
        if body is not None:
            self._http.send_data(stream_id, body, end_stream=last)
        self.transmit()
        return stream_id

    def send_body(self, stream_id: int, payload: bytes, *, last: bool) -> None:
        """Send a part of the body of a request."""
        self._http.send_data(stream_id, payload, end_stream=last)
        self.transmit()

    def cancel(self, stream_id: int) -> None:
        """Cancel a request."""
        self._quic.reset_stream(stream_id, _H3_REQUEST_CANCELLED)
        self._quic.stop_stream(stream_id, _H3_REQUEST_CANCELLED)
        self.transmit()

    def inbox(self, stream_id: int) -> asyncio.Queue[object]:
        """Return the queue of events of an open stream."""
        return self._inboxes[stream_id]

    def discard_stream(self, stream_id: int) -> None:
        """Discard all further events of a stream."""
        self._inboxes.pop(stream_id, None)

    def receive(self, datagram: bytes) -> None:
        """Process a datagram from any balancer."""
        if self._is_reset(datagram):
            self._handle_event(_STATELESS_RESET)
            self._stop_timer()
            return
        self._quic.receive_datagram(datagram, PEER_ADDRESS, time.monotonic())
        self._handle_events()
        self.transmit()

    def transmit(self) -> None:
        """Send the datagrams that are due, and restart the timer."""
        now = time.monotonic()
        for datagram, _target in self._quic.datagrams_to_send(now):
            self._send(datagram)
        self._stop_timer()
        timer_at = self._quic.get_timer()
        if timer_at is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0, timer_at - now),
                self._handle_timer,
            )

    def close(self) -> None:
        """Send a CONNECTION_CLOSE and stop the timer."""
        self._quic.close()
        self.transmit()
        self._stop_timer()

    def _is_reset(self, datagram: bytes) -> bool:
        # aioquic does not distinguish a stateless reset from other packets that
        # fail to decrypt.
        peer_ids = (
            self._quic._peer_cid,  # noqa: WPS437
            *self._quic._peer_cid_available,  # noqa: WPS437
        )
        tokens = {peer_id.stateless_reset_token for peer_id in peer_ids}
        return datagram[-_RESET_TOKEN_BYTES:] in tokens

    def _handle_events(self) -> None:
        event = self._quic.next_event()
        while event is not None:
            self._handle_event(event)
            event = self._quic.next_event()

    def _handle_event(self, event: object) -> None:
        if isinstance(event, HandshakeCompleted):
            self._handshake_finished.set()
        elif isinstance(event, ConnectionTerminated):
            self._is_ended = True
            self._handshake_finished.set()
            for inbox in self._inboxes.values():
                inbox.put_nowait(event)
        elif isinstance(event, StreamReset):
            self._deliver(event)
        for http_event in self._http.handle_event(event):
            self._deliver(http_event)

    def _deliver(self, event: object) -> None:
        inbox = self._inboxes.get(event.stream_id)
        if inbox is not None:
            inbox.put_nowait(event)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _handle_timer(self) -> None:
        self._quic.handle_timer(time.monotonic())
        self._handle_events()
        self.transmit()
