"""Select the home agents of a flow, which remember who holds it.

The homes follow from the flow and the list of agents, so that each balancer
finds the same ones. A change of the list moves the homes of few flows. The two
homes are in different zones if possible, so that one is left after the loss of
a zone.
"""

from bisect import bisect
from collections.abc import Iterable
from itertools import chain
from typing import Any

from bluebellfold.relay.agents import Address, AgentEntry, hash_evenly

# More points make the number of flows per home more even.
POINTS_PER_AGENT = 8


class FlowHomes:
    """Hold the agents at their points on a ring of hashes."""

    __slots__ = ('_entries', '_homes', '_points')

    def __init__(self) -> None:
        self._entries: tuple[AgentEntry, ...] = ()
        # The points in order, and the homes of the flows before each. They are
        # built on the first use, since a list may change often before that.
        self._points: list[int] = []
        self._homes: list[tuple[Address, ...]] = []

    def update(self, entries: Iterable[AgentEntry]) -> None:
        """Replace the agents."""
        self._entries = tuple(entries)
        self._points = []

    def find(self, flow: bytes) -> tuple[Address, ...]:
        """Return the home agents of a flow, at most two."""
        if not self._entries:
            return ()
        if not self._points:
            self._build()
        position = bisect(self._points, hash_evenly(flow))
        return self._homes[position % len(self._homes)]

    def _build(self) -> None:
        ring = sorted(
            (hash_evenly(_point_name(entry, number)), entry.address, entry.zone)
            for entry in self._entries
            for number in range(POINTS_PER_AGENT)
        )
        self._points = [point for point, _, _ in ring]
        in_one_zone = len({entry.zone for entry in self._entries}) == 1
        # Going backwards, the nearest agent of each zone further along the
        # ring is known; the first round fills in those beyond the end.
        nearest: dict[Any, Address] = {}
        homes = []
        for _, address, zone in chain(reversed(ring), reversed(ring)):
            group = address if in_one_zone else zone
            homes.append(_pair(address, group, nearest))
            # The last key is the group of the nearest agent.
            nearest.pop(group, None)
            nearest[group] = address
        self._homes = homes[: len(ring) - 1 : -1]


def _pair(
    first: Address, group: Any, nearest: dict[Any, Address]
) -> tuple[Address, ...]:
    for other_group in reversed(nearest):
        if other_group != group:
            return (first, nearest[other_group])
    return (first,)


def _point_name(entry: AgentEntry, number: int) -> bytes:
    return f'{entry.address[0]}:{entry.address[1]}#{number}'.encode()
