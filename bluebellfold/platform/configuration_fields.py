"""Name the fields of the configuration, and state what each accepts."""

import re
import socket
from collections.abc import Callable
from typing import Any

from bluebellfold.core import Record, read_only
from bluebellfold.platform.json_reader import is_integer, is_number, is_text

MAX_PORT = 65_535
MAX_VERSION = 0x7FFFFFFFFFFFFFFF
MAX_PRIORITY = 255
MAX_MS = 86_400_000
MAX_SECONDS = 86_400
MAX_WEIGHT = 1_000_000
MAX_FLOWS_PER_SECOND = 1_000_000
PORT_PATTERN = re.compile(r'/([0-9]{1,5})/')
# Differs from null, which a field may hold.
MISSING = object()


class FieldError(ValueError):
    """Report a field that is missing, of the wrong type or out of range."""


class Field(Record):
    """Read one field; ``default`` stands for a missing one."""

    __slots__ = ('_accepts', '_default', '_expected', '_key')

    expected: str = read_only('_expected')
    key: str = read_only('_key')

    def __init__(
        self,
        *,
        key: str,
        expected: str,
        accepts: Callable[[Any], bool],
        default: Any = MISSING,
    ) -> None:
        self._key = key
        self._expected = expected
        self._accepts = accepts
        self._default = default

    def read(self, fields: dict[str, Any]) -> Any:
        """Return the content of the field, or raise FieldError."""
        found = fields.get(self._key, self._default)
        if self._accepts(found):
            return found
        raise FieldError(f'{self._key}: expected {self._expected}')


def is_list_or_empty(found: Any) -> bool:
    """Return whether an optional list is absent, empty or a list."""
    return not found or isinstance(found, list)


def _is_present(found: Any) -> bool:
    return found is not MISSING


def _is_object(found: Any) -> bool:
    return isinstance(found, dict)


def _is_list(found: Any) -> bool:
    return isinstance(found, list)


def _is_flag(found: Any) -> bool:
    return isinstance(found, bool)


def _is_text_list(found: Any) -> bool:
    return is_list_or_empty(found) and all(map(is_text, found or ()))


def _is_address(found: Any) -> bool:
    try:
        socket.inet_aton(found)
    except (OSError, TypeError, ValueError):
        return False
    return True


def _is_port_path(found: Any) -> bool:
    if not isinstance(found, str):
        return False
    port = PORT_PATTERN.fullmatch(found)
    return port is not None and int(port[1]) <= MAX_PORT


def _text(key: str, *, default: Any = MISSING) -> Field:
    return Field(
        key=key,
        expected='a text of 1 to 253 printable characters',
        accepts=is_text,
        default=default,
    )


def _integer(key: str, *, most: int, default: Any = MISSING) -> Field:
    return Field(
        key=key,
        expected=f'a whole number from 0 to {most}',
        accepts=lambda found: is_integer(found, least=0, most=most),
        default=default,
    )


def _number(key: str, *, most: float, default: Any = MISSING) -> Field:
    return Field(
        key=key,
        expected=f'a number from 0 to {most}',
        accepts=lambda found: is_number(found, least=0, most=most),
        default=default,
    )


VERSION = _integer('Version', most=MAX_VERSION)
ROUTES = Field(key='Routes', expected='a list', accepts=_is_list)
SERVICES = Field(
    key='Services', expected='a list', accepts=is_list_or_empty, default=()
)
LIMITS = Field(key='Limits', expected='an object', accepts=_is_object)
IDLE_TIMEOUT = _number('IdleTimeoutMs', most=MAX_MS)
NAME = _text('Name')
ADDRESS = Field(key='Hostname', expected='an IPv4 address', accepts=_is_address)
PORT = Field(
    key='PathPrefix',
    expected='a port from 0 to 65535 between slashes',
    accepts=_is_port_path,
)
ROUTE_TYPE = Field(
    key='Type', expected='the type of the requests', accepts=_is_present
)
TIMEOUT = _number('TimeoutMs', most=MAX_MS)
TARGET = _number('TargetLatencyMs', most=MAX_MS, default=0)
PRIORITY = _integer('Priority', most=MAX_PRIORITY)
REGIONS = Field(
    key='AllowedRegions',
    expected='a list of names',
    accepts=_is_text_list,
    default=None,
)
SERVICE = _text('Service')
SPLIT = Field(
    key='TrafficSplit',
    expected='a list',
    accepts=is_list_or_empty,
    default=None,
)
WEIGHT = _number('Weight', most=MAX_WEIGHT)
# A rate of 0, like a missing one, states no limit.
WARMUP_RATE = _number('WarmupPerS', most=MAX_FLOWS_PER_SECOND, default=0)
# The following fields are not read by any process, so a missing one is
# accepted, and one that is present must be of the right type.
WARMUP_TIME = _number('WarmupS', most=MAX_SECONDS, default=0)
MAX_ATTEMPTS = _integer('MaxAttempts', most=MAX_VERSION, default=1)
MAX_CONNECTIONS = _integer('MaxConnections', most=MAX_VERSION, default=1)
HEALTH_PATH = _text('HealthPath', default='/')
PROTOCOL = _text('Protocol', default='none')
TLS = Field(
    key='Tls', expected='true or false', accepts=_is_flag, default=False
)
MAX_HEADER_BYTES = _integer('MaxHeaderBytes', most=MAX_VERSION, default=0)
MAX_BODY_BYTES = _integer('MaxBodyBytes', most=MAX_VERSION, default=0)
HEADER_TIMEOUT = _number('HeaderTimeoutMs', most=MAX_MS, default=0)

ROUTE_FIELDS = (
    NAME,
    ADDRESS,
    PORT,
    ROUTE_TYPE,
    TIMEOUT,
    TARGET,
    PRIORITY,
    REGIONS,
    SPLIT,
    MAX_ATTEMPTS,
)
SERVICE_FIELDS = (
    NAME,
    WARMUP_RATE,
    WARMUP_TIME,
    MAX_CONNECTIONS,
    HEALTH_PATH,
    PROTOCOL,
    TLS,
)
LIMIT_FIELDS = (
    IDLE_TIMEOUT,
    MAX_HEADER_BYTES,
    MAX_BODY_BYTES,
    HEADER_TIMEOUT,
)
DOCUMENT_FIELDS = (VERSION, ROUTES, SERVICES, LIMITS)
SHARE_FIELDS = (SERVICE, WEIGHT)
