"""Describe what a balancer knows of the history of the store."""

from bluebellfold.core import Record, StorePosition, read_only


class KnownPositions(Record):
    """Hold the newest era and the positions of the lists in force.

    ``agents`` is the position of the agent that was listed last, and
    ``evacuations`` that of the list of evacuated zones.
    """

    __slots__ = ('_agents', '_era', '_evacuations')

    agents: StorePosition = read_only('_agents')
    era: int = read_only('_era')
    evacuations: StorePosition = read_only('_evacuations')

    def __init__(
        self, *, era: int, agents: StorePosition, evacuations: StorePosition
    ) -> None:
        self._agents = agents
        self._era = era
        self._evacuations = evacuations
