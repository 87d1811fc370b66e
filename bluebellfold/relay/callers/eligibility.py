"""Decide which agents a new flow may be offered to, and when none ever can.

Agents in evacuated zones, and outside of the home regions of the route, are not
eligible. If no listed agent is eligible, waiting for one would be in vain, and
the flow is refused at once.
"""

from collections.abc import Sequence

from bluebellfold.core import Route, Sentinel
from bluebellfold.relay.agents import AgentTable, AgentView
from bluebellfold.relay.callers.evacuations import Evacuations
from bluebellfold.relay.callers.home_regions import HomeRegions
from bluebellfold.relay.callers.state_sources import StateSources

# Stands for the zone of an agent whose entry names none.
NO_ZONE = ''

ALL_ZONES_EVACUATED = Sentinel(
    name='all-zones-evacuated',
    reason='every listed upstream of the service is in an evacuated zone',
)
NO_UPSTREAM_IN_REGION = Sentinel(
    name='no-upstream-in-region',
    reason='no listed upstream of the service is in a region of the route',
)


class Eligibility:
    """Filter the agents of a service for a route."""

    __slots__ = ('_agent_table', '_evacuations', '_home_regions', '_sources')

    def __init__(
        self,
        *,
        agent_table: AgentTable,
        evacuations: Evacuations,
        home_regions: HomeRegions,
        sources: StateSources,
    ) -> None:
        self._agent_table = agent_table
        self._evacuations = evacuations
        self._home_regions = home_regions
        self._sources = sources

    def select(self, service: str, route: Route) -> list[AgentView]:
        """Return the agents that have reported and may take a new flow."""
        usable = self._evacuations.filter_usable(
            self._agent_table.of_service(service)
        )
        return self._home_regions.select(usable, route.allowed_regions)

    def allows(self, view: AgentView, route: Route | None) -> bool:
        """Tell whether an agent that has reported may get a flow of a route.

        While no route is known, its services and home regions aren't either.
        """
        if self._evacuations.covers(view):
            return False
        if route is None:
            return True
        # Another service may have taken over the address.
        services = {share.service for share in route.shares}
        if view.reported_load.service not in services:
            return False
        return self._home_regions.allows(view, route.allowed_regions)

    def find_obstacle(self, service: str, route: Route) -> Sentinel | None:
        """Return why no listed agent is eligible, None if one may be.

        Before the first list of agents nothing is known of them, and a copy of
        the list from another balancer may lack some. An evacuation may have
        ended since another balancer read it.
        """
        if not self._sources.agents.is_store:
            return None
        if self._is_evacuated(service):
            return ALL_ZONES_EVACUATED
        if self._is_outside_of_regions(service, route):
            return NO_UPSTREAM_IN_REGION
        return None

    def _is_evacuated(self, service: str) -> bool:
        if not self._evacuations.zones or self._sources.evacuations.is_peer:
            return False
        listed_zones = self._agent_table.zones_for(service)
        return bool(listed_zones) and listed_zones <= self._evacuations.zones

    def _is_outside_of_regions(self, service: str, route: Route) -> bool:
        if not route.allowed_regions or not len(self._agent_table):
            return False
        allowed = route.allowed_regions
        listed_zones = self._agent_table.zones_for(service)
        if self._home_regions.allows_any_zone(listed_zones, allowed):
            return False
        if NO_ZONE not in listed_zones:
            return True
        return not self._home_regions.allows_any(
            self._list_agents(service), allowed
        )

    def _list_agents(self, service: str) -> Sequence[AgentView]:
        # An entry without a service may be of any, until the agent reports.
        unnamed = [
            view
            for view in self._agent_table.listed_for('')
            if view.load is None or view.load.service == service
        ]
        return (*self._agent_table.listed_for(service), *unnamed)
