"""Define messages to the actor that serves clients, and its own."""

from bluebellfold.core import Message, Reply, RoutingTable, read_only
from bluebellfold.relay.agents import Address


class UpdateRoutes(Message):
    """Activate a configuration if it is newer."""

    __slots__ = ('_routes',)

    routes: RoutingTable = read_only('_routes')

    def __init__(self, *, routes: RoutingTable) -> None:
        self._routes = routes


class SetRoutesFresh(Message):
    """Set whether the store delivers a newer configuration at once."""

    __slots__ = ('_fresh',)

    fresh: bool = read_only('_fresh')

    def __init__(self, *, fresh: bool) -> None:
        self._fresh = fresh


class UpdateAgents(Message):
    """Replace the list of agents by a revision of the store."""

    __slots__ = ('_addresses', '_revision')

    addresses: tuple[Address, ...] = read_only('_addresses')
    revision: int = read_only('_revision')

    def __init__(
        self, *, addresses: tuple[Address, ...], revision: int
    ) -> None:
        self._addresses = addresses
        self._revision = revision


class CheckReadiness(Message):
    """Ask whether the balancer can assign new flows to agents."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class LeaveRotation(Message):
    """Fail readiness checks, and stop once the fabric has noticed."""

    __slots__ = ()


class Relist(Message):
    """List the whole kind again, because its watch missed a change."""

    __slots__ = ('_reason',)

    reason: str = read_only('_reason')

    def __init__(self, *, reason: str) -> None:
        self._reason = reason
