"""Select the changed rows to push to peers, within a rate limit."""

from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice

PUSH_ROUNDS_PER_ROW = 3
MAX_ROWS_PER_PUSH = 64
MAX_QUEUED_ROWS = 4096
# A row takes about 70 bytes, so 150 copies/s use about 10 KB/s.
COPIES_PER_SECOND = 150.0
MAX_BURST_COPIES = 600.0


class RumorQueue:
    """Queue the names of changed rows, each for a few rounds of pushes.

    Rows dropped from a full queue are exchanged by the periodic swaps.
    """

    __slots__ = ('_copies_left', '_refilled_at', '_rounds_left')

    def __init__(self, *, now: float) -> None:
        self._rounds_left: OrderedDict[str, int] = OrderedDict()
        self._copies_left = MAX_BURST_COPIES
        self._refilled_at = now

    def __len__(self) -> int:
        """Return the number of queued rows."""
        return len(self._rounds_left)

    def add(self, names: Iterable[str]) -> None:
        """Queue rows; a row already queued gets all its rounds again."""
        for name in names:
            self._rounds_left[name] = PUSH_ROUNDS_PER_ROW
        while len(self._rounds_left) > MAX_QUEUED_ROWS:
            self._rounds_left.popitem(last=False)

    def next_batch(self, *, peer_count: int, now: float) -> tuple[str, ...]:
        """Return the names of the rows to push to this number of peers."""
        self._refill(now)
        limit = min(MAX_ROWS_PER_PUSH, int(self._copies_left) // peer_count)
        names = tuple(islice(self._rounds_left, limit))
        self._copies_left -= len(names) * peer_count
        for name in names:
            self._finish_round(name)
        return names

    def _finish_round(self, name: str) -> None:
        rounds = self._rounds_left.pop(name) - 1
        if rounds:
            self._rounds_left[name] = rounds

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * COPIES_PER_SECOND
        self._copies_left = min(MAX_BURST_COPIES, self._copies_left + gained)
        self._refilled_at = now
