"""Map addresses to the services that accept their new flows."""

from collections.abc import Iterable

from bluebellfold.core.record import Record, read_only

NO_VERSION = -1
Regions = frozenset[str]
# No restriction.
ANY_REGION: Regions = frozenset()


class Share(Record):
    """Give the weight of a service among those of a route."""

    __slots__ = ('_service', '_weight')

    service: str = read_only('_service')
    weight: float = read_only('_weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self._service = service
        self._weight = weight


class RoutedService(Record):
    """Describe the upstreams of one service.

    An upstream bears ``warmup_flows_per_second`` new flows while it is warming
    up; 0 sets no limit.
    """

    __slots__ = ('_name', '_warmup_flows_per_second')

    name: str = read_only('_name')
    warmup_flows_per_second: float = read_only('_warmup_flows_per_second')

    def __init__(self, *, name: str, warmup_flows_per_second: float) -> None:
        self._name = name
        self._warmup_flows_per_second = warmup_flows_per_second


class Route(Record):
    """Route the new flows of one address to one or several services.

    ``repeatable`` marks routes with idempotent requests, which may be executed
    more than once. ``timeout_seconds`` limits a request, and clients want the
    response within ``target_seconds``, 0 if unknown. ``priority`` 0 is the
    highest. Only upstreams in ``allowed_regions`` are used, if there are any.
    """

    __slots__ = (
        '_address',
        '_allowed_regions',
        '_name',
        '_priority',
        '_repeatable',
        '_shares',
        '_target_seconds',
        '_timeout_seconds',
    )

    address: bytes = read_only('_address')
    allowed_regions: Regions = read_only('_allowed_regions')
    name: str = read_only('_name')
    priority: int = read_only('_priority')
    repeatable: bool = read_only('_repeatable')
    shares: tuple[Share, ...] = read_only('_shares')
    target_seconds: float = read_only('_target_seconds')
    timeout_seconds: float = read_only('_timeout_seconds')

    def __init__(
        self,
        *,
        name: str,
        address: bytes,
        shares: tuple[Share, ...],
        repeatable: bool,
        priority: int,
        timeout_seconds: float,
        target_seconds: float = 0,
        allowed_regions: Regions = ANY_REGION,
    ) -> None:
        self._name = name
        self._address = address
        self._allowed_regions = allowed_regions
        self._shares = shares
        self._repeatable = repeatable
        self._priority = priority
        self._target_seconds = target_seconds
        self._timeout_seconds = timeout_seconds

    def select_service(self, fraction: float) -> str:
        """Return the service for a number in [0, 1), by weight.

        >>> first = Share(service='a', weight=1)
        >>> second = Share(service='b', weight=3)
        >>> route = Route(name='r', address=b'', shares=(first, second),
        ...               priority=0, repeatable=True, timeout_seconds=1)
        >>> [route.select_service(each) for each in (0.2, 0.25, 0.9)]
        ['a', 'b', 'b']
        """
        remaining = fraction * sum(share.weight for share in self._shares)
        for share in self._shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self._shares[-1].service


class RoutingTable:
    """Hold the routes of one version of the configuration."""

    __slots__ = (
        '_by_address',
        '_home_regions',
        '_idle_seconds',
        '_services',
        '_version',
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        idle_seconds: float,
        services: tuple[RoutedService, ...] = (),
    ) -> None:
        self._version = version
        self._by_address = {route.address: route for route in routes}
        self._home_regions = _collect_home_regions(routes)
        self._services = {service.name: service for service in services}
        self._idle_seconds = idle_seconds

    @property
    def idle_seconds(self) -> float:
        """Return how long a flow is kept without packets, in seconds."""
        return self._idle_seconds

    @property
    def size(self) -> int:
        """Return the number of routes."""
        return len(self._by_address)

    @property
    def version(self) -> int:
        """Return the version, which increases with each change."""
        return self._version

    def find(self, address: bytes) -> Route | None:
        """Return the route of a packed address, or None."""
        return self._by_address.get(address)

    def find_service(self, name: str) -> RoutedService | None:
        """Return what the configuration says of a service, or None."""
        return self._services.get(name)

    def find_warmup_rate(self, name: str) -> float:
        """Return how many flows a second a cold upstream takes, 0: no limit."""
        service = self.find_service(name)
        return 0 if service is None else service.warmup_flows_per_second

    def list_home_regions(self, service: str) -> Iterable[Regions]:
        """Return each set of regions that a route to the service allows."""
        return self._home_regions.get(service, ())


def _collect_home_regions(
    routes: Iterable[Route],
) -> dict[str, tuple[Regions, ...]]:
    home_regions: dict[str, tuple[Regions, ...]] = {}
    for route in routes:
        for share in route.shares:
            known = home_regions.get(share.service, ())
            if route.allowed_regions and route.allowed_regions not in known:
                home_regions[share.service] = (*known, route.allowed_regions)
    return home_regions


NO_ROUTES = RoutingTable(version=NO_VERSION, routes=(), idle_seconds=0)
