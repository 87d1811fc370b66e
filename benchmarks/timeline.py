"""Schedule the actions of a simulation in virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

SAMPLE_SECONDS = 0.5

Action = Callable[[], None]


def _ignore() -> None:
    """Do nothing."""


class Timeline:
    """Run actions in the order of their simulated times, in seconds."""

    def __init__(self) -> None:
        self.now: float = 0
        self._events: list[tuple[float, int, Action]] = []
        self._order = count()

    def call_later(self, delay: float, action: Action) -> None:
        """Schedule an action after a delay in seconds."""
        event = (self.now + delay, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, seconds: float, sample: Action = _ignore) -> None:
        """Run for this time, and call sample every SAMPLE_SECONDS."""
        end = self.now + seconds
        sample_at = self.now
        while self._events[0][0] < end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            while sample_at <= at:
                sample()
                sample_at += SAMPLE_SECONDS
            action()
        self.now = end
