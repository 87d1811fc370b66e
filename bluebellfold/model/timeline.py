"""Keep simulated time: what is planned happens in order, at once."""

import heapq
import itertools
from collections.abc import Callable

Act = Callable[[], None]


class Timeline:
    """Tell a simulated time, and do what is due at each moment.

    >>> timeline = Timeline()
    >>> timeline.after(0.5, lambda: print(timeline.now()))
    >>> timeline.run_until(2)
    0.5
    """

    __slots__ = ('_now', '_order', '_planned')

    def __init__(self) -> None:
        self._now = float(0)
        self._order = itertools.count()
        self._planned: list[tuple[float, int, Act]] = []

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def after(self, seconds: float, act: Act) -> None:
        """Plan an act."""
        due = self._now + seconds
        heapq.heappush(self._planned, (due, next(self._order), act))

    def run_until(self, moment: float) -> None:
        """Do all that is due up to a moment."""
        while self._planned and self._planned[0][0] <= moment:
            due, _, act = heapq.heappop(self._planned)
            self._now = due
            act()
        self._now = moment
