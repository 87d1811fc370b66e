"""Drive a caller's QUIC connection and its HTTP/3 streams, without a socket."""

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

IDLE_SECONDS = 60.0
# aioquic wants an address to name the peer; the fabric picks the real one.
PEER = ('203.0.113.1', 443)
_REQUEST_CANCELLED = 0x10C
_RESET_TOKEN_BYTES = 16
_RESET = ConnectionTerminated(
    error_code=QuicErrorCode.NO_ERROR,
    frame_type=None,
    reason_phrase='stateless reset',
)

Head = list[tuple[bytes, bytes]]


class _CallerHttp(H3Connection):
    """Note a GOAWAY, which the library passes over."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.told_to_leave = asyncio.Event()

    def _check_control_frame_type(self, frame_type: int) -> None:
        if frame_type == FrameType.GOAWAY:
            self.told_to_leave.set()
        super()._check_control_frame_type(frame_type)


class ClientConnection:
    """Hold one connection, its timer, and an inbox for each open stream.

    ``send`` takes each datagram; the owner passes what arrives to
    ``receive``. An inbox gets the stream's HTTP/3 events, and StreamReset or
    ConnectionTerminated where the stream ends before it is whole.
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
                idle_timeout=IDLE_SECONDS,
            ),
        )
        self._http = _CallerHttp(self._quic)
        self._inboxes: dict[int, asyncio.Queue[object]] = {}
        self._connected = asyncio.Event()
        self._is_ended = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of bodies wait to be confirmed."""
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
    def told_to_leave(self) -> asyncio.Event:
        """Return what is set once new requests belong on another flow."""
        return self._http.told_to_leave

    async def connect(self, *, seconds: float) -> None:
        """Complete the handshake, or raise TimeoutError."""
        self._quic.connect(PEER, now=time.monotonic())
        self.transmit()
        async with asyncio.timeout(seconds):
            await self._connected.wait()

    def ask(self, head: Head, body: bytes | None, *, last: bool) -> int:
        """Send the start of a request, and return its stream id."""
        stream_id = self._quic.get_next_available_stream_id()
        self._inboxes[stream_id] = asyncio.Queue()
        ends_now = body is None and last
        self._http.send_headers(stream_id, head, end_stream=ends_now)
        if body is not None:
            self._http.send_data(stream_id, body, end_stream=last)
        self.transmit()
        return stream_id

    def send_body(self, stream_id: int, payload: bytes, *, last: bool) -> None:
        """Send a part of a request's body."""
        self._http.send_data(stream_id, payload, end_stream=last)
        self.transmit()

    def cancel(self, stream_id: int) -> None:
        """Give a request up."""
        self._quic.reset_stream(stream_id, _REQUEST_CANCELLED)
        self._quic.stop_stream(stream_id, _REQUEST_CANCELLED)
        self.transmit()

    def inbox(self, stream_id: int) -> asyncio.Queue[object]:
        """Return the events of an open stream."""
        return self._inboxes[stream_id]

    def forget(self, stream_id: int) -> None:
        """Take no more events of a stream."""
        self._inboxes.pop(stream_id, None)

    def receive(self, datagram: bytes) -> None:
        """Take in a datagram, whichever balancer sent it."""
        if self._is_reset(datagram):
            self._take(_RESET)
            self._stop_timer()
            return
        self._quic.receive_datagram(datagram, PEER, time.monotonic())
        self._take_events()
        self.transmit()

    def transmit(self) -> None:
        """Send what is due, and wake when the next is."""
        now = time.monotonic()
        for datagram, _target in self._quic.datagrams_to_send(now):
            self._send(datagram)
        self._stop_timer()
        wakes_at = self._quic.get_timer()
        if wakes_at is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0, wakes_at - now),
                self._wake,
            )

    def close(self) -> None:
        """Close the connection in good order."""
        self._quic.close()
        self.transmit()
        self._stop_timer()

    def _is_reset(self, datagram: bytes) -> bool:
        # The library tells a stateless reset from no other broken packet.
        peer_ids = (
            self._quic._peer_cid,  # noqa: WPS437
            *self._quic._peer_cid_available,  # noqa: WPS437
        )
        tokens = {peer_id.stateless_reset_token for peer_id in peer_ids}
        return datagram[-_RESET_TOKEN_BYTES:] in tokens

    def _take_events(self) -> None:
        event = self._quic.next_event()
        while event is not None:
            self._take(event)
            event = self._quic.next_event()

    def _take(self, event: object) -> None:
        if isinstance(event, HandshakeCompleted):
            self._connected.set()
        elif isinstance(event, ConnectionTerminated):
            self._is_ended = True
            self._connected.set()
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

    def _wake(self) -> None:
        self._quic.handle_timer(time.monotonic())
        self._take_events()
        self.transmit()
