"""Decide which zones count as evacuated, from the store and from agents.

Load pattern: the operator evacuates a zone, or ends it, while the store refuses
some balancers, cuts their watches, has discarded its history or comes back from
a copy. Agents pass on what other balancers told them, so that a balancer whose
watch is late learns it from their load reports. Reports and lists arrive late
and out of order; the state as of the newest position of the store holds.
"""

from collections.abc import Iterable

from bluebellfold.core import NO_POSITION, StorePosition
from bluebellfold.relay.agents import (
    NO_EVACUATION,
    AgentView,
    Evacuation,
    KnownEra,
    merge_evacuations,
)
from bluebellfold.relay.callers.versions import MAX_LAG_SECONDS

NO_ZONES: frozenset[str] = frozenset()


class Evacuations:
    """Hold the newest known evacuation state of each zone."""

    __slots__ = (
        '_differs_since',
        '_elsewhere',
        '_evacuated_zones',
        '_known_era',
        '_listed_position',
        '_listed_zones',
        '_states',
    )

    def __init__(self, *, known_era: KnownEra) -> None:
        self._known_era = known_era
        self._listed_zones = NO_ZONES
        self._listed_position = NO_POSITION
        # By zone, of those that are or were evacuated.
        self._states: dict[str, Evacuation] = {}
        # Of all others, as listed.
        self._elsewhere = NO_EVACUATION
        self._differs_since: float | None = None
        self._evacuated_zones = NO_ZONES

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are evacuated."""
        return self._evacuated_zones

    @property
    def position(self) -> StorePosition:
        """Return the position of the own list, NO_POSITION before the first."""
        return self._listed_position

    def find(self, zone: str) -> Evacuation:
        """Return the newest known state of a zone.

        Nothing is known of an empty zone: that of the agent isn't known yet.
        """
        if not zone:
            return NO_EVACUATION
        return self._states.get(zone, self._elsewhere)

    def update_listed(
        self, zones: frozenset[str], now: float, *, position: StorePosition
    ) -> frozenset[str]:
        """Store the evacuated zones as of a position of the store.

        Return the zones whose state has changed. A list that is older than the
        known one changes nothing.
        """
        if position < self._listed_position:
            return NO_ZONES
        # Of one position there is one list.
        if position > self._listed_position:
            self._listed_zones = zones
            self._listed_position = position
        states = {
            zone: self._merge(
                self.find(zone),
                Evacuation(
                    evacuated=zone in self._listed_zones, position=position
                ),
                now,
            )
            for zone in self._listed_zones | self._states.keys()
        }
        listed_elsewhere = Evacuation(evacuated=False, position=position)
        self._elsewhere = self._merge(self._elsewhere, listed_elsewhere, now)
        self._states = {
            zone: state
            for zone, state in states.items()
            if state != self._elsewhere
        }
        if not self._differing:
            self._differs_since = None
        return self._update_zones()

    def observe(self, zone: str, evacuation: Evacuation, now: float) -> bool:
        """Store the state that an agent of a zone reports, if it is newer.

        Return whether the zone's state has changed.
        """
        known = self.find(zone)
        if not zone or _is_known(known, evacuation):
            return False
        merged = self._merge(known, evacuation, now)
        if merged == known:
            return False
        self._states[zone] = merged
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
            state.evacuated != (zone in self._listed_zones)
            for zone, state in self._states.items()
            if state.position > self._listed_position
        )

    def _merge(
        self, known: Evacuation, told: Evacuation, now: float
    ) -> Evacuation:
        may_lack_writes = self._known_era.may_lack_writes(now)
        return merge_evacuations(known, told, may_lack_writes=may_lack_writes)

    def _update_zones(self) -> frozenset[str]:
        before = self._evacuated_zones
        self._evacuated_zones = frozenset(
            zone for zone, state in self._states.items() if state.evacuated
        )
        return before ^ self._evacuated_zones


def _is_known(known: Evacuation, told: Evacuation) -> bool:
    """Return whether a state can't change what is known."""
    if told.position > known.position:
        return False
    return known.is_certain or not told.evacuated
