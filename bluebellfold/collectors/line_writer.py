"""Write log lines without blocking on their reader."""

import os
import sys

# About one second of log lines at the highest rate that the journal accepts.
MAX_BUFFERED_BYTES = 131_072


class LineWriter:
    """Write to a descriptor; drop whole lines while the buffer is full.

    An instance can be the stream of a logging handler.
    """

    __slots__ = ('_buffer', '_descriptor', '_dropped')

    def __init__(self, *, descriptor: int | None = None) -> None:
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        os.set_blocking(self._descriptor, False)
        self._buffer = b''
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines."""
        return self._dropped

    def write(self, text: str) -> int:
        """Buffer whole lines, or drop them, and write without blocking."""
        encoded = text.encode('utf-8', 'replace')
        if len(self._buffer) + len(encoded) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer += encoded
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
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
