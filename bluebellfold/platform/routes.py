"""Decode the configuration that the operator writes to the store."""

import re
from typing import Any

from bluebellfold.core import (
    Route,
    RoutedService,
    RoutingTable,
    Sentinel,
    Share,
    pack_address,
)
from bluebellfold.platform.json_reader import is_integer, is_number, is_text

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
MS_PER_SECOND = 1000
IDEMPOTENT = 'idempotent'
MAX_PORT = 65_535
MAX_VERSION = 0x7FFFFFFFFFFFFFFF
MAX_PRIORITY = 255
MAX_MS = 86_400_000
MAX_WEIGHT = 1_000_000
MAX_FLOWS_PER_SECOND = 1_000_000
# An invalid IP address raises OSError.
DECODE_ERRORS = (KeyError, TypeError, ValueError, OSError)
PORT_PATTERN = re.compile(r'/([0-9]{1,5})/')

UNREADABLE_CONFIGURATION = Sentinel(
    name='unreadable-configuration',
    reason='a field is missing, of the wrong type or out of range',
)


def decode_routing(spec: Any) -> RoutingTable | Sentinel:
    """Return the routing table, or UNREADABLE_CONFIGURATION."""
    try:
        return _decode_table(spec)
    except DECODE_ERRORS:
        return UNREADABLE_CONFIGURATION


def _decode_table(spec: Any) -> RoutingTable:
    if not isinstance(spec['Routes'], list):
        raise TypeError('the routes are no list')
    idle_ms = spec['Limits']['IdleTimeoutMs']
    return RoutingTable(
        version=_check_integer(spec['Version'], most=MAX_VERSION),
        routes=tuple(map(_decode_route, spec['Routes'])),
        idle_seconds=_check_number(idle_ms, most=MAX_MS) / MS_PER_SECOND,
        services=tuple(map(_decode_service, spec.get('Services') or ())),
    )


def _decode_service(fields: dict[str, Any]) -> RoutedService:
    # A rate of 0, like a missing one, states no limit.
    rate = fields.get('WarmupPerS', 0)
    return RoutedService(
        name=_check_text(fields['Name']),
        warmup_flows_per_second=_check_number(rate, most=MAX_FLOWS_PER_SECOND),
    )


def _decode_route(fields: dict[str, Any]) -> Route:
    # The `Hostname` of a route is an IP address, its `PathPrefix` a port.
    port = PORT_PATTERN.fullmatch(fields['PathPrefix'])
    if port is None:
        raise ValueError('the path prefix is no port')
    timeout_ms = fields['TimeoutMs']
    target_ms = fields.get('TargetLatencyMs', 0)
    return Route(
        name=_check_text(fields['Name']),
        address=pack_address(
            fields['Hostname'], _check_integer(int(port[1]), most=MAX_PORT)
        ),
        shares=_decode_shares(fields),
        repeatable=fields['Type'] == IDEMPOTENT,
        priority=_check_integer(fields['Priority'], most=MAX_PRIORITY),
        timeout_seconds=_check_number(timeout_ms, most=MAX_MS) / MS_PER_SECOND,
        target_seconds=_check_number(target_ms, most=MAX_MS) / MS_PER_SECOND,
        allowed_regions=_decode_regions(fields),
    )


def _decode_regions(fields: dict[str, Any]) -> frozenset[str]:
    regions = fields.get('AllowedRegions') or []
    if not isinstance(regions, list):
        raise TypeError('the regions are no list')
    return frozenset(map(_check_text, regions))


def _decode_shares(fields: dict[str, Any]) -> tuple[Share, ...]:
    split = fields.get('TrafficSplit')
    if not split:
        return (Share(service=_check_text(fields['Service']), weight=1),)
    return tuple(
        Share(
            service=_check_text(part['Service']),
            weight=_check_number(part['Weight'], most=MAX_WEIGHT),
        )
        for part in split
    )


def _check_integer(field: Any, *, most: int) -> int:
    if not is_integer(field, least=0, most=most):
        raise ValueError('a whole number is missing or out of range')
    return field


def _check_number(field: Any, *, most: float) -> float:
    if not is_number(field, least=0, most=most):
        raise ValueError('a number is missing or out of range')
    return float(field)


def _check_text(field: Any) -> str:
    if not is_text(field):
        raise ValueError('a text is missing, too long or not printable')
    return field
