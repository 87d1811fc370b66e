"""Encode and decode member rows and configurations as protobuf."""

import ipaddress
import math
from functools import lru_cache
from sys import intern
from types import MappingProxyType

from bluebellfold.balancers import control_pb2 as wire
from bluebellfold.balancers.rows import MemberRow
from bluebellfold.core import (
    DRAINING,
    LEFT,
    SERVING,
    Configuration,
    Endpoint,
    Member,
    Sentinel,
)

MAX_PORT = 65_535
MAX_NAME_CHARACTERS = 255
MAX_INTERNED_NUMBERS = 1024

MALFORMED = Sentinel(
    name='malformed',
    reason='a field of the row is out of range',
)

_STATES = MappingProxyType(
    {
        SERVING: wire.STATE_SERVING,
        DRAINING: wire.STATE_DRAINING,
        LEFT: wire.STATE_LEFT,
    }
)
_STATE_NAMES = MappingProxyType(
    {number: name for name, number in _STATES.items()}
)


def encode_row(row: MemberRow) -> wire.MemberRow:
    """Return the row as protobuf."""
    member = row.member
    return wire.MemberRow(
        name=member.name,
        service=member.service,
        zone=member.zone,
        host=member.endpoint.host,
        port=member.endpoint.port,
        control_port=member.control_port,
        weight=member.weight,
        state=_STATES[member.state],
        incarnation=member.incarnation,
        sequence=member.sequence,
        left_seconds=row.left_seconds,
    )


def decode_row(encoded: wire.MemberRow) -> MemberRow | Sentinel:
    """Return the row, or MALFORMED."""
    if not _is_well_formed(encoded):
        return MALFORMED
    member = Member(
        name=encoded.name,
        service=encoded.service,
        zone=intern(encoded.zone),
        endpoint=Endpoint(
            host=intern(encoded.host), port=_intern_number(encoded.port)
        ),
        control_port=_intern_number(encoded.control_port),
        weight=_intern_number(encoded.weight),
        state=_STATE_NAMES[encoded.state],
        incarnation=encoded.incarnation,
        sequence=encoded.sequence,
    )
    return MemberRow(member=member, left_seconds=encoded.left_seconds)


def encode_configuration(
    configuration: Configuration | None,
) -> wire.Configuration | None:
    """Return the configuration as protobuf, if there is one."""
    if configuration is None:
        return None
    return wire.Configuration(
        version=configuration.version,
        operation=configuration.operation,
        text=configuration.text,
    )


def decode_configuration(
    encoded: wire.SwapRequest | wire.SwapAnswer,
) -> Configuration | None:
    """Return the configuration in a swap request or response, if any."""
    if not encoded.HasField('configuration'):
        return None
    return Configuration(
        version=encoded.configuration.version,
        operation=encoded.configuration.operation,
        text=encoded.configuration.text,
    )


@lru_cache(maxsize=MAX_INTERNED_NUMBERS, typed=True)
def _intern_number(number: float) -> float:
    # Saves memory: most rows have the same few ports and weights.
    return number


def _is_well_formed(encoded: wire.MemberRow) -> bool:
    try:
        ipaddress.ip_address(encoded.host)
    except ValueError:
        return False
    valid_weight = math.isfinite(encoded.weight) and encoded.weight >= 0
    valid_ports = max(encoded.port, encoded.control_port) <= MAX_PORT
    valid_name = 0 < len(encoded.name) <= MAX_NAME_CHARACTERS
    return (
        valid_weight
        and valid_ports
        and valid_name
        and encoded.state in _STATE_NAMES
    )
