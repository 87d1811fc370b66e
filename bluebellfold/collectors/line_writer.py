"""Write log lines without blocking on their reader."""

import asyncio
import os
import sys

# About one second of log lines at the highest rate that the journal accepts.
MAX_BUFFERED_BYTES = 131_072
# Lines wait this long for others, and go out in one system call.
BATCH_SECONDS = 0.05


class LineWriter:
    """Write to a descriptor; drop whole lines while the buffer is full.

    An instance can be the stream of a logging handler. While an event loop
    runs, lines are written in batches.
    """

    __slots__ = ('_batch', '_buffer', '_descriptor', '_dropped')

    def __init__(self, *, descriptor: int | None = None) -> None:
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        os.set_blocking(self._descriptor, False)
        self._buffer = b''
        self._dropped = 0
        self._batch: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines."""
        return self._dropped

    def write(self, text: str) -> int:
        """Buffer whole lines, or drop them while the buffer is full."""
        encoded = text.encode('utf-8', 'replace')
        if len(self._buffer) + len(encoded) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer += encoded
        return len(text)

    def flush(self) -> None:
        """Write the buffer with the next batch, or at once without a loop."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.write_batch()
            return
        if self._batch is None:
            self._batch = loop.call_later(BATCH_SECONDS, self.write_batch)

    def write_batch(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._batch = None
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end: discard the lines and continue.
            self._buffer = b''
            return
        self._buffer = self._buffer[written:]
