"""Decide which agents a balancer keeps though the store doesn't list them.

Load pattern: the store loses the entries of running agents, of one by a
deletion that is executed late, or of many at once. A balancer that dropped
such an agent at once would reset its living flows, since all others deny them.
An agent that reports is kept until it is silent, and told that it has to be
registered again.
"""

from collections.abc import Iterable

from bluebellfold.relay.agents import (
    DOWN,
    Address,
    AgentEntry,
    AgentTable,
    AgentView,
)

# A running agent reports every 0.2 s to a balancer that follows it, and another
# one is probed every 0.3 s: two messages may be lost.
SILENCE_SECONDS = 0.7


class UnlistedAgents:
    """Hold the entries of running agents that the list lacks."""

    __slots__ = ('_agent_table', '_entries', '_listed')

    def __init__(self, *, agent_table: AgentTable) -> None:
        self._agent_table = agent_table
        self._listed: tuple[AgentEntry, ...] = ()
        self._entries: dict[Address, AgentEntry] = {}

    def __len__(self) -> int:
        """Return the number of kept agents."""
        return len(self._entries)

    def __contains__(self, address: Address) -> bool:
        """Return whether an agent is kept that the list lacks."""
        return address in self._entries

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the kept agents."""
        return tuple(self._entries)

    @property
    def all_entries(self) -> tuple[AgentEntry, ...]:
        """Return the entries of the listed agents and of the kept ones."""
        return (*self._listed, *self._entries.values())

    def replace_listed(
        self, entries: Iterable[AgentEntry], now: float
    ) -> tuple[Address, ...]:
        """Replace the list, and return which further agents are kept."""
        self._listed = tuple(entries)
        listed = {entry.address for entry in self._listed}
        kept_before = self._entries
        self._entries = {
            view.address: view.entry
            for view in self._agent_table.views
            if view.address not in listed and _is_running(view, now)
        }
        return tuple(
            address for address in self._entries if address not in kept_before
        )

    def remove_silent(self, now: float) -> tuple[Address, ...]:
        """Remove and return the agents that no longer report."""
        silent = tuple(
            address
            for address in self._entries
            if not self._is_still_running(address, now)
        )
        for address in silent:
            self._entries.pop(address)
        return silent

    def _is_still_running(self, address: Address, now: float) -> bool:
        view = self._agent_table.find(address)
        return view is not None and _is_running(view, now)


def _is_running(view: AgentView, now: float) -> bool:
    # An upstream that has deregistered is reported as down before the entry is
    # deleted. With open flows it may be another start that goes on, since a
    # deregistration may arrive late.
    load = view.load
    if load is not None and load.state == DOWN and not load.flows:
        return False
    return view.silent_seconds(now) <= SILENCE_SECONDS
