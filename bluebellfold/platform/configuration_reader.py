"""Read a configuration that may be wrong, and collect all its errors.

The processes refuse a document at its first error; the check before a
submission names every one. Both read each field by the same description in
``configuration_fields``.
"""

import socket
from collections.abc import Iterable
from typing import Any

from bluebellfold.core import Record, Route, RoutedService, read_only
from bluebellfold.platform import configuration_fields as document
from bluebellfold.platform.configuration_fields import Field, FieldError
from bluebellfold.platform.json_reader import MAX_TEXT, is_text
from bluebellfold.platform.routes import (
    MS_PER_SECOND,
    decode_route,
    decode_service,
)

# Path of a problem of the document as a whole.
DOCUMENT_ROOT = '$'


class FieldProblem(Record):
    """Describe a field that the processes or the platform can't use."""

    __slots__ = ('_expected', '_path')

    expected: str = read_only('_expected')
    path: str = read_only('_path')

    def __init__(self, *, path: str, expected: str) -> None:
        self._path = path
        self._expected = expected


class RouteEntry(Record):
    """Hold a readable route and its place in the document.

    ``decimal_address`` tells whether its address is written as four decimal
    numbers. Others are readable too: 010.0.0.1 is octal and means 8.0.0.1.
    """

    __slots__ = ('_decimal_address', '_max_attempts', '_path', '_route')

    decimal_address: bool = read_only('_decimal_address')
    max_attempts: int = read_only('_max_attempts')
    path: str = read_only('_path')
    route: Route = read_only('_route')

    def __init__(
        self,
        *,
        path: str,
        route: Route,
        max_attempts: int,
        decimal_address: bool,
    ) -> None:
        self._path = path
        self._route = route
        self._max_attempts = max_attempts
        self._decimal_address = decimal_address

    def path_of(self, field: Field) -> str:
        """Return the path of one of its fields."""
        return join_path(self._path, field.key)

    def has_same_fields(self, other: 'RouteEntry') -> bool:
        """Return whether the entries differ at most in their places."""
        if self._max_attempts != other.max_attempts:
            return False
        return self._route == other.route


class ServiceEntry(Record):
    """Hold a readable service and its place in the document.

    ``fields`` are all fields with their keys, to compare two versions.
    """

    __slots__ = ('_fields', '_max_connections', '_path', '_service', '_warmup')

    fields: tuple[tuple[str, Any], ...] = read_only('_fields')
    max_connections: int = read_only('_max_connections')
    path: str = read_only('_path')
    service: RoutedService = read_only('_service')
    warmup_seconds: float = read_only('_warmup')

    def __init__(
        self,
        *,
        path: str,
        service: RoutedService,
        max_connections: int,
        warmup_seconds: float,
        fields: tuple[tuple[str, Any], ...],
    ) -> None:
        self._path = path
        self._service = service
        self._max_connections = max_connections
        self._warmup = warmup_seconds
        self._fields = fields

    def path_of(self, field: Field) -> str:
        """Return the path of one of its fields."""
        return join_path(self._path, field.key)


class Configuration(Record):
    """Hold the readable parts of a document, and problems of the others.

    ``unknown_paths`` are those of fields that neither the processes nor the
    platform know.
    ``version`` and ``idle_seconds`` are None if they are unreadable.
    ``limits`` has the limits that the document states, by key.
    ``listed_services`` and ``routed_services`` are the names of all services,
    and of all that routes lead to, also those of entries with a problem in
    another field. They are None if one of the names is unreadable.
    """

    __slots__ = (
        '_idle_seconds',
        '_limits',
        '_listed_services',
        '_problems',
        '_routed_services',
        '_routes',
        '_services',
        '_unknown_paths',
        '_version',
    )

    idle_seconds: float | None = read_only('_idle_seconds')
    limits: dict[str, float] = read_only('_limits')
    listed_services: frozenset[str] | None = read_only('_listed_services')
    problems: tuple[FieldProblem, ...] = read_only('_problems')
    routed_services: frozenset[str] | None = read_only('_routed_services')
    routes: tuple[RouteEntry, ...] = read_only('_routes')
    services: tuple[ServiceEntry, ...] = read_only('_services')
    unknown_paths: tuple[str, ...] = read_only('_unknown_paths')
    version: int | None = read_only('_version')

    def __init__(
        self,
        *,
        version: int | None,
        idle_seconds: float | None,
        limits: dict[str, float],
        routes: tuple[RouteEntry, ...],
        services: tuple[ServiceEntry, ...],
        problems: tuple[FieldProblem, ...],
        listed_services: frozenset[str] | None = None,
        routed_services: frozenset[str] | None = None,
        unknown_paths: tuple[str, ...] = (),
    ) -> None:
        self._version = version
        self._idle_seconds = idle_seconds
        self._limits = limits
        self._listed_services = listed_services
        self._routed_services = routed_services
        self._routes = routes
        self._services = services
        self._problems = problems
        self._unknown_paths = unknown_paths


def read_configuration(spec: Any) -> Configuration:
    """Return all readable parts of a decoded document, and its problems."""
    reader = _Reader()
    if not isinstance(spec, dict):
        reader.report(DOCUMENT_ROOT, 'a JSON object')
        return Configuration(
            version=None,
            idle_seconds=None,
            limits={},
            routes=(),
            services=(),
            problems=reader.problems,
        )
    reader.note_unknown(document.DOCUMENT_FIELDS, spec, '')
    version = reader.read(document.VERSION, spec, '')
    stated = reader.read(document.LIMITS, spec, '')
    limits: dict[str, Any] = {}
    if stated is not None:
        limits = reader.read_all(
            document.LIMIT_FIELDS, stated, document.LIMITS.key
        )
        # The default of a limit that is left out is no limit of the document.
        limits = {key: limits[key] for key in limits.keys() & stated.keys()}
    idle_ms = limits.get(document.IDLE_TIMEOUT.key)
    routes = reader.read(document.ROUTES, spec, '')
    services = reader.read(document.SERVICES, spec, '')
    route_entries = tuple(map(reader.read_route, *_number(routes or ())))
    service_entries = tuple(map(reader.read_service, *_number(services or ())))
    return Configuration(
        version=version,
        idle_seconds=None if idle_ms is None else idle_ms / MS_PER_SECOND,
        limits=limits,
        routes=tuple(filter(None, route_entries)),
        services=tuple(filter(None, service_entries)),
        listed_services=reader.collect_listed_services(),
        routed_services=reader.collect_routed_services(),
        problems=reader.problems,
        unknown_paths=reader.unknown_paths,
    )


def join_path(path: str, key: str) -> str:
    """Return the path of a field of an entry.

    >>> join_path('Routes[3]', 'Name'), join_path('', 'Version')
    ('Routes[3].Name', 'Version')
    """
    return f'{path}.{key}' if path else key


def index_path(path: str, index: int) -> str:
    """Return the path of an entry of a list.

    >>> index_path('Routes', 3)
    'Routes[3]'
    """
    return f'{path}[{index}]'


def is_decimal_address(text: str) -> bool:
    """Return whether an address is written as four decimal numbers.

    >>> is_decimal_address('10.0.0.1'), is_decimal_address('010.0.0.1')
    (True, False)
    """
    return socket.inet_ntoa(socket.inet_aton(text)) == text


class _Reader:
    """Collect the problems of one document, and the names of its services."""

    __slots__ = (
        '_listed_services',
        '_problems',
        '_routed_services',
        '_unknown_paths',
    )

    def __init__(self) -> None:
        # None stands for an unreadable name.
        self._listed_services: set[str | None] = set()
        self._routed_services: set[str | None] = set()
        self._problems: list[FieldProblem] = []
        self._unknown_paths: list[str] = []

    @property
    def problems(self) -> tuple[FieldProblem, ...]:
        """Return the problems in order of the document."""
        return tuple(self._problems)

    @property
    def unknown_paths(self) -> tuple[str, ...]:
        """Return the paths of unknown fields in order of the document."""
        return tuple(self._unknown_paths)

    def note_unknown(
        self, known: Iterable[Field], fields: dict[str, Any], path: str
    ) -> None:
        """Add the paths of the fields that are not among the known ones."""
        known_keys = {field.key for field in known}
        for key in fields:
            if key not in known_keys:
                # A key can hold any character; the path is written out.
                shown = key if is_text(key) else ascii(key[:MAX_TEXT])
                self._unknown_paths.append(join_path(path, shown))

    def collect_listed_services(self) -> frozenset[str] | None:
        """Return the names of all services, None if one is unreadable."""
        return self._collect(self._listed_services, document.SERVICES)

    def collect_routed_services(self) -> frozenset[str] | None:
        """Return the services of all routes, None if one is unreadable."""
        return self._collect(self._routed_services, document.ROUTES)

    def report(self, path: str, expected: str) -> None:
        """Add a problem."""
        self._problems.append(FieldProblem(path=path, expected=expected))

    def read(self, field: Field, fields: dict[str, Any], path: str) -> Any:
        """Return the content of a field, None if it is unusable."""
        try:
            return field.read(fields)
        except FieldError:
            self.report(join_path(path, field.key), field.expected)
        return None

    def read_all(
        self,
        wanted: tuple[Field, ...],
        fields: Any,
        path: str,
        *,
        also_known: tuple[Field, ...] = (),
    ) -> dict[str, Any]:
        """Return the usable ones of several fields by key."""
        if not isinstance(fields, dict):
            self.report(path, 'an object')
            return {}
        self.note_unknown((*wanted, *also_known), fields, path)
        return {field.key: self.read(field, fields, path) for field in wanted}

    def read_route(self, index: int, fields: Any) -> RouteEntry | None:
        """Return a route, or None if it has a problem."""
        path = index_path(document.ROUTES.key, index)
        before = len(self._problems)
        known = self.read_all(
            document.ROUTE_FIELDS,
            fields,
            path,
            also_known=(document.SERVICE,),
        )
        if known:
            self._read_shares(fields, known[document.SPLIT.key], path)
        else:
            self._routed_services.add(None)
        if len(self._problems) > before:
            return None
        return RouteEntry(
            path=path,
            route=decode_route(fields),
            max_attempts=known[document.MAX_ATTEMPTS.key],
            decimal_address=is_decimal_address(known[document.ADDRESS.key]),
        )

    def read_service(self, index: int, fields: Any) -> ServiceEntry | None:
        """Return a service, or None if it has a problem."""
        path = index_path(document.SERVICES.key, index)
        before = len(self._problems)
        known = self.read_all(document.SERVICE_FIELDS, fields, path)
        self._listed_services.add(known.get(document.NAME.key))
        if len(self._problems) > before:
            return None
        return ServiceEntry(
            path=path,
            service=decode_service(fields),
            max_connections=known[document.MAX_CONNECTIONS.key],
            warmup_seconds=known[document.WARMUP_TIME.key],
            fields=tuple(known.items()),
        )

    def _read_shares(self, fields: Any, split: Any, path: str) -> None:
        if not fields.get(document.SPLIT.key):
            self._routed_services.add(self.read(document.SERVICE, fields, path))
            return
        if split is None:
            self._routed_services.add(None)
            return
        split_path = join_path(path, document.SPLIT.key)
        for index, part in enumerate(split):
            part_path = index_path(split_path, index)
            share = self.read_all(document.SHARE_FIELDS, part, part_path)
            self._routed_services.add(share.get(document.SERVICE.key))

    def _collect(
        self, names: set[str | None], part: Field
    ) -> frozenset[str] | None:
        if any(problem.path == part.key for problem in self._problems):
            return None
        readable = frozenset(name for name in names if name is not None)
        return readable if len(readable) == len(names) else None


def _number(entries: Iterable[Any]) -> tuple[Iterable[int], Iterable[Any]]:
    listed = tuple(entries)
    return range(len(listed)), listed
