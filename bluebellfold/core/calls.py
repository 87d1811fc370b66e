"""Exchange single calls with the platform over kept connections."""

import asyncio
from http import HTTPStatus

import h11

from bluebellfold.core.http import HttpConnection
from bluebellfold.core.platform_errors import PlatformUnavailableError
from bluebellfold.core.record import Record, read_only
from bluebellfold.core.site import Endpoint


class Call(Record):
    """Describe one HTTP request."""

    __slots__ = ('_body', '_method', '_target')

    body: bytes = read_only('_body')
    method: str = read_only('_method')
    target: str = read_only('_target')

    def __init__(
        self,
        *,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> None:
        self._method = method
        self._target = target
        self._body = body


class Answer(Record):
    """Carry the status and the whole body of an HTTP answer."""

    __slots__ = ('_body', '_status')

    body: bytes = read_only('_body')
    status: int = read_only('_status')

    def __init__(self, *, status: int, body: bytes) -> None:
        self._status = status
        self._body = body


class Transport:
    """Make calls to one endpoint, and keep one idle connection."""

    __slots__ = ('_endpoint', '_idle')

    def __init__(self, *, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._idle: HttpConnection | None = None

    async def call(self, call: Call, *, timeout_seconds: float) -> Answer:
        """Return the answer, or raise PlatformUnavailableError."""
        try:
            async with asyncio.timeout(timeout_seconds):
                answer = await self._exchange(call)
        except (OSError, h11.ProtocolError) as error:
            reason = str(error) or type(error).__name__
            raise self._unavailable(reason) from error
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise self._unavailable(f'it answered {answer.status}')
        return answer

    def close(self) -> None:
        """Close the idle connection."""
        if self._idle is not None:
            self._idle.close()
        self._idle = None

    async def _exchange(self, call: Call) -> Answer:
        connection = await self._take()
        try:
            return await self._converse(connection, call)
        finally:
            self._give_back(connection)

    async def _take(self) -> HttpConnection:
        connection = self._idle
        self._idle = None
        if connection is None:
            connection = HttpConnection(endpoint=self._endpoint)
            await connection.connect()
        return connection

    def _give_back(self, connection: HttpConnection) -> None:
        if self._idle is not None or not connection.reusable:
            connection.close()
            return
        connection.start_next()
        self._idle = connection

    async def _converse(self, connection: HttpConnection, call: Call) -> Answer:
        await connection.send(self._request(call))
        if call.body:
            await connection.send(h11.Data(data=call.body))
        await connection.send(h11.EndOfMessage())
        return await _receive_answer(connection)

    def _request(self, call: Call) -> h11.Request:
        return h11.Request(
            method=call.method,
            target=call.target,
            headers=[
                ('Host', str(self._endpoint)),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(call.body))),
            ],
        )

    def _unavailable(self, reason: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            problem=f'the platform at {self._endpoint} is away: {reason}',
            remedy='wait and retry; check the address and the object API',
        )


async def _receive_answer(connection: HttpConnection) -> Answer:
    status = 0
    body = bytearray()
    event = await connection.receive()
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError('the connection was closed')
        if isinstance(event, h11.Response):
            status = event.status_code
        if isinstance(event, h11.Data):
            body += event.data
        event = await connection.receive()
    return Answer(status=status, body=bytes(body))
