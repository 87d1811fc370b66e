"""Show the progress of a long operation in one line of a terminal."""

import sys
from typing import TextIO

from bluebellfold.core import Clock, MonotonicClock

BAR_WIDTH = 30
# Often enough to look continuous.
REDRAW_SECONDS = 0.1
# Returns to the first column and erases the line.
CLEAR_LINE = '\r\x1b[K'


class ProgressBar:
    """Draw a bar on a stream if it is a terminal, and else nothing."""

    __slots__ = ('_clock', '_done', '_drawn_at', '_label', '_stream', '_total')

    def __init__(
        self, *, stream: TextIO | None = None, clock: Clock | None = None
    ) -> None:
        self._stream = stream or sys.stderr
        self._clock = clock or MonotonicClock()
        self._label = ''
        self._done = 0
        self._total = 0
        self._drawn_at = float(0)

    def start(self, label: str, total: int) -> None:
        """Begin to show an operation of ``total`` steps."""
        self._label = label
        self._total = total
        self._done = 0
        self._draw()

    def advance(self, steps: int) -> None:
        """Record that so many more steps are done."""
        self._done += steps
        if self._clock.now() - self._drawn_at >= REDRAW_SECONDS:
            self._draw()

    def finish(self) -> None:
        """Erase the bar."""
        self._write(CLEAR_LINE)

    def _draw(self) -> None:
        self._drawn_at = self._clock.now()
        drawn = format_bar(self._done, self._total)
        self._write(f'{CLEAR_LINE}{drawn} {self._label}')

    def _write(self, text: str) -> None:
        if self._stream.isatty():
            self._stream.write(text)
            self._stream.flush()


def format_bar(done: int, total: int, *, width: int = BAR_WIDTH) -> str:
    """Return a bar of a width with the share that is done.

    >>> format_bar(1, 4, width=8)
    '[##......]  25%'
    """
    # A log may grow while it is read.
    share = min(done / total, 1) if total else 1
    filled = '#' * round(share * width)
    return '[{0}] {1:4.0%}'.format(filled.ljust(width, '.'), share)
