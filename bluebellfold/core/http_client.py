"""Send single requests to the platform over a persistent connection."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import h11

from bluebellfold.core.http import HttpConnection
from bluebellfold.core.platform_errors import (
    PlatformResponseError,
    PlatformUnavailableError,
)
from bluebellfold.core.record import Record, read_only
from bluebellfold.core.site import Endpoint

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class ClientRequest(Record):
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


class ClientResponse(Record):
    """Carry the status, headers and complete body of an HTTP response.

    The names of the headers are in lower case.
    """

    __slots__ = ('_body', '_headers', '_status')

    body: bytes = read_only('_body')
    headers: Mapping[str, str] = read_only('_headers')
    status: int = read_only('_status')

    def __init__(
        self,
        *,
        status: int,
        body: bytes,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        self._status = status
        self._body = body
        self._headers = headers


class HttpClient:
    """Send requests to one endpoint, and keep one idle connection."""

    __slots__ = ('_endpoint', '_idle')

    def __init__(self, *, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._idle: HttpConnection | None = None

    async def send_request(
        self,
        request: ClientRequest,
        *,
        timeout_seconds: float,
        max_body_bytes: int | None = None,
    ) -> ClientResponse:
        """Return the response, or raise PlatformUnavailableError.

        A body of more than ``max_body_bytes`` raises PlatformResponseError.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self._exchange(request, max_body_bytes)
        except (OSError, h11.ProtocolError) as error:
            reason = str(error) or type(error).__name__
            raise self._unavailable_error(reason) from error
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise self._unavailable_error(
                f'it responded with {response.status}'
            )
        return response

    def close(self) -> None:
        """Close the idle connection."""
        if self._idle is not None:
            self._idle.close()
        self._idle = None

    async def _exchange(
        self, request: ClientRequest, max_body_bytes: int | None
    ) -> ClientResponse:
        connection = await self._acquire()
        try:
            return await self._send_and_receive(
                connection, request, max_body_bytes
            )
        finally:
            self._release(connection)

    async def _acquire(self) -> HttpConnection:
        connection = self._idle
        self._idle = None
        if connection is None:
            connection = HttpConnection(endpoint=self._endpoint)
            await connection.connect()
        return connection

    def _release(self, connection: HttpConnection) -> None:
        if self._idle is not None or not connection.reusable:
            connection.close()
            return
        connection.start_next()
        self._idle = connection

    async def _send_and_receive(
        self,
        connection: HttpConnection,
        request: ClientRequest,
        max_body_bytes: int | None,
    ) -> ClientResponse:
        await connection.send(self._encode_request(request))
        if request.body:
            await connection.send(h11.Data(data=request.body))
        await connection.send(h11.EndOfMessage())
        return await _receive_response(connection, max_body_bytes)

    def _encode_request(self, request: ClientRequest) -> h11.Request:
        return h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                ('Host', str(self._endpoint)),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(request.body))),
            ],
        )

    def _unavailable_error(self, reason: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            problem=f'the server at {self._endpoint} is unavailable: {reason}',
            remedy='wait and retry; check the address and the object API',
        )


async def _receive_response(
    connection: HttpConnection, max_body_bytes: int | None
) -> ClientResponse:
    status = 0
    headers = NO_HEADERS
    body = bytearray()
    event = await connection.receive()
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError('the connection was closed')
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = _decode_headers(event)
        if isinstance(event, h11.Data):
            body += event.data
            _check_size(body, max_body_bytes)
        event = await connection.receive()
    return ClientResponse(status=status, body=bytes(body), headers=headers)


def _decode_headers(response: h11.Response) -> Mapping[str, str]:
    # HTTP allows any byte in the text of a header.
    return {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in response.headers
    }


def _check_size(body: bytearray, max_body_bytes: int | None) -> None:
    if max_body_bytes is None or len(body) <= max_body_bytes:
        return
    raise PlatformResponseError(
        problem=f'the response has more than {max_body_bytes} bytes',
        remedy='check what listens at the address',
    )
