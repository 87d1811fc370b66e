"""Pack a subscription to load reports into a few bytes, and check it."""

import struct

from bluebellfold.core import NO_ERA, StorePosition
from bluebellfold.relay.agents.agent_load import Evacuation, Versions
from bluebellfold.relay.agents.load_fields import check_range
from bluebellfold.relay.agents.messages import Subscribe

# Idle seconds, offers sent, configuration version, agent list revision, one
# report only, evacuation revision, evacuated, not in the list of agents, new
# flows per second while warming up; then the eras of the agent list revision
# and of the evacuation revision, and whether that state is certain.
_FIELDS = struct.Struct('>fIqq?q??fII?')
# Earlier releases, which read no era, end before the eras.
_FIELDS_WITHOUT_ERA = struct.Struct('>fIqq?q??f')
# Position of the first era among them.
_ERAS = 9
_NO_ERA_FIELDS = (NO_ERA, NO_ERA, False)
_MAX_COUNTER = 0xFFFFFFFF
_MAX_SECONDS = 86_400.0
_MAX_FLOWS_PER_SECOND = 1_000_000.0


def pack_subscribe(message: Subscribe) -> bytes:
    """Return the subscription as bytes."""
    evacuation = message.versions.evacuation
    return _FIELDS.pack(
        message.idle_seconds,
        message.offers_sent & _MAX_COUNTER,
        message.versions.configuration,
        message.versions.agents.revision,
        message.once,
        evacuation.position.revision,
        evacuation.evacuated,
        message.is_unlisted,
        message.warmup_flows_per_second,
        message.versions.agents.era,
        evacuation.position.era,
        evacuation.is_certain,
    )


def unpack_subscribe(packed: bytes, *, has_eras: bool) -> Subscribe:
    """Return the subscription; raise an error of struct or ValueError."""
    fields = _FIELDS if has_eras else _FIELDS_WITHOUT_ERA
    numbers = fields.unpack(packed)
    agents_era, evacuation_era, is_certain = numbers[_ERAS:] or _NO_ERA_FIELDS
    check_range(numbers[0], least=0, most=_MAX_SECONDS)
    check_range(numbers[8], least=0, most=_MAX_FLOWS_PER_SECOND)
    return Subscribe(
        idle_seconds=numbers[0],
        offers_sent=numbers[1],
        versions=Versions(
            configuration=numbers[2],
            agents=StorePosition(era=agents_era, revision=numbers[3]),
            evacuation=Evacuation(
                evacuated=numbers[6],
                position=StorePosition(era=evacuation_era, revision=numbers[5]),
                is_certain=is_certain,
            ),
        ),
        once=numbers[4],
        is_unlisted=numbers[7],
        warmup_flows_per_second=numbers[8],
    )
