"""Decode the configuration that the operator writes to the store."""

from typing import Any

from bluebellfold.core import (
    Route,
    RoutedService,
    RoutingTable,
    Sentinel,
    Share,
    pack_address,
)
from bluebellfold.platform import configuration_fields as document

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
MS_PER_SECOND = 1000
IDEMPOTENT = 'idempotent'
# An entry that is no object has no fields to read: AttributeError.
DECODE_ERRORS = (AttributeError, KeyError, TypeError, ValueError, OSError)

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


def decode_service(fields: dict[str, Any]) -> RoutedService:
    """Return one service, or raise one of DECODE_ERRORS."""
    return RoutedService(
        name=document.NAME.read(fields),
        warmup_flows_per_second=float(document.WARMUP_RATE.read(fields)),
    )


def decode_route(fields: dict[str, Any]) -> Route:
    """Return one route, or raise one of DECODE_ERRORS."""
    # The `Hostname` of a route is an IP address, its `PathPrefix` a port.
    port = int(document.PORT.read(fields).strip('/'))
    return Route(
        name=document.NAME.read(fields),
        address=pack_address(document.ADDRESS.read(fields), port),
        shares=_decode_shares(fields),
        repeatable=document.ROUTE_TYPE.read(fields) == IDEMPOTENT,
        priority=document.PRIORITY.read(fields),
        timeout_seconds=document.TIMEOUT.read(fields) / MS_PER_SECOND,
        target_seconds=document.TARGET.read(fields) / MS_PER_SECOND,
        allowed_regions=frozenset(document.REGIONS.read(fields) or ()),
    )


def _decode_table(spec: Any) -> RoutingTable:
    limits = document.LIMITS.read(spec)
    return RoutingTable(
        version=document.VERSION.read(spec),
        routes=tuple(map(decode_route, document.ROUTES.read(spec))),
        idle_seconds=document.IDLE_TIMEOUT.read(limits) / MS_PER_SECOND,
        services=tuple(map(decode_service, document.SERVICES.read(spec) or ())),
    )


def _decode_shares(fields: dict[str, Any]) -> tuple[Share, ...]:
    split = document.SPLIT.read(fields)
    if not split:
        return (Share(service=document.SERVICE.read(fields), weight=1),)
    return tuple(
        Share(
            service=document.SERVICE.read(part),
            weight=float(document.WEIGHT.read(part)),
        )
        for part in split
    )
