"""Order moments in the history of the platform's store.

The store may come back from a copy that lacks its last writes. Its revision is
lower then, and revisions are given out again with other content. Its era rises
each time, so that only the era and the revision together order anything.
"""

from functools import total_ordering

from bluebellfold.core.record import Record, read_only

# Of what was read before any answer of the store named its era.
NO_ERA = 0
# Below all revisions.
NO_REVISION = -1


@total_ordering
class StorePosition(Record):
    """Name a revision of the store within an era.

    It compares with other positions only.

    >>> StorePosition(era=2, revision=8) > StorePosition(era=1, revision=20)
    True
    >>> StorePosition(era=2, revision=8) > 5
    Traceback (most recent call last):
    ...
    TypeError: '>' not supported between instances of 'StorePosition' and 'int'
    """

    __slots__ = ('_era', '_revision')

    era: int = read_only('_era')
    revision: int = read_only('_revision')

    def __init__(self, *, era: int, revision: int) -> None:
        self._era = era
        self._revision = revision

    def __lt__(self, other: object) -> bool:
        """Return whether the other position is a later one."""
        if not isinstance(other, StorePosition):
            return NotImplemented
        if self.era == other.era:
            return self.revision < other.revision
        return self.era < other.era


NO_POSITION = StorePosition(era=NO_ERA, revision=NO_REVISION)
