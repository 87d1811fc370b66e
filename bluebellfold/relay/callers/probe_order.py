"""Decide in which order the upstreams of uncertain agents are probed.

Load pattern: all balancers and agents are killed, and the upstreams keep their
flows. Every agent is then uncertain about every flow, and a packet of each flow
to each upstream is dozens of packets where one is enough. Most flows are held
by an upstream of their service in the zone of the balancer, so these are probed
first, then the others of the service, and then all.
"""

from collections.abc import Collection

from bluebellfold.relay.agents import AgentEntry

OWN_ZONE_STAGE = 0
SERVICE_STAGE = 1
LAST_STAGE = 2


class ProbeOrder:
    """Give the stage in which the upstream of an agent is probed.

    ``services`` are those of the flow's route, and ``zone`` that of the
    balancer. A flow may also be held elsewhere: it stays where it is when its
    route changes.
    """

    __slots__ = ('_services', '_zone')

    def __init__(self, *, services: Collection[str], zone: str) -> None:
        self._services = services
        self._zone = zone

    def stage_of(self, entry: AgentEntry) -> int:
        """Return the stage of an agent; the lowest comes first.

        >>> order = ProbeOrder(services={'counter'}, zone='a')
        >>> [
        ...     order.stage_of(AgentEntry(
        ...         address=('10.0.0.1', 1), service=service, zone=zone
        ...     ))
        ...     for service, zone in (
        ...         ('counter', 'a'), ('counter', 'b'), ('press', 'a')
        ...     )
        ... ]
        [0, 1, 2]
        """
        if entry.service not in self._services:
            return LAST_STAGE
        return OWN_ZONE_STAGE if entry.zone == self._zone else SERVICE_STAGE
