"""Send HTTP/3 requests over QUIC, with the datagrams through the fabric."""

import asyncio
import random
from collections.abc import AsyncIterator

from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import ConnectionTerminated, StreamReset

from bluebellfold.callers.load import ClientConnection
from bluebellfold.core import Endpoint, Record, read_only
from bluebellfold.standins.certificates import SERVER_NAME
from bluebellfold.standins.fabric import Fabric

CONNECT_TIMEOUT_SECONDS = 10.0


class FlowBrokenError(Exception):
    """Report that a flow or a response ended before it was complete."""


class FlowResponse(Record):
    """Hold a complete HTTP response."""

    __slots__ = ('_body', '_fields', '_status')

    body: bytes = read_only('_body')
    fields: tuple[tuple[str, str], ...] = read_only('_fields')
    status: int = read_only('_status')

    def __init__(
        self,
        *,
        status: int,
        fields: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        self._status = status
        self._fields = fields
        self._body = body

    def field(self, name: str) -> str:
        """Return the value of a header field, or an empty text."""
        for field_name, text in self._fields:
            if field_name == name:
                return text
        return ''


class ClientFlow:
    """Own one QUIC connection to an address, and send its requests."""

    def __init__(
        self,
        *,
        balancers: tuple[Endpoint, ...],
        seed: int | None = None,
    ) -> None:
        self._connection = ClientConnection(
            send=self._send,
            server_name=SERVER_NAME,
        )
        self._fabric = Fabric(
            balancers=balancers,
            rng=random.Random(seed),
            receive=self._connection.receive,
        )

    @property
    def fabric(self) -> Fabric:
        """Return the fabric that carries this client's datagrams."""
        return self._fabric

    @property
    def is_ended(self) -> bool:
        """Return whether the flow has ended."""
        return self._connection.is_ended

    @property
    def goaway_received(self) -> asyncio.Event:
        """Return the event that is set when GOAWAY has been received."""
        return self._connection.goaway_received

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the number of request body bytes not yet acknowledged."""
        return self._connection.unacknowledged_bytes

    async def connect(
        self, *, seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> None:
        """Complete the handshake.

        Raises TimeoutError, or FlowBrokenError if it is refused.
        """
        await self._fabric.open()
        await self._connection.connect(seconds=seconds)
        if self.is_ended:
            raise FlowBrokenError('the handshake was refused')

    def start(
        self,
        method: str,
        path: str,
        *,
        fields: tuple[tuple[str, str], ...] = (),
        body: bytes | None = None,
        last: bool = True,
    ) -> int:
        """Start a request and return its stream id."""
        head = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', SERVER_NAME.encode()),
            (b':path', path.encode()),
        ]
        head.extend((name.encode(), text.encode()) for name, text in fields)
        return self._connection.send_request(head, body, last=last)

    def send_body(self, stream_id: int, payload: bytes, *, last: bool) -> None:
        """Send a part of a request body."""
        self._connection.send_body(stream_id, payload, last=last)

    def cancel(self, stream_id: int) -> None:
        """Cancel a request."""
        self._connection.cancel(stream_id)

    async def events(self, stream_id: int) -> AsyncIterator[object]:
        """Yield the events of a response, or raise FlowBrokenError."""
        inbox = self._connection.inbox(stream_id)
        while True:
            event = await inbox.get()
            if isinstance(event, (StreamReset, ConnectionTerminated)):
                raise FlowBrokenError(repr(event))
            yield event
            if event.stream_ended:
                self._connection.discard_stream(stream_id)
                return

    async def request(
        self,
        method: str,
        path: str,
        *,
        fields: tuple[tuple[str, str], ...] = (),
        body: bytes | None = None,
    ) -> FlowResponse:
        """Send a request and return the complete response."""
        stream_id = self.start(method, path, fields=fields, body=body)
        return await self.receive_response(stream_id)

    async def lines(self, path: str) -> AsyncIterator[str]:
        """Yield the complete lines of a streamed response."""
        stream_id = self.start('GET', path)
        partial_line = b''
        async for event in self.events(stream_id):
            if isinstance(event, DataReceived):
                *complete_lines, partial_line = (
                    partial_line + event.data
                ).split(b'\n')
                for line in complete_lines:
                    yield line.decode()

    async def receive_response(self, stream_id: int) -> FlowResponse:
        """Return the complete response on a stream."""
        head: tuple[tuple[str, str], ...] = ()
        parts = []
        async for event in self.events(stream_id):
            if isinstance(event, HeadersReceived):
                head = tuple(
                    (name.decode(), text.decode())
                    for name, text in event.headers
                )
            elif isinstance(event, DataReceived):
                parts.append(event.data)
        return FlowResponse(
            status=int(head[0][1]),
            fields=head[1:],
            body=b''.join(parts),
        )

    def close(self) -> None:
        """Close the flow gracefully."""
        self._connection.close()
        self._fabric.close()

    def _send(self, datagram: bytes) -> None:
        self._fabric.send(datagram)
