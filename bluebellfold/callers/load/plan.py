"""Define the plan of a load run."""

from bluebellfold.core import Endpoint, Record, read_only


class Window(Record):
    """Name a time window of the run, in seconds from its start."""

    __slots__ = ('_begins', '_ends', '_name')

    begins: float = read_only('_begins')
    ends: float = read_only('_ends')
    name: str = read_only('_name')

    def __init__(self, *, name: str, begins: float, ends: float) -> None:
        self._name = name
        self._begins = begins
        self._ends = ends

    @property
    def seconds(self) -> float:
        """Return the length in seconds."""
        return self._ends - self._begins

    def contains(self, elapsed_seconds: float) -> bool:
        """Tell whether a time, in seconds from the start, is in the window."""
        return self._begins <= elapsed_seconds < self._ends


class Flood(Record):
    """Add ``rate`` requests per second of one kind during a window."""

    __slots__ = ('_kind', '_rate', '_window')

    kind: str = read_only('_kind')
    rate: float = read_only('_rate')
    window: Window = read_only('_window')

    def __init__(self, *, kind: str, rate: float, window: Window) -> None:
        self._kind = kind
        self._rate = rate
        self._window = window


class KindLoad(Record):
    """Hold the load of one kind of work.

    ``rate`` is in requests per second, sent without waiting for responses.
    ``streams`` is the number of streams held open for the whole run, and
    ``flows`` the number of flows that carry the requests.
    """

    __slots__ = (
        '_balancers',
        '_body_bytes',
        '_flows',
        '_method',
        '_name',
        '_path',
        '_rate',
        '_streams',
        '_timeout_seconds',
        '_work_ms',
    )

    balancers: tuple[Endpoint, ...] = read_only('_balancers')
    body_bytes: int = read_only('_body_bytes')
    flows: int = read_only('_flows')
    method: str = read_only('_method')
    name: str = read_only('_name')
    path: str = read_only('_path')
    rate: float = read_only('_rate')
    streams: int = read_only('_streams')
    timeout_seconds: float = read_only('_timeout_seconds')
    work_ms: float = read_only('_work_ms')

    def __init__(
        self,
        *,
        name: str,
        balancers: tuple[Endpoint, ...],
        method: str,
        path: str,
        rate: float,
        streams: int,
        flows: int,
        body_bytes: int,
        work_ms: float,
        timeout_seconds: float,
    ) -> None:
        self._name = name
        self._balancers = balancers
        self._method = method
        self._path = path
        self._rate = rate
        self._streams = streams
        self._flows = flows
        self._body_bytes = body_bytes
        self._work_ms = work_ms
        self._timeout_seconds = timeout_seconds

    @property
    def path_with_work(self) -> str:
        """Return the path with the work time for a stand-in upstream."""
        return ''.join((self._path, '?work_ms=', str(self._work_ms)))


class UpstreamZone(Record):
    """Hold the availability zone of an upstream."""

    __slots__ = ('_name', '_zone')

    name: str = read_only('_name')
    zone: str = read_only('_zone')

    def __init__(self, *, name: str, zone: str) -> None:
        self._name = name
        self._zone = zone


class LoadPlan(Record):
    """Hold the plan of one run.

    ``upstream_field`` is the response header that names the upstream.
    """

    __slots__ = (
        '_floods',
        '_kinds',
        '_upstream_zones',
        '_seconds',
        '_seed',
        '_upstream_field',
        '_windows',
        '_workers',
    )

    floods: tuple[Flood, ...] = read_only('_floods')
    kinds: tuple[KindLoad, ...] = read_only('_kinds')
    upstream_zones: tuple[UpstreamZone, ...] = read_only('_upstream_zones')
    seconds: float = read_only('_seconds')
    seed: int = read_only('_seed')
    upstream_field: str = read_only('_upstream_field')
    windows: tuple[Window, ...] = read_only('_windows')
    workers: int = read_only('_workers')

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        workers: int,
        upstream_field: str,
        kinds: tuple[KindLoad, ...],
        floods: tuple[Flood, ...],
        windows: tuple[Window, ...],
        upstream_zones: tuple[UpstreamZone, ...],
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._workers = workers
        self._upstream_field = upstream_field
        self._kinds = kinds
        self._floods = floods
        self._windows = windows
        self._upstream_zones = upstream_zones

    @property
    def last_timeout_at(self) -> float:
        """Return the time by which every request has ended, in seconds."""
        timeouts = (kind.timeout_seconds for kind in self._kinds)
        return self._seconds + max(timeouts, default=0)
