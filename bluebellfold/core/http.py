"""Exchange HTTP/1.1 messages with a server over one connection."""

import asyncio
from typing import Any

import h11

from bluebellfold.core.presence import require
from bluebellfold.core.site import Endpoint

READ_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 2.0


class HttpConnection:
    """Own one connection to a server, and exchange h11 events over it.

    ``bytes_written`` is 0 if no byte of the current request can have reached
    the server. ``reusable`` tells whether the connection can carry another
    request.
    """

    __slots__ = ('_bytes_written', '_endpoint', '_parser', '_reader', '_writer')

    def __init__(self, *, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._parser = h11.Connection(h11.CLIENT)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._bytes_written = 0

    @property
    def bytes_written(self) -> int:
        """Return the number of bytes of the current request written so far."""
        return self._bytes_written

    @property
    def reusable(self) -> bool:
        """Return whether the last exchange ended cleanly on both sides."""
        parser = self._parser
        trailing_bytes, closed = parser.trailing_data
        if trailing_bytes or closed:
            return False
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE

    async def is_idle(self) -> bool:
        """Return whether the server has neither sent data nor hung up.

        Unsolicited data would be read as the response to the next request.
        """
        # The event loop reads a socket one iteration after it became readable.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        try:
            async with asyncio.timeout(0):
                await self._connected_reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return False
        return False

    async def connect(self) -> None:
        """Connect, or raise OSError or TimeoutError."""
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            streams = await asyncio.open_connection(
                self._endpoint.host, self._endpoint.port
            )
        self._reader = streams[0]
        self._writer = streams[1]

    async def send(self, event: Any) -> None:
        """Write one h11 event, or raise OSError."""
        encoded = self._parser.send(event)
        if not encoded:
            return
        self._bytes_written += len(encoded)
        writer = require(self._writer, name='connection')
        writer.write(encoded)
        await writer.drain()

    async def receive(self) -> Any:
        """Return the next h11 event, or raise h11.RemoteProtocolError."""
        event = self._parser.next_event()
        while event is h11.NEED_DATA:
            received = await self._connected_reader.read(READ_BYTES)
            self._parser.receive_data(received)
            event = self._parser.next_event()
        return event

    def start_next(self) -> None:
        """Prepare for another request after an exchange that ended cleanly."""
        self._parser.start_next_cycle()
        self._bytes_written = 0

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        if self._writer is not None:
            self._writer.close()

    def abort(self) -> None:
        """Close the connection at once, and discard unsent data."""
        if self._writer is not None:
            self._writer.transport.abort()

    @property
    def _connected_reader(self) -> asyncio.StreamReader:
        return require(self._reader, name='connection')
