"""Decide as of when a balancer knows all listed agents.

Load pattern: agents list themselves one by one while balancers already serve.
A flow is reset once all known agents have denied it, so a balancer that lacks
an agent would reset the living flows of that agent. Others may know it earlier:
they name the position of their list to agents, which pass it on.
"""

from bluebellfold.core import NO_POSITION, StorePosition
from bluebellfold.relay.callers.versions import NewestVersion

NEVER = float('-inf')


class AgentListVersion:
    """Track which list of agents is in force, and which one others have.

    ``position`` is that of the agent that was written last, which is the same
    at all balancers with this list. The list may be complete as of a later
    position of the store, since agents also leave.

    >>> known = AgentListVersion()
    >>> fifth, ninth, tenth = (
    ...     StorePosition(era=1, revision=revision) for revision in (5, 9, 10)
    ... )
    >>> known.replace(position=fifth, as_of=ninth, now=1.0)
    >>> known.observe(ninth, now=2.0)
    >>> known.complete_at(3.0)
    3.0
    >>> known.observe(tenth, now=3.0)
    >>> known.complete_at(4.0), known.is_outdated(4.0)
    (-inf, True)
    """

    __slots__ = ('_as_of', '_newest', '_position', '_read_at', '_read_due')

    def __init__(self) -> None:
        self._position = NO_POSITION
        self._as_of = NO_POSITION
        self._read_at = NEVER
        self._read_due = NEVER
        self._newest = NewestVersion(lowest=NO_POSITION)

    @property
    def position(self) -> StorePosition:
        """Return the position of the agent that was written last."""
        return self._position

    def replace(
        self,
        *,
        position: StorePosition,
        as_of: StorePosition | None,
        now: float,
        next_read_seconds: float = 0,
    ) -> None:
        """Record a new list, read as of a position, None if unknown.

        Changes become known after ``next_read_seconds``.
        """
        self._position = position
        # A list of several pages may have newer agents and yet lack others: it
        # is complete as of its first page.
        self._as_of = as_of or position
        self._read_at = now
        self._read_due = now + next_read_seconds

    def observe(self, position: StorePosition, now: float) -> None:
        """Record the position of the list that another balancer has."""
        self._newest.observe(position, now)

    def is_outdated(self, now: float) -> bool:
        """Return whether the list has lacked an agent for too long."""
        if now < self._read_due:
            return False
        return self._newest.outdates(self._as_of, now)

    def complete_at(self, now: float) -> float:
        """Return as of when the list has all agents, NEVER if it lacks one."""
        if self._newest.is_newer_than(self._as_of):
            return NEVER
        # Until the list is read again, agents may be listed unnoticed.
        return self._read_at if now < self._read_due else now
