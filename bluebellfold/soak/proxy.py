"""Proxy the connections of a process to the store and inject faults."""

import asyncio
import contextlib

from bluebellfold.core import Endpoint

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65_536
POLL_SECONDS = 0.05

FORWARDING = 'pass'
STALLED = 'silent'
RESPONSES_LOST = 'answers-lost'


class StoreProxy:
    """Forward connections to the store according to the mode.

    ``mode`` is FORWARDING, STALLED (all data is held until the mode changes)
    or RESPONSES_LOST (requests arrive, responses are dropped);
    ``delay_seconds`` delays each chunk.
    """

    def __init__(self, *, store: Endpoint) -> None:
        self.mode = FORWARDING
        self.delay_seconds = float(0)
        self._store = store
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint that the process uses for the store."""
        host, port = self._server.sockets[0].getsockname()
        return Endpoint(host=host, port=port)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close the server and reset all connections."""
        self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        store = self._store
        try:
            store_reader, store_writer = await asyncio.open_connection(
                store.host, store.port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, store_writer)
        self._writers.update(writers)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await asyncio.wait(
                (
                    asyncio.create_task(
                        self._forward(reader, store_writer, (STALLED,))
                    ),
                    asyncio.create_task(
                        self._forward(
                            store_reader, writer, (STALLED, RESPONSES_LOST)
                        )
                    ),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
        self._writers.difference_update(writers)
        for each in writers:
            each.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault_modes: tuple[str, ...],
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_seconds)
                if (
                    self.mode == RESPONSES_LOST
                    and RESPONSES_LOST in fault_modes
                ):
                    continue
                while self.mode in fault_modes:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()
