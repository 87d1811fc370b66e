"""Decide which agents a route with home regions may use.

Load pattern: the requests of some routes must not leave their regions, also
when the upstreams there are full and those of other regions are idle. The
region of an agent follows from its zone; an agent whose zone belongs to no
region serves no such route.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from bluebellfold.core import Regions
from bluebellfold.relay.agents import AgentView

NO_REGIONS: Mapping[str, str] = MappingProxyType({})


class HomeRegions:
    """Map zones to regions, and select the agents in the allowed ones.

    An empty set of allowed regions allows all agents.
    """

    __slots__ = ('_by_zone',)

    def __init__(self, *, regions: Mapping[str, str] = NO_REGIONS) -> None:
        self._by_zone = dict(regions)

    def allows(self, view: AgentView, allowed: Regions) -> bool:
        """Return whether an agent is in an allowed region.

        An agent whose zone is neither listed nor reported yet may be.
        """
        if not allowed:
            return True
        zone = view.entry.zone
        if not zone:
            if view.load is None:
                return True
            zone = view.load.zone
        return self._by_zone.get(zone) in allowed

    def select(
        self, views: Iterable[AgentView], allowed: Regions
    ) -> list[AgentView]:
        """Return the agents in the allowed regions."""
        return [view for view in views if self.allows(view, allowed)]

    def allows_any(self, views: Iterable[AgentView], allowed: Regions) -> bool:
        """Return whether one of the agents is in an allowed region."""
        return any(self.allows(view, allowed) for view in views)

    def allows_any_zone(self, zones: Iterable[str], allowed: Regions) -> bool:
        """Return whether one of the zones is in an allowed region."""
        return any(self._by_zone.get(zone) in allowed for zone in zones)
