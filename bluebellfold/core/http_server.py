"""Answer small HTTP/1.1 calls."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from bluebellfold.core.record import Record, read_only
from bluebellfold.core.site import Endpoint

READ_BYTES = 16_384
MAX_BODY_BYTES = 65_536
# A caller that keeps a connection calls at least every few seconds.
IDLE_SECONDS = 30.0
JSON = 'application/json'
BAD_REQUEST = 400
TOO_LARGE = 413


class HttpQuestion(Record):
    """Carry the method, the target and the whole body of a call."""

    __slots__ = ('_body', '_method', '_target')

    body: bytes = read_only('_body')
    method: str = read_only('_method')
    target: str = read_only('_target')

    def __init__(self, *, method: str, target: str, body: bytes) -> None:
        self._method = method
        self._target = target
        self._body = body


class HttpReply(Record):
    """Carry the status and the body of an answer."""

    __slots__ = ('_body', '_content_type', '_status')

    body: bytes = read_only('_body')
    content_type: str = read_only('_content_type')
    status: int = read_only('_status')

    def __init__(
        self, *, status: int, body: bytes = b'{}', content_type: str = JSON
    ) -> None:
        self._status = status
        self._body = body
        self._content_type = content_type


Answerer = Callable[[HttpQuestion], Awaitable[HttpReply]]


class HttpServer:
    """Own a listening socket and the connections that it accepted."""

    __slots__ = ('_answer', '_endpoint', '_server')

    def __init__(self, *, endpoint: Endpoint, answer: Answerer) -> None:
        self._endpoint = endpoint
        self._answer = answer
        self._server: asyncio.Server | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Return where the server listens."""
        host, port = self._server.sockets[0].getsockname()
        return Endpoint(host=host, port=port)

    async def start(self) -> None:
        """Listen, or raise OSError."""
        self._server = await asyncio.start_server(
            self._serve, self._endpoint.host, self._endpoint.port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._converse(reader, writer)
        except (OSError, h11.ProtocolError, TimeoutError):
            # The caller hung up or speaks no HTTP: nobody is left to answer.
            return
        finally:
            writer.close()

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = h11.Connection(h11.SERVER)
        while True:
            question = await _read_question(parser, reader)
            if question is None:
                return
            if isinstance(question, HttpQuestion):
                reply = await self._answer(question)
            else:
                reply = question
            writer.write(_encode_reply(parser, reply))
            await writer.drain()
            if parser.our_state is not h11.DONE:
                return
            parser.start_next_cycle()


async def _read_question(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> HttpQuestion | HttpReply | None:
    request = await _next_event(parser, reader)
    if not isinstance(request, h11.Request):
        return None
    body = bytearray()
    event = await _next_event(parser, reader)
    while isinstance(event, h11.Data):
        body += event.data
        if len(body) > MAX_BODY_BYTES:
            return HttpReply(status=TOO_LARGE)
        event = await _next_event(parser, reader)
    return HttpQuestion(
        method=request.method.decode(),
        target=request.target.decode(),
        body=bytes(body),
    )


async def _next_event(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> object:
    event = parser.next_event()
    while event is h11.NEED_DATA:
        async with asyncio.timeout(IDLE_SECONDS):
            received = await reader.read(READ_BYTES)
        parser.receive_data(received)
        event = parser.next_event()
    return event


def _encode_reply(parser: h11.Connection, reply: HttpReply) -> bytes:
    head = h11.Response(
        status_code=reply.status,
        headers=[
            ('Content-Type', reply.content_type),
            ('Content-Length', str(len(reply.body))),
        ],
    )
    return b''.join(
        (
            parser.send(head),
            parser.send(h11.Data(data=reply.body)),
            parser.send(h11.EndOfMessage()),
        ),
    )
