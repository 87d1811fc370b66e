"""Define what other tasks tell the task that serves callers."""

from bluebellfold.core import Message, Reply, RoutingTable, read_only
from bluebellfold.relay.agents import Address


class ChangeRoutes(Message):
    """Put a configuration in force if it is newer."""

    __slots__ = ('_routes',)

    routes: RoutingTable = read_only('_routes')

    def __init__(self, *, routes: RoutingTable) -> None:
        self._routes = routes


class MarkRoutes(Message):
    """Tell whether the store would bring a newer configuration at once."""

    __slots__ = ('_fresh',)

    fresh: bool = read_only('_fresh')

    def __init__(self, *, fresh: bool) -> None:
        self._fresh = fresh


class ChangeAgents(Message):
    """Take the list of agents that exist, at its newest revision."""

    __slots__ = ('_addresses', '_revision')

    addresses: tuple[Address, ...] = read_only('_addresses')
    revision: int = read_only('_revision')

    def __init__(
        self, *, addresses: tuple[Address, ...], revision: int
    ) -> None:
        self._addresses = addresses
        self._revision = revision


class AskReadiness(Message):
    """Ask whether new flows can be placed from here."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class Leave(Message):
    """Leave the rotation, and end once the fabric has noticed."""

    __slots__ = ()


class ReadAnew(Message):
    """Read the whole kind: the watch has missed something."""

    __slots__ = ('_reason',)

    reason: str = read_only('_reason')

    def __init__(self, *, reason: str) -> None:
        self._reason = reason
