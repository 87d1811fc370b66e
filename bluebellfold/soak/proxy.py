"""Stand between a process and the store, and spoil their connections."""

import asyncio
import contextlib

from bluebellfold.core import Endpoint

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65_536
POLL_SECONDS = 0.05

PASS = 'pass'
SILENT = 'silent'
ANSWERS_LOST = 'answers-lost'


class StoreProxy:
    """Forward connections to the store, as its mode says.

    ``mode`` is PASS, SILENT (nothing passes) or ANSWERS_LOST (calls arrive,
    their answers don't); ``delay_seconds`` holds each chunk back.
    """

    def __init__(self, *, store: Endpoint) -> None:
        self.mode = PASS
        self.delay_seconds = float(0)
        self._store = store
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def endpoint(self) -> Endpoint:
        """Return where the process finds the store."""
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
        """Close everything."""
        self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        store = self._store
        try:
            back, forth = await asyncio.open_connection(store.host, store.port)
        except OSError:
            writer.transport.abort()
            return
        ends = (writer, forth)
        self._writers.update(ends)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await asyncio.wait(
                (
                    asyncio.create_task(self._pump(reader, forth, (SILENT,))),
                    asyncio.create_task(
                        self._pump(back, writer, (SILENT, ANSWERS_LOST))
                    ),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
        self._writers.difference_update(ends)
        for end in ends:
            end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        lost_in: tuple[str, ...],
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_seconds)
                if self.mode == ANSWERS_LOST and ANSWERS_LOST in lost_in:
                    continue
                while self.mode in lost_in:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()
