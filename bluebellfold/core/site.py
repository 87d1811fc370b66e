"""Describe a site: its zones, services and kinds of work."""

from bluebellfold.core.errors import SettingsError
from bluebellfold.core.record import Record, read_only

SLOT = 'slot'
CONNECTION = 'connection'
BY_SHARES = 'shares'


class Endpoint(Record):
    """Identify a socket by IP address and port."""

    __slots__ = ('_host', '_port')

    host: str = read_only('_host')
    port: int = read_only('_port')

    def __init__(self, *, host: str, port: int) -> None:
        self._host = host
        self._port = port

    def __eq__(self, other: object) -> bool:
        """Return whether the other endpoint has the same host and port."""
        if not isinstance(other, Endpoint):
            return NotImplemented
        return self._port == other._port and self._host == other._host

    def __hash__(self) -> int:
        """Hash host and port; called for each datagram."""
        return hash((self._host, self._port))

    def __str__(self) -> str:
        """Show host and port in the format of the settings."""
        return f'{self._host}:{self._port}'


class Service(Record):
    """Describe a service: a set of upstreams of equal size.

    ``number`` identifies the service in messages and tokens. ``upstreams`` is
    the number of upstreams, ``slots`` and ``connections`` are the limits of
    each. ``discipline`` is the scheduling discipline that divides the slots
    among the kinds of work.
    """

    __slots__ = (
        '_connections',
        '_discipline',
        '_name',
        '_number',
        '_slots',
        '_upstreams',
    )

    connections: int = read_only('_connections')
    discipline: str = read_only('_discipline')
    name: str = read_only('_name')
    number: int = read_only('_number')
    slots: int = read_only('_slots')
    upstreams: int = read_only('_upstreams')

    def __init__(
        self,
        *,
        name: str,
        number: int,
        upstreams: int,
        slots: int,
        connections: int,
        discipline: str = BY_SHARES,
    ) -> None:
        self._name = name
        self._number = number
        self._upstreams = upstreams
        self._slots = slots
        self._connections = connections
        self._discipline = discipline


class Kind(Record):
    """Describe a kind of work, which has its own address.

    ``urgency`` 0 is the most urgent: such work is rejected last. ``share`` is
    the guaranteed fraction of the service's slots or connections, from 0 to 1.
    ``holds`` is SLOT for work that occupies one of the upstream's slots,
    CONNECTION for long streams. ``repeatable`` marks idempotent requests.
    ``queue_seconds`` is the longest time that a request may be queued,
    ``deadline_seconds`` the deadline of a request if the client gives none.
    ``first_flights_per_second`` limits the new flows at one balancer.
    """

    __slots__ = (
        '_deadline_seconds',
        '_first_flights_per_second',
        '_holds',
        '_name',
        '_number',
        '_port',
        '_queue_seconds',
        '_repeatable',
        '_service',
        '_share',
        '_urgency',
    )

    deadline_seconds: float = read_only('_deadline_seconds')
    first_flights_per_second: float = read_only('_first_flights_per_second')
    holds: str = read_only('_holds')
    name: str = read_only('_name')
    number: int = read_only('_number')
    port: int = read_only('_port')
    queue_seconds: float = read_only('_queue_seconds')
    repeatable: bool = read_only('_repeatable')
    service: str = read_only('_service')
    share: float = read_only('_share')
    urgency: int = read_only('_urgency')

    def __init__(
        self,
        *,
        name: str,
        number: int,
        service: str,
        port: int,
        urgency: int,
        share: float,
        repeatable: bool,
        holds: str,
        queue_seconds: float,
        deadline_seconds: float,
        first_flights_per_second: float,
    ) -> None:
        self._name = name
        self._number = number
        self._service = service
        self._port = port
        self._urgency = urgency
        self._share = share
        self._repeatable = repeatable
        self._holds = holds
        self._queue_seconds = queue_seconds
        self._deadline_seconds = deadline_seconds
        self._first_flights_per_second = first_flights_per_second


class Site(Record):
    """Describe the settings that all processes of a site share.

    ``candidates`` is the number of candidate agents for a new flow.
    """

    __slots__ = (
        '_balancers',
        '_candidates',
        '_drain_seconds',
        '_kinds',
        '_name',
        '_platform',
        '_region',
        '_services',
        '_zones',
    )

    balancers: tuple[Endpoint, ...] = read_only('_balancers')
    candidates: int = read_only('_candidates')
    drain_seconds: float = read_only('_drain_seconds')
    kinds: tuple[Kind, ...] = read_only('_kinds')
    name: str = read_only('_name')
    platform: Endpoint = read_only('_platform')
    region: str = read_only('_region')
    services: tuple[Service, ...] = read_only('_services')
    zones: tuple[str, ...] = read_only('_zones')

    def __init__(
        self,
        *,
        name: str,
        region: str,
        zones: tuple[str, ...],
        services: tuple[Service, ...],
        kinds: tuple[Kind, ...],
        balancers: tuple[Endpoint, ...],
        platform: Endpoint,
        candidates: int,
        drain_seconds: float,
    ) -> None:
        self._name = name
        self._region = region
        self._zones = zones
        self._services = services
        self._kinds = kinds
        self._balancers = balancers
        self._platform = platform
        self._candidates = candidates
        self._drain_seconds = drain_seconds

    def service_named(self, name: str) -> Service:
        """Return the service, or raise SettingsError."""
        for service in self._services:
            if service.name == name:
                return service
        raise SettingsError(
            problem=f'site {self._name} has no service {name}',
            remedy='add it under [services] in the overlay of the site',
        )

    def kind_named(self, name: str) -> Kind:
        """Return the kind of work, or raise SettingsError."""
        for kind in self._kinds:
            if kind.name == name:
                return kind
        raise SettingsError(
            problem=f'site {self._name} has no kind of work {name}',
            remedy='add it under [kinds] in the overlay of the site',
        )

    def kinds_of(self, service: str) -> tuple[Kind, ...]:
        """Return the kinds of work that the service accepts."""
        return tuple(kind for kind in self._kinds if kind.service == service)


class Process(Record):
    """Describe one process: its name, zone and sockets.

    ``settings_file`` is the path that the settings were read from. ``host`` is
    the address for datagrams and for ``control_port``, which accepts gRPC
    calls. An agent also has its service, its upstream's endpoint, the paths
    of its certificate and private key, and its upstream's ``weight``: the
    capacity relative to the service's other upstreams.
    """

    __slots__ = (
        '_control_port',
        '_datagram_port',
        '_host',
        '_keys_file',
        '_name',
        '_service',
        '_settings_file',
        '_tls_files',
        '_upstream',
        '_weight',
        '_zone',
    )

    control_port: int = read_only('_control_port')
    datagram_port: int = read_only('_datagram_port')
    host: str = read_only('_host')
    keys_file: str = read_only('_keys_file')
    name: str = read_only('_name')
    service: str = read_only('_service')
    settings_file: str = read_only('_settings_file')
    tls_files: tuple[str, str] = read_only('_tls_files')
    upstream: Endpoint | None = read_only('_upstream')
    weight: float = read_only('_weight')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        host: str,
        control_port: int,
        datagram_port: int,
        keys_file: str,
        service: str = '',
        upstream: Endpoint | None = None,
        tls_files: tuple[str, str] = ('', ''),
        weight: float = 1,
        settings_file: str = '',
    ) -> None:
        self._weight = weight
        self._settings_file = settings_file
        self._name = name
        self._zone = zone
        self._host = host
        self._control_port = control_port
        self._datagram_port = datagram_port
        self._keys_file = keys_file
        self._service = service
        self._upstream = upstream
        self._tls_files = tls_files

    @property
    def control_endpoint(self) -> Endpoint:
        """Return the endpoint that accepts gRPC calls."""
        return Endpoint(host=self._host, port=self._control_port)
