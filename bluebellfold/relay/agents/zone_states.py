"""Decide which of two states of a zone holds, also after the store lost writes.

Load pattern: the store comes back from a copy that lacks an evacuation, and the
operator's writes are repeated with a gap. Balancers that read the copy, others
that are cut off, and late messages tell an agent different states meanwhile.
"""

from bluebellfold.core import NO_ERA
from bluebellfold.relay.agents.agent_load import Evacuation

# The operator's lost writes are repeated after the store's return; no source
# gives a bound. An evacuation that has ended in this time without being seen
# in the store again keeps flows out of its zone for no longer.
REWRITE_SECONDS = 30.0


class KnownEra:
    """Hold the newest era of the store that is known, and since when.

    >>> known = KnownEra()
    >>> known.may_lack_writes(4.0)
    True
    >>> known.observe(1, now=5.0), known.observe(2, now=9.0)
    (False, True)
    >>> known.may_lack_writes(39.0), known.may_lack_writes(39.1)
    (True, False)
    """

    __slots__ = ('_number', '_since')

    def __init__(self) -> None:
        self._number = NO_ERA
        self._since = float(0)

    @property
    def number(self) -> int:
        """Return the era, NO_ERA before one is known."""
        return self._number

    def observe(self, era: int, now: float) -> bool:
        """Record an era, and return whether it follows a known one."""
        if era <= self._number:
            return False
        before = self._number
        self._number = era
        self._since = now
        return before != NO_ERA

    def may_lack_writes(self, now: float) -> bool:
        """Return whether the store may lack writes that it had before.

        A process that knows no era can't tell.
        """
        if self._number == NO_ERA:
            return True
        return now - self._since <= REWRITE_SECONDS


def merge_evacuations(
    known: Evacuation, told: Evacuation, *, may_lack_writes: bool
) -> Evacuation:
    """Return the state of a zone that follows from two states of it.

    The later one holds, but for an evacuation that the store may have lost: a
    later era without it doesn't end it while the store ``may_lack_writes``.
    """
    earlier, later = known, told
    if told.position <= known.position:
        earlier, later = told, known
    if later.evacuated or later.is_certain:
        return later
    if _ends_surely(earlier, later, may_lack_writes=may_lack_writes):
        return later.replace(is_certain=True)
    return earlier if earlier.evacuated else later


def _ends_surely(
    earlier: Evacuation, later: Evacuation, *, may_lack_writes: bool
) -> bool:
    """Return whether the store shows that a zone is no longer evacuated."""
    if not may_lack_writes:
        return True
    if earlier.evacuated:
        # In the same era the store has listed the evacuation before.
        return earlier.position.era == later.position.era
    return earlier.is_certain
