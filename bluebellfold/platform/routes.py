"""Decode the configuration that the operator writes to the store."""

import re
from typing import Any

from bluebellfold.core import (
    Route,
    RoutingTable,
    Sentinel,
    Share,
    pack_address,
)

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
MS_PER_SECOND = 1000
IDEMPOTENT = 'idempotent'
# An invalid IP address raises OSError.
DECODE_ERRORS = (KeyError, TypeError, ValueError, OSError)
PORT_PATTERN = re.compile(r'/(\d{1,5})/')

UNREADABLE_CONFIGURATION = Sentinel(
    name='unreadable-configuration',
    reason='a field is missing or has the wrong type',
)


def decode_routing(spec: Any) -> RoutingTable | Sentinel:
    """Return the routing table, or UNREADABLE_CONFIGURATION."""
    try:
        return RoutingTable(
            version=int(spec['Version']),
            routes=tuple(map(_decode_route, spec['Routes'])),
            idle_seconds=spec['Limits']['IdleTimeoutMs'] / MS_PER_SECOND,
        )
    except DECODE_ERRORS:
        return UNREADABLE_CONFIGURATION


def _decode_route(fields: dict[str, Any]) -> Route:
    # The `Hostname` of a route is an IP address, its `PathPrefix` a port.
    port = PORT_PATTERN.fullmatch(fields['PathPrefix'])
    if port is None:
        raise ValueError(fields['PathPrefix'])
    return Route(
        name=fields['Name'],
        address=pack_address(fields['Hostname'], int(port[1])),
        shares=_decode_shares(fields),
        repeatable=fields['Type'] == IDEMPOTENT,
        priority=int(fields['Priority']),
        timeout_seconds=fields['TimeoutMs'] / MS_PER_SECOND,
    )


def _decode_shares(fields: dict[str, Any]) -> tuple[Share, ...]:
    split = fields.get('TrafficSplit')
    if not split:
        return (Share(service=fields['Service'], weight=1),)
    return tuple(
        Share(service=part['Service'], weight=float(part['Weight']))
        for part in split
    )
