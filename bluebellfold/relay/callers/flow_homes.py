"""Select the home agents of a flow, which remember who holds it.

The homes follow from the flow and the list of agents, so that each balancer
finds the same ones. A change of the list moves the homes of few flows. The two
homes are in different zones if possible, so that one is left after the loss of
a zone.

Load pattern: a fleet of thousands of agents, whose list changes every few
seconds. Only the points of agents that have come or left are changed.
"""

from bisect import bisect
from collections.abc import Collection, Iterable

from bluebellfold.relay.agents import Address, AgentEntry, hash_evenly

# More points make the number of flows per home more even.
POINTS_PER_AGENT = 8

# A point of an agent on a ring of hashes.
_Point = tuple[int, Address]
# Points further along the ring, before those beyond its end.
_Found = tuple[bool, int, Address]


class FlowHomes:
    """Hold the agents of each zone at their points on a ring of hashes."""

    __slots__ = ('_entries', '_placed', '_rings')

    def __init__(self) -> None:
        self._entries: frozenset[AgentEntry] = frozenset()
        # Those whose points are on the rings. They are placed on the first use,
        # since a list may change often before that.
        self._placed: frozenset[AgentEntry] = frozenset()
        self._rings: dict[str, list[_Point]] = {}

    def update(self, entries: Iterable[AgentEntry]) -> None:
        """Replace the agents."""
        self._entries = frozenset(entries)

    def find(self, flow: bytes) -> tuple[Address, ...]:
        """Return the home agents of a flow, at most two."""
        if self._placed is not self._entries:
            self._place()
        position = hash_evenly(flow)
        nearest = [_find_next(ring, position) for ring in self._rings.values()]
        if len(nearest) == 1:
            return self._find_in_one_zone(position)
        return tuple(found[-1] for found in sorted(nearest)[:2])

    def _find_in_one_zone(self, position: int) -> tuple[Address, ...]:
        ring = next(iter(self._rings.values()))
        start = bisect(ring, (position + 1,))
        first = ring[start % len(ring)][1]
        for index in range(start + 1, start + len(ring)):
            second = ring[index % len(ring)][1]
            if second != first:
                return (first, second)
        return (first,)

    def _place(self) -> None:
        self._remove(self._placed - self._entries)
        self._add(self._entries - self._placed)
        self._placed = self._entries

    def _remove(self, entries: Collection[AgentEntry]) -> None:
        removed = {entry.address for entry in entries}
        for zone in _zones_of(entries):
            left = [
                point for point in self._rings[zone] if point[1] not in removed
            ]
            self._rings[zone] = left
            if not left:
                self._rings.pop(zone)

    def _add(self, entries: Collection[AgentEntry]) -> None:
        for entry in entries:
            ring = self._rings.setdefault(entry.zone, [])
            ring.extend(
                (hash_evenly(_point_name(entry, number)), entry.address)
                for number in range(POINTS_PER_AGENT)
            )
        for zone in _zones_of(entries):
            # Almost in order already, which costs one pass.
            self._rings[zone].sort()


def _zones_of(entries: Collection[AgentEntry]) -> set[str]:
    return {entry.zone for entry in entries}


def _find_next(ring: list[_Point], position: int) -> _Found:
    index = bisect(ring, (position + 1,))
    is_beyond_end = index == len(ring)
    return (is_beyond_end, *ring[index % len(ring)])


def _point_name(entry: AgentEntry, number: int) -> bytes:
    return f'{entry.address[0]}:{entry.address[1]}#{number}'.encode()
