"""Decide which zones count as evacuated, from the store and from agents.

Load pattern: the operator evacuates a zone, or ends it, while the store refuses
some balancers, cuts their watches or has discarded its history. Agents pass on
what other balancers told them, so that a balancer whose watch is late learns
it from their load reports. Reports and lists arrive late and out of order; the
state as of the newest revision of the store holds.
"""

from collections.abc import Iterable

from bluebellfold.core import NO_VERSION
from bluebellfold.relay.agents import (
    NO_EVACUATION,
    AgentView,
    Evacuation,
)
from bluebellfold.relay.callers.versions import MAX_LAG_SECONDS

NO_ZONES: frozenset[str] = frozenset()


class Evacuations:
    """Hold the newest known evacuation state of each zone."""

    __slots__ = (
        '_differs_since',
        '_evacuated_zones',
        '_heard',
        '_listed_revision',
        '_listed_zones',
    )

    def __init__(self) -> None:
        self._listed_zones = NO_ZONES
        self._listed_revision = NO_VERSION
        # As of the revision of the list or a newer one, by zone.
        self._heard: dict[str, Evacuation] = {}
        self._differs_since: float | None = None
        self._evacuated_zones = NO_ZONES

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are evacuated."""
        return self._evacuated_zones

    @property
    def revision(self) -> int:
        """Return the revision of the own list, NO_VERSION before the first."""
        return self._listed_revision

    def find(self, zone: str) -> Evacuation:
        """Return the newest known state of a zone.

        Nothing is known of an empty zone: that of the agent isn't known yet.
        """
        if not zone:
            return NO_EVACUATION
        heard = self._heard.get(zone)
        if heard is not None:
            return heard
        return Evacuation(
            evacuated=zone in self._listed_zones,
            revision=self._listed_revision,
        )

    def update_listed(
        self, zones: frozenset[str], *, revision: int
    ) -> frozenset[str]:
        """Store the evacuated zones as of a revision of the store.

        Return the zones whose state has changed. A list that isn't newer than
        the known one changes nothing.
        """
        if revision <= self._listed_revision:
            return NO_ZONES
        self._listed_zones = zones
        self._listed_revision = revision
        self._heard = {
            zone: heard
            for zone, heard in self._heard.items()
            if heard.revision >= revision
        }
        if not self._differing:
            self._differs_since = None
        return self._update_zones()

    def observe(self, zone: str, evacuation: Evacuation, now: float) -> bool:
        """Store the state that an agent of a zone reports, if it is newer.

        Return whether the zone's state has changed.
        """
        if not zone or evacuation.revision <= self.find(zone).revision:
            return False
        self._heard[zone] = evacuation
        if not self._differing:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        return bool(self._update_zones())

    def are_outdated(self, now: float) -> bool:
        """Return whether agents have known more than the list for too long.

        A newer revision alone doesn't count. Otherwise each list would make
        other balancers list again.
        """
        if self._differs_since is None:
            return False
        return now - self._differs_since > MAX_LAG_SECONDS

    def covers(self, view: AgentView) -> bool:
        """Return whether the zone of an agent is evacuated."""
        return view.zone in self._evacuated_zones

    def filter_usable(self, views: Iterable[AgentView]) -> list[AgentView]:
        """Return the agents outside of evacuated zones."""
        if not self._evacuated_zones:
            return list(views)
        return [view for view in views if not self.covers(view)]

    @property
    def _differing(self) -> bool:
        return any(
            heard.evacuated != (zone in self._listed_zones)
            for zone, heard in self._heard.items()
            if heard.revision > self._listed_revision
        )

    def _update_zones(self) -> frozenset[str]:
        before = self._evacuated_zones
        listed = self._listed_zones - self._heard.keys()
        heard = {zone for zone in self._heard if self._heard[zone].evacuated}
        self._evacuated_zones = listed | heard
        return before ^ self._evacuated_zones
