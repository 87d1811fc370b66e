"""Hold one QUIC connection from a client to an address."""

import asyncio
import random

from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import ConnectionTerminated, StreamReset

from bluebellfold.callers.load.client import ClientConnection
from bluebellfold.core import (
    BluebellfoldError,
    Endpoint,
    Record,
    read_only,
)

CONNECT_TIMEOUT_SECONDS = 10.0
AUTHORITY = 'load.invalid'


class FlowEndedError(BluebellfoldError):
    """Report a flow or a response that ended before it was complete."""


class ClientRequest(Record):
    """Hold a request of a client."""

    __slots__ = ('_body', '_method', '_path', '_request_id')

    body: bytes = read_only('_body')
    method: str = read_only('_method')
    path: str = read_only('_path')
    request_id: str = read_only('_request_id')

    def __init__(
        self,
        *,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b'',
    ) -> None:
        self._method = method
        self._path = path
        self._request_id = request_id
        self._body = body


class ResponseHeaders:
    """Look up the headers of a response."""

    __slots__ = ('_headers',)

    def __init__(self, event: HeadersReceived) -> None:
        self._headers = event.headers

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        encoded_name = name.encode()
        for header_name, text in self._headers:
            if header_name == encoded_name:
                return text.decode()
        return ''


class PendingResponse:
    """Wait for the events of one response."""

    __slots__ = ('_connection', '_stream_id')

    def __init__(
        self,
        *,
        connection: ClientConnection,
        stream_id: int,
    ) -> None:
        self._connection = connection
        self._stream_id = stream_id

    async def next_event(self) -> HeadersReceived | DataReceived:
        """Return the next event, or raise FlowEndedError."""
        event = await self._connection.inbox(self._stream_id).get()
        if isinstance(event, (StreamReset, ConnectionTerminated)):
            self._connection.discard_stream(self._stream_id)
            raise FlowEndedError(
                problem=f'the answer ended early: {event!r}',
                remedy='open a new flow, and retry an idempotent request',
            )
        return event

    async def headers(self) -> ResponseHeaders:
        """Return the headers, or raise FlowEndedError."""
        event = await self.next_event()
        return ResponseHeaders(event)

    async def wait_until_complete(self) -> None:
        """Wait for the end of the response, or raise FlowEndedError."""
        ended = False
        while not ended:
            event = await self.next_event()
            ended = event.stream_ended
        self._connection.discard_stream(self._stream_id)


class LoadFlow(asyncio.DatagramProtocol):
    """Own a socket, and send each datagram to a random balancer."""

    def __init__(
        self,
        *,
        balancers: tuple[Endpoint, ...],
        rng: random.Random,
    ) -> None:
        self._balancers = balancers
        self._rng = rng
        self._connection = ClientConnection(send=self._send)
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def is_ended(self) -> bool:
        """Tell whether the flow has ended."""
        return self._connection.is_ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(
        self,
        data: bytes,  # noqa: WPS110 -- the name that asyncio calls with
        addr: tuple[str, int],
    ) -> None:
        """Process a datagram from any balancer."""
        self._connection.receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: QUIC retransmits the datagram."""

    async def connect(self) -> None:
        """Complete the handshake, or raise FlowEndedError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=('127.0.0.1', 0),
        )
        try:
            await self._connection.connect(seconds=CONNECT_TIMEOUT_SECONDS)
        except TimeoutError:
            self.close()
        if self.is_ended or self._transport.is_closing():
            raise FlowEndedError(
                problem='the handshake did not complete',
                remedy='check the drops in the output of bluebellfold status',
            )

    def send_request(self, request: ClientRequest) -> PendingResponse:
        """Send a request, and return its pending response."""
        headers = [
            (b':method', request.method.encode()),
            (b':scheme', b'https'),
            (b':authority', AUTHORITY.encode()),
            (b':path', request.path.encode()),
            (b'request-id', request.request_id.encode()),
        ]
        stream_id = self._connection.send_request(
            headers,
            request.body or None,
            last=True,
        )
        return PendingResponse(connection=self._connection, stream_id=stream_id)

    def close(self) -> None:
        """Close the connection and the socket."""
        if self._transport is None:
            return
        self._connection.close()
        self._transport.close()

    def _send(self, datagram: bytes) -> None:
        balancer = self._rng.choice(self._balancers)
        self._transport.sendto(datagram, (balancer.host, balancer.port))
