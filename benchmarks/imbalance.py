"""Measure the load imbalance of a simulated fleet."""

from collections import Counter

from benchmarks.fleet import Agent, Fleet
from bluebellfold.core import SERVING


class Imbalance:
    """Sample the highest load of an upstream and of a zone.

    Loads are flows per unit of capacity, relative to the mean: 1 is even.
    Capacity is the weight, scaled down while an upstream is cold. The highest
    sample of the upstreams in ``cold`` is also kept apart.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cold: tuple[Agent, ...] = ()
        self.cold_worst: float = 0
        self._upstreams: list[float] = []
        self._zones: list[float] = []

    @property
    def upstreams(self) -> float:
        """Return the highest upstream load, averaged over time."""
        return sum(self._upstreams) / len(self._upstreams)

    @property
    def zones(self) -> float:
        """Return the highest zone load, averaged over time."""
        return sum(self._zones) / len(self._zones)

    @property
    def worst(self) -> float:
        """Return the highest load of any upstream at any time."""
        return max(self._upstreams)

    @property
    def offered(self) -> float:
        """Return the fraction of flows that were offered to another agent."""
        return self.fleet.offered / self.fleet.arrived

    @property
    def declined(self) -> float:
        """Return the fraction of flows that were offered and declined."""
        return self.fleet.declined / self.fleet.arrived

    def sample(self) -> None:
        """Sample the loads of all serving agents."""
        agents = [
            agent
            for agent in self.fleet.agents.values()
            if agent.alive and agent.member.state == SERVING
        ]
        flows: Counter[str] = Counter()
        capacities: Counter[str] = Counter()
        for agent in agents:
            flows[agent.member.zone] += agent.flows
            capacities[agent.member.zone] += self._capacity(agent)
        mean = flows.total() / capacities.total()
        ratios = {
            one.member.endpoint: one.flows / self._capacity(one) / mean
            for one in agents
        }
        self._upstreams.append(max(ratios.values()))
        self._zones.append(
            max(flows[zone] / capacities[zone] for zone in flows) / mean
        )
        for cold in self.cold:
            ratio = ratios.get(cold.member.endpoint, 0)
            self.cold_worst = max(self.cold_worst, ratio)

    def _capacity(self, agent: Agent) -> float:
        return agent.member.weight * agent.actual_capacity.usable(
            self.fleet.now
        )
