"""Turn the copy of each kind into the message that its watch would send.

A kind that is to be copied besides adds one function here; its watch needs only
the ``copies`` of `KindWatch`.
"""

from collections.abc import Callable

from bluebellfold.core import Message, Registry, StorePosition
from bluebellfold.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
    StoredObject,
    decode_evacuated_zone,
    decode_routing,
)
from bluebellfold.relay.agents import AgentEntry
from bluebellfold.relay.balancers.copies.codec import unusable_copy
from bluebellfold.relay.balancers.copies.copy_record import KindCopy
from bluebellfold.relay.store import (
    AGENTS_KIND,
    UpdateEvacuations,
    UpdateRoutes,
    decode_agent,
    list_agents,
)

# Each function raises UnusableCopyError if the copy can't be used.
CopyDecoder = Callable[[KindCopy, str], Message]
COPY_DECODERS: Registry[str, CopyDecoder] = Registry(
    name='decoders of copies by kind'
)


@COPY_DECODERS.add(CONFIGURATION_KIND)
def decode_configuration(copy: KindCopy, peer: str) -> Message:
    """Return the update of the routes."""
    specs = {stored.name: stored.spec for stored in copy.stored_objects}
    # A seed that has only seen an unreadable configuration has none to give.
    if CONFIGURATION_NAME not in specs:
        raise unusable_copy('there is no configuration in the copy')
    routes = decode_routing(specs[CONFIGURATION_NAME])
    if not routes:
        raise unusable_copy(f'the configuration is unusable: {routes!r}')
    return UpdateRoutes(routes=routes, peer=peer)


@COPY_DECODERS.add(AGENTS_KIND)
def decode_agents(copy: KindCopy, peer: str) -> Message:
    """Return the update of the list of agents.

    Its position follows from the entries, as in the watch: a greater one would
    make other balancers list the kind in vain.
    """
    entries = tuple(map(_decode_agent, copy.stored_objects))
    newest = max((agent.revision for agent in copy.stored_objects), default=0)
    position = StorePosition(era=copy.position.era, revision=newest)
    return list_agents(entries, position=position, peer=peer)


@COPY_DECODERS.add(EVACUATIONS_KIND)
def decode_evacuations(copy: KindCopy, peer: str) -> Message:
    """Return the update of the evacuated zones.

    An object that names no zone concerns no agent and is left out, as in the
    watch.
    """
    decoded = map(decode_evacuated_zone, copy.stored_objects)
    zones = frozenset(zone for zone in decoded if isinstance(zone, str))
    return UpdateEvacuations(zones=zones, position=copy.position, peer=peer)


def _decode_agent(stored: StoredObject) -> AgentEntry:
    entry = decode_agent(stored.spec)
    if entry is None:
        raise unusable_copy(f'the agent {stored.name} is unreadable')
    return entry
