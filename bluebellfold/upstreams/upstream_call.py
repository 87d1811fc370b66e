"""Perform the protocol steps of one request on its connection."""

from collections.abc import AsyncIterator

import h11

from bluebellfold.core import Endpoint
from bluebellfold.core.http import HttpConnection
from bluebellfold.upstreams import codec
from bluebellfold.upstreams.messages import BodyPart, Request


class UpstreamCall:
    """Own the upstream connection until it is released or aborted.

    Each step may raise OSError, TimeoutError or h11.ProtocolError.
    """

    __slots__ = ('_connection', '_endpoint', '_request')

    def __init__(
        self,
        *,
        request: Request,
        endpoint: Endpoint,
        idle_connection: HttpConnection | None,
    ) -> None:
        self._request = request
        self._endpoint = endpoint
        self._connection = idle_connection

    @property
    def sent(self) -> bool:
        """Return whether any byte of the request was written."""
        connection = self._connection
        return connection is not None and connection.bytes_written > 0

    async def connect(self) -> None:
        """Reuse the idle connection if it is usable, else open a new one."""
        if self._connection is not None:
            if await self._connection.is_idle():
                return
            self._connection.abort()
        self._connection = HttpConnection(endpoint=self._endpoint)
        await self._connection.connect()

    async def send_head(
        self,
        first_part: BodyPart,
        remaining_seconds: float,
    ) -> None:
        """Send the method, the path and the header fields."""
        has_body = bool(first_part.payload) or not first_part.last
        head = codec.encode_request(
            self._request,
            endpoint=self._endpoint,
            has_body=has_body,
            remaining_seconds=remaining_seconds,
        )
        await self._connection.send(head)

    async def send_part(self, part: BodyPart) -> None:
        """Send a part of the body; the last part ends the message."""
        if part.payload:
            await self._connection.send(h11.Data(data=part.payload))
        if part.last:
            await self._connection.send(h11.EndOfMessage())

    async def receive_head(self) -> h11.Response:
        """Return the response head, skipping informational responses."""
        event = await self._connection.receive()
        while not isinstance(event, h11.Response):
            event = await self._connection.receive()
        return event

    async def response_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the response body."""
        event = await self._connection.receive()
        while not isinstance(event, h11.EndOfMessage):
            yield bytes(event.data)
            event = await self._connection.receive()

    def release(self) -> HttpConnection | None:
        """Detach and return the connection; None if it is not reusable."""
        connection = self._connection
        if connection is None or not connection.reusable:
            return None
        self._connection = None
        connection.start_next()
        return connection

    def abort(self) -> None:
        """Close the connection immediately, unless it was released."""
        if self._connection is not None:
            self._connection.abort()
