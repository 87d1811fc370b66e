"""Define the messages that the watches of the store send and receive."""

from bluebellfold.core import (
    NO_POSITION,
    Message,
    RoutingTable,
    StorePosition,
    read_only,
)
from bluebellfold.platform import Change
from bluebellfold.relay.agents import AgentEntry


class UpdateRoutes(Message):
    """Activate a configuration if it is newer.

    ``peer`` is the balancer that had it, empty for the store.
    """

    __slots__ = ('_peer', '_routes')

    peer: str = read_only('_peer')
    routes: RoutingTable = read_only('_routes')

    def __init__(self, *, routes: RoutingTable, peer: str = '') -> None:
        self._routes = routes
        self._peer = peer


class SetRoutesFresh(Message):
    """Set whether the watch of the configuration reaches the store."""

    __slots__ = ('_fresh',)

    fresh: bool = read_only('_fresh')

    def __init__(self, *, fresh: bool) -> None:
        self._fresh = fresh


class UpdateAgents(Message):
    """Replace the list of agents.

    ``position`` is that of the agent that was written last, and ``as_of`` the
    one at which the list was read, None if unknown. Changes become known after
    ``next_read_seconds``, 0 if a watch is in progress. ``peer`` is the balancer
    that had it, empty for the store.
    """

    __slots__ = (
        '_as_of',
        '_entries',
        '_next_read_seconds',
        '_peer',
        '_position',
    )

    as_of: StorePosition | None = read_only('_as_of')
    entries: tuple[AgentEntry, ...] = read_only('_entries')
    next_read_seconds: float = read_only('_next_read_seconds')
    peer: str = read_only('_peer')
    position: StorePosition = read_only('_position')

    def __init__(
        self,
        *,
        entries: tuple[AgentEntry, ...],
        position: StorePosition = NO_POSITION,
        as_of: StorePosition | None = None,
        next_read_seconds: float = 0,
        peer: str = '',
    ) -> None:
        self._as_of = as_of
        self._next_read_seconds = next_read_seconds
        self._entries = entries
        self._position = position
        self._peer = peer


class RegisterAgent(Message):
    """Register the agent in the store: its upstream has been heard."""

    __slots__ = ()


class DeregisterAgent(Message):
    """Remove the agent from the store: its upstream has deregistered."""

    __slots__ = ()


class VerifyRegistration(Message):
    """Write the entry again if it is missing: the list may lack the agent."""

    __slots__ = ()


class UpdateEvacuations(Message):
    """Replace the evacuated zones, as of a position of the store.

    ``peer`` is the balancer that had them, empty for the store.
    """

    __slots__ = ('_peer', '_position', '_zones')

    peer: str = read_only('_peer')
    position: StorePosition = read_only('_position')
    zones: frozenset[str] = read_only('_zones')

    def __init__(
        self, *, zones: frozenset[str], position: StorePosition, peer: str = ''
    ) -> None:
        self._zones = zones
        self._position = position
        self._peer = peer


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


class LearnEra(Message):
    """Learn of an era of the store, which another watch or process has read."""

    __slots__ = ('_era',)

    era: int = read_only('_era')

    def __init__(self, *, era: int) -> None:
        self._era = era


class ReportObjects(Message):
    """Report the objects of a kind that a watch has read, as stored.

    If ``is_complete``, they are all objects of the kind, and the ``unreadable``
    ones stay as they were known before; otherwise they are changes.
    """

    __slots__ = (
        '_changes',
        '_is_complete',
        '_kind',
        '_position',
        '_unreadable',
    )

    changes: tuple[Change, ...] = read_only('_changes')
    is_complete: bool = read_only('_is_complete')
    kind: str = read_only('_kind')
    position: StorePosition = read_only('_position')
    unreadable: frozenset[str] = read_only('_unreadable')

    def __init__(
        self,
        *,
        kind: str,
        changes: tuple[Change, ...],
        position: StorePosition,
        is_complete: bool,
        unreadable: frozenset[str],
    ) -> None:
        self._kind = kind
        self._changes = changes
        self._position = position
        self._is_complete = is_complete
        self._unreadable = unreadable


class ConfirmObjects(Message):
    """Report that the store has answered the watch of a kind."""

    __slots__ = ('_kind', '_position')

    kind: str = read_only('_kind')
    position: StorePosition = read_only('_position')

    def __init__(self, *, kind: str, position: StorePosition) -> None:
        self._kind = kind
        self._position = position


class DisconnectObjects(Message):
    """Report that the watch of a kind has no connection to the store.

    ``was_silent`` tells that no end of the connection was noticed before a
    call timed out.
    """

    __slots__ = ('_kind', '_was_silent')

    kind: str = read_only('_kind')
    was_silent: bool = read_only('_was_silent')

    def __init__(self, *, kind: str, was_silent: bool) -> None:
        self._kind = kind
        self._was_silent = was_silent
