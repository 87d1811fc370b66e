"""Define the messages that the watches of the store send and receive."""

from bluebellfold.core import Message, RoutingTable, read_only
from bluebellfold.relay.agents import AgentEntry


class UpdateRoutes(Message):
    """Activate a configuration if it is newer."""

    __slots__ = ('_routes',)

    routes: RoutingTable = read_only('_routes')

    def __init__(self, *, routes: RoutingTable) -> None:
        self._routes = routes


class SetRoutesFresh(Message):
    """Set whether the watch of the configuration reaches the store."""

    __slots__ = ('_fresh',)

    fresh: bool = read_only('_fresh')

    def __init__(self, *, fresh: bool) -> None:
        self._fresh = fresh


class UpdateAgents(Message):
    """Replace the list of agents by the given revision of the list."""

    __slots__ = ('_entries', '_revision')

    entries: tuple[AgentEntry, ...] = read_only('_entries')
    revision: int = read_only('_revision')

    def __init__(
        self, *, entries: tuple[AgentEntry, ...], revision: int
    ) -> None:
        self._entries = entries
        self._revision = revision


class RegisterAgent(Message):
    """Register the agent in the store: its upstream has been heard."""

    __slots__ = ()


class UpdateEvacuations(Message):
    """Replace the evacuated zones, as of a revision of the store."""

    __slots__ = ('_revision', '_zones')

    revision: int = read_only('_revision')
    zones: frozenset[str] = read_only('_zones')

    def __init__(self, *, zones: frozenset[str], revision: int) -> None:
        self._zones = zones
        self._revision = revision


class SetBalancers(Message):
    """Set about how many balancers share what they know of the store."""

    __slots__ = ('_count',)

    count: int = read_only('_count')

    def __init__(self, *, count: int) -> None:
        self._count = count


class Relist(Message):
    """List the watched objects again, because the watch missed a change."""

    __slots__ = ('_reason',)

    reason: str = read_only('_reason')

    def __init__(self, *, reason: str) -> None:
        self._reason = reason
