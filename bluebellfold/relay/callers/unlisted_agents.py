"""Decide which agents a balancer keeps though the store doesn't list them.

Load pattern: the store loses the entries of running agents, of one by a
deletion that is executed late, or of many at once. A balancer that dropped
such an agent at once would reset its living flows, since all others deny them.
An agent that reports is kept until it is silent, and told that it has to be
registered again. The store may be away meanwhile, and the agent may be
restarted as planned before it is listed.
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
# one is probed every 0.3 s: two messages may be lost. One that doesn't report
# after its entry has gone has left with it.
SILENCE_SECONDS = 0.7


class UnlistedAgents:
    """Hold the entries of running agents that the list lacks."""

    __slots__ = ('_agent_table', '_entries', '_listed', '_unlisted_since')

    def __init__(self, *, agent_table: AgentTable) -> None:
        self._agent_table = agent_table
        self._listed: tuple[AgentEntry, ...] = ()
        self._entries: dict[Address, AgentEntry] = {}
        self._unlisted_since: dict[Address, float] = {}

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
        self._unlisted_since = {
            view.address: self._unlisted_since.get(view.address, now)
            for view in self._agent_table.views
            if view.address not in listed
        }
        self._entries = {
            view.address: view.entry
            for view in self._agent_table.views
            if view.address not in listed and self._is_running(view, now)
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
            self._unlisted_since.pop(address)
        return silent

    def _is_still_running(self, address: Address, now: float) -> bool:
        view = self._agent_table.find(address)
        return view is not None and self._is_running(view, now)

    def _is_running(self, view: AgentView, now: float) -> bool:
        # An upstream that has deregistered is reported as down before the entry
        # is deleted. With open flows it may be another start that goes on,
        # since a deregistration may arrive late.
        load = view.load
        is_down = load is not None and load.state == DOWN
        if load is not None and is_down and not load.flows:
            return False
        if is_down or not self._has_run_unlisted(view):
            return view.silent_seconds(now) <= SILENCE_SECONDS
        # It may be restarted as planned, like a listed one.
        return not view.is_presumed_dead(now)

    def _has_run_unlisted(self, view: AgentView) -> bool:
        """Return whether an agent has reported since the list lacks it."""
        return view.reported_at > self._unlisted_since[view.address]
