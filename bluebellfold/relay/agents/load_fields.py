"""Pack the load of an agent into a few bytes, and check what is unpacked."""

import struct

from bluebellfold.relay.agents.agent_load import (
    AgentLoad,
    RequestStats,
    Versions,
)
from bluebellfold.relay.agents.messages import STATE_NAMES

# Incarnation, sequence, offers seen, state, warming up, slots, requests
# in flight, flows, configuration version, agent list revision, mean work
# seconds, failure share.
_LOAD_FIELDS = struct.Struct('>QIIBBHHIqqff')
_MAX_COUNTER = 0xFFFFFFFF
_MAX_SHORT = 0xFFFF
_MAX_WORK_SECONDS = 86_400.0


def check_range(number: float, *, least: float, most: float) -> None:
    """Raise ValueError for a number that is out of range, or is none."""
    if not least <= number <= most:
        raise ValueError('a number is out of range')


def pack_load(load: AgentLoad) -> bytes:
    """Return the load as bytes."""
    service = load.service.encode()
    numbers = _LOAD_FIELDS.pack(
        load.incarnation,
        load.sequence & _MAX_COUNTER,
        load.offers_seen & _MAX_COUNTER,
        load.state,
        load.warming,
        min(load.slots, _MAX_SHORT),
        min(load.in_flight, _MAX_SHORT),
        load.flows,
        load.versions.configuration,
        load.versions.agents,
        load.request_stats.work_seconds,
        load.request_stats.failure_share,
    )
    return b''.join(
        (numbers, bytes((len(service),)), service, load.zone.encode())
    )


def unpack_load(packed: bytes) -> AgentLoad:
    """Return the load; raise an error of struct, ValueError or IndexError."""
    numbers_end = _LOAD_FIELDS.size
    numbers = _LOAD_FIELDS.unpack(packed[:numbers_end])
    service_end = numbers_end + 1 + packed[numbers_end]
    check_range(numbers[3], least=0, most=len(STATE_NAMES) - 1)
    # An upstream without slots would have no load that can be compared.
    check_range(numbers[5], least=1, most=_MAX_SHORT)
    check_range(numbers[10], least=0, most=_MAX_WORK_SECONDS)
    check_range(numbers[-1], least=0, most=1)
    return AgentLoad(
        incarnation=numbers[0],
        sequence=numbers[1],
        offers_seen=numbers[2],
        state=numbers[3],
        warming=bool(numbers[4]),
        slots=numbers[5],
        in_flight=numbers[6],
        flows=numbers[7],
        versions=Versions(configuration=numbers[8], agents=numbers[9]),
        request_stats=RequestStats(
            work_seconds=numbers[10], failure_share=numbers[-1]
        ),
        service=packed[numbers_end + 1 : service_end].decode(),
        zone=packed[service_end:].decode(),
    )
