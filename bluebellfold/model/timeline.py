"""Run scheduled callbacks in simulated time, without waiting."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class Timeline:
    """Hold the simulated time and run callbacks when they are due.

    >>> timeline = Timeline()
    >>> timeline.call_later(0.5, lambda: print(timeline.now()))
    >>> timeline.run_until(2)
    0.5
    """

    __slots__ = ('_events', '_now', '_order')

    def __init__(self) -> None:
        self._now = float(0)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callback]] = []

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def call_later(self, seconds: float, callback: Callback) -> None:
        """Schedule a callback; those due at the same time keep their order."""
        due = self._now + seconds
        heapq.heappush(self._events, (due, next(self._order), callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to a simulated time."""
        while self._events and self._events[0][0] <= end:
            due, _, callback = heapq.heappop(self._events)
            self._now = due
            callback()
        self._now = end
