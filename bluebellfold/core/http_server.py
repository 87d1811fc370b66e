"""Serve small HTTP/1.1 requests."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from bluebellfold.core.presence import require
from bluebellfold.core.record import Record, read_only
from bluebellfold.core.site import Endpoint

READ_BYTES = 16_384
MAX_BODY_BYTES = 65_536
# Peers with a persistent connection send a request every few seconds.
IDLE_TIMEOUT_SECONDS = 30.0
JSON_CONTENT_TYPE = 'application/json'
BAD_REQUEST = 400
TOO_LARGE = 413


class ServerRequest(Record):
    """Carry the method, the target and the complete body of a request."""

    __slots__ = ('_body', '_method', '_target')

    body: bytes = read_only('_body')
    method: str = read_only('_method')
    target: str = read_only('_target')

    def __init__(self, *, method: str, target: str, body: bytes) -> None:
        self._method = method
        self._target = target
        self._body = body


class ServerResponse(Record):
    """Carry the status and the body of a response."""

    __slots__ = ('_body', '_content_type', '_status')

    body: bytes = read_only('_body')
    content_type: str = read_only('_content_type')
    status: int = read_only('_status')

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b'{}',
        content_type: str = JSON_CONTENT_TYPE,
    ) -> None:
        self._status = status
        self._body = body
        self._content_type = content_type


RequestHandler = Callable[[ServerRequest], Awaitable[ServerResponse]]


class HttpServer:
    """Own a listening socket and the connections that it accepted.

    Above ``max_connections`` a new connection is closed at once, and after
    ``connection_seconds`` each one is; None sets no limit.
    """

    __slots__ = (
        '_connection_seconds',
        '_connections',
        '_endpoint',
        '_handle_request',
        '_max_connections',
        '_server',
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        handle_request: RequestHandler,
        max_connections: int | None = None,
        connection_seconds: float | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._handle_request = handle_request
        self._max_connections = max_connections
        self._connection_seconds = connection_seconds
        self._connections = 0
        self._server: asyncio.Server | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint that the server listens on."""
        server = require(self._server, name='listening server')
        host, port = server.sockets[0].getsockname()
        return Endpoint(host=host, port=port)

    async def start(self) -> None:
        """Start to listen, or raise OSError."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._endpoint.host, self._endpoint.port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._connections == self._max_connections:
            writer.close()
            return
        self._connections += 1
        try:
            async with asyncio.timeout(self._connection_seconds):
                await self._serve_requests(reader, writer)
        except (OSError, h11.ProtocolError, TimeoutError):
            # The peer hung up, was idle too long or sent invalid HTTP, so
            # that no response is possible.
            return
        finally:
            self._connections -= 1
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = h11.Connection(h11.SERVER)
        while True:
            request_or_error = await _read_request(parser, reader)
            if request_or_error is None:
                return
            if isinstance(request_or_error, ServerRequest):
                response = await self._handle_request(request_or_error)
            else:
                response = request_or_error
            writer.write(_encode_response(parser, response))
            await writer.drain()
            if parser.our_state is not h11.DONE:
                return
            parser.start_next_cycle()


async def _read_request(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> ServerRequest | ServerResponse | None:
    request = await _next_event(parser, reader)
    if not isinstance(request, h11.Request):
        return None
    body = bytearray()
    event = await _next_event(parser, reader)
    while isinstance(event, h11.Data):
        body += event.data
        if len(body) > MAX_BODY_BYTES:
            return ServerResponse(status=TOO_LARGE)
        event = await _next_event(parser, reader)
    return ServerRequest(
        method=request.method.decode(),
        target=request.target.decode(),
        body=bytes(body),
    )


async def _next_event(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> object:
    event = parser.next_event()
    while event is h11.NEED_DATA:
        async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
            received = await reader.read(READ_BYTES)
        parser.receive_data(received)
        event = parser.next_event()
    return event


def _encode_response(parser: h11.Connection, response: ServerResponse) -> bytes:
    head = h11.Response(
        status_code=response.status,
        headers=[
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ],
    )
    return b''.join(
        (
            parser.send(head),
            parser.send(h11.Data(data=response.body)),
            parser.send(h11.EndOfMessage()),
        ),
    )
