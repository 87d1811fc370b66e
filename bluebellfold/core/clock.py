"""Read the time in seconds, from the system clock or set by a test."""

import time
from typing import Protocol


class Clock(Protocol):
    """Provide a time in seconds that never decreases."""

    def now(self) -> float:
        """Return the time in seconds."""
        ...


class MonotonicClock:
    """Provide the system's monotonic time."""

    __slots__ = ()

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()


class ManualClock:
    """Provide a time that changes only when ``advance`` is called.

    >>> clock = ManualClock(start=1.0)
    >>> clock.advance(0.5)
    >>> clock.now()
    1.5
    """

    __slots__ = ('_now',)

    def __init__(self, *, start: float = 0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Increase the time by a number of seconds."""
        self._now += seconds
