"""Pack the load of an agent into a few bytes, and check what is unpacked."""

import struct
from math import inf

from bluebellfold.core import NO_ERA, StorePosition
from bluebellfold.relay.agents.agent_load import (
    NO_FLOW_LIMIT,
    AgentLoad,
    Evacuation,
    RequestStats,
    Versions,
    Warmup,
)
from bluebellfold.relay.agents.messages import STATE_NAMES

# Incarnation, sequence, offers seen, state, warming up, slots, requests
# in flight, flows, configuration version, agent list revision, mean work
# seconds, failure share, evacuation revision, evacuated, new flows per second,
# bound on the relative error of the mean work; then the eras of the agent list
# revision and of the evacuation revision, and whether that state is certain.
# The field for the warm-up is 0 if there is none, else one more than the flows
# that are left.
_LOAD_FIELDS = struct.Struct('>QIIBBHHIqqffq?ffII?')
# Earlier releases, which read no era, end before the eras.
_LOAD_FIELDS_WITHOUT_ERA = struct.Struct('>QIIBBHHIqqffq?ff')
_NO_ERA_FIELDS = (NO_ERA, NO_ERA, False)
# Position of the failure share among them.
_FAILURE_SHARE = 11
# Positions of the evacuation revision and of the fields from the eras on.
_EVACUATION_REVISION = 12
_ERAS = 16
_MAX_COUNTER = 0xFFFFFFFF
_MAX_SHORT = 0xFFFF
_MAX_WORK_SECONDS = 86_400.0
_MAX_ARRIVALS_PER_SECOND = 1_000_000.0


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
        _pack_warmup(load.warmup),
        min(load.slots, _MAX_SHORT),
        min(load.in_flight, _MAX_SHORT),
        load.flows,
        load.versions.configuration,
        load.versions.agents.revision,
        load.request_stats.work_seconds,
        load.request_stats.failure_share,
        load.versions.evacuation.position.revision,
        load.versions.evacuation.evacuated,
        load.request_stats.arrivals_per_second,
        load.request_stats.work_error,
        load.versions.agents.era,
        load.versions.evacuation.position.era,
        load.versions.evacuation.is_certain,
    )
    return b''.join(
        (numbers, bytes((len(service),)), service, load.zone.encode())
    )


def unpack_load(packed: bytes, *, has_eras: bool) -> AgentLoad:
    """Return the load; raise an error of struct, ValueError or IndexError."""
    fields = _LOAD_FIELDS if has_eras else _LOAD_FIELDS_WITHOUT_ERA
    numbers_end = fields.size
    numbers = fields.unpack(packed[:numbers_end])
    eras = numbers[_ERAS:] or _NO_ERA_FIELDS
    service_end = numbers_end + 1 + packed[numbers_end]
    revision, evacuated, arrivals, work_error = numbers[
        _EVACUATION_REVISION:_ERAS
    ]
    check_range(numbers[3], least=0, most=len(STATE_NAMES) - 1)
    # An upstream without slots would have no load that can be compared.
    check_range(numbers[5], least=1, most=_MAX_SHORT)
    check_range(numbers[10], least=0, most=_MAX_WORK_SECONDS)
    check_range(numbers[_FAILURE_SHARE], least=0, most=1)
    check_range(arrivals, least=0, most=_MAX_ARRIVALS_PER_SECOND)
    check_range(work_error, least=0, most=inf)
    return AgentLoad(
        incarnation=numbers[0],
        sequence=numbers[1],
        offers_seen=numbers[2],
        state=numbers[3],
        warmup=_unpack_warmup(numbers[4]),
        slots=numbers[5],
        in_flight=numbers[6],
        flows=numbers[7],
        versions=Versions(
            configuration=numbers[8],
            agents=StorePosition(era=eras[0], revision=numbers[9]),
            evacuation=Evacuation(
                evacuated=evacuated,
                position=StorePosition(era=eras[1], revision=revision),
                is_certain=eras[2],
            ),
        ),
        request_stats=RequestStats(
            work_seconds=numbers[10],
            failure_share=numbers[_FAILURE_SHARE],
            arrivals_per_second=arrivals,
            work_error=work_error,
        ),
        service=packed[numbers_end + 1 : service_end].decode(),
        zone=packed[service_end:].decode(),
    )


def _pack_warmup(warmup: Warmup | None) -> int:
    return 0 if warmup is None else min(warmup.flows_left, NO_FLOW_LIMIT) + 1


def _unpack_warmup(number: int) -> Warmup | None:
    return Warmup(flows_left=number - 1) if number else None
