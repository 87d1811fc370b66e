"""Decide whether a response continues the history that a watch follows.

Load pattern: the store comes back from a copy some seconds old, and gives out
its revisions again. A watch that went on from its revision would miss changes,
without a response that tells so. A response from before may arrive late, and
one may not name its era.
"""

from bluebellfold.core import NO_ERA, StorePosition


class WatchedHistory:
    """Hold the newest era that the store has told, and the watch's position.

    >>> history = WatchedHistory()
    >>> history.advance(StorePosition(era=1, revision=20))
    >>> later = StorePosition(era=2, revision=8)
    >>> history.continues(later), history.is_late(later)
    (False, False)
    """

    __slots__ = ('_era', '_position')

    def __init__(self) -> None:
        self._era = NO_ERA
        self._position: StorePosition | None = None

    @property
    def era(self) -> int:
        """Return the newest era that the store has told, or NO_ERA."""
        return self._era

    @property
    def position(self) -> StorePosition | None:
        """Return where the next watch starts, None if the kind is listed."""
        return self._position

    @property
    def revision(self) -> int | None:
        """Return the revision of the position, None if there is none."""
        return None if self._position is None else self._position.revision

    def place(self, position: StorePosition) -> StorePosition:
        """Return the position, in the known era if the response told none."""
        if position.era != NO_ERA:
            return position
        return StorePosition(era=self._era, revision=position.revision)

    def is_late(self, position: StorePosition) -> bool:
        """Return whether a response is of an era before the known one."""
        return position.era < self._era

    def continues(self, position: StorePosition) -> bool:
        """Return whether a response to the watch is of its era."""
        return self._position is None or position.era == self._position.era

    def advance(self, position: StorePosition) -> None:
        """Record the position of a response."""
        self._era = max(self._era, position.era)
        self._position = position

    def reset(self) -> None:
        """Forget the position, so that the kind is listed."""
        self._position = None
