"""Check the content of flows that a scenario keeps open."""

import asyncio
import contextlib
import hashlib
import random

from bluebellfold.standins.quic_client import (
    ClientFlow,
    FlowBrokenError,
    FlowResponse,
)

LINE_INTERVAL_MS = 50
PART_BYTES = 4096
PART_INTERVAL_SECONDS = 0.05


class FeedReader:
    """Read a streamed response, and count its lines and gaps."""

    def __init__(self, *, flow: ClientFlow) -> None:
        self.flow = flow
        self.lines = 0
        self.gaps = 0
        self.upstream = ''
        self.error: FlowBrokenError | None = None
        self._changed = asyncio.Event()

    async def follow(self) -> None:
        """Read lines until the flow ends."""
        try:
            await self._read()
        except FlowBrokenError as error:
            self.error = error
        self._changed.set()

    async def wait_for_lines(self, wanted: int) -> None:
        """Wait for ``wanted`` more lines; fail on an error or a gap."""
        target = self.lines + wanted
        while self.lines < target:
            assert self.error is None, self.error
            self._changed.clear()
            await self._changed.wait()
        assert not self.gaps

    async def wait_for_end(self) -> None:
        """Wait until the flow has ended."""
        while self.error is None:
            self._changed.clear()
            await self._changed.wait()

    async def _read(self) -> None:
        await self.flow.connect()
        async for line in self.flow.lines(
            f'/feed?interval_ms={LINE_INTERVAL_MS}'
        ):
            self.upstream, number = line.split()
            self.gaps += int(number) != self.lines
            self.lines += 1
            self._changed.set()


class Upload:
    """Send a body in parts until finished, and check its digest."""

    def __init__(self, *, flow: ClientFlow, path: str, seed: int) -> None:
        self.flow = flow
        self._path = path
        self._random = random.Random(seed)
        self._finishing = asyncio.Event()

    def finish(self) -> None:
        """Complete the body."""
        self._finishing.set()

    async def send(self) -> None:
        """Send the body; fail unless the response is its digest."""
        await self.flow.connect()
        digest = hashlib.sha256()
        stream_id = self.flow.start('POST', self._path, last=False)
        while not self._finishing.is_set():
            part = self._random.randbytes(PART_BYTES)
            digest.update(part)
            self.flow.send_body(stream_id, part, last=False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PART_INTERVAL_SECONDS):
                    await self._finishing.wait()
        self.flow.send_body(stream_id, b'', last=True)
        response = await self.flow.receive_response(stream_id)
        assert_complete(response, digest.hexdigest())


def assert_complete(response: FlowResponse, digest: str) -> None:
    """Fail unless the response is the digest computed by the upstream."""
    assert response.status == 200, (response.status, response.fields)
    assert response.body.decode() == digest
