"""Track the load and reachability of each agent at a balancer."""

from collections.abc import Iterable

from bluebellfold.core import Record, read_only
from bluebellfold.relay.agents.messages import READY, AgentLoad

Address = tuple[str, int]

# An agent reports at least every 0.2 s; three lost reports make it unreachable.
REPORT_TIMEOUT_SECONDS = 0.7
# A running agent reports within this time. Between the last report before a
# restart and the first one after it, more time passes.
MAX_REPORT_INTERVAL_SECONDS = 0.3
# A planned restart takes less time than this. An agent that is unreachable for
# longer has crashed or is partitioned.
PRESUMED_DEAD_SECONDS = 3.0
# Offers that the agent has not seen yet count as load. If there are more than
# this, they have been lost, and must not count as load permanently.
MAX_PENDING_OFFERS = 64
_MAX_COUNTER = 0xFFFFFFFF


class AgentView:
    """Hold what a balancer knows of one agent.

    This is its last load report, the number of offers sent to it, and the time
    until which it is offered no flows.
    """

    __slots__ = (
        '_address',
        '_backoff_until',
        '_known_since',
        '_load',
        '_offers_sent',
        '_reported_at',
        '_unreachable',
    )

    def __init__(self, *, address: Address, now: float) -> None:
        self._address = address
        self._known_since = now
        self._load: AgentLoad | None = None
        self._reported_at = now
        self._offers_sent = 0
        self._backoff_until = now
        self._unreachable = False

    @property
    def address(self) -> Address:
        """Return the address at which the agent receives datagrams."""
        return self._address

    @property
    def load(self) -> AgentLoad | None:
        """Return the last load report, None before the first one."""
        return self._load

    @property
    def offers_sent(self) -> int:
        """Return the number of offers to the agent, modulo 2**32."""
        return self._offers_sent

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight, including pending offers."""
        if self._load is None:
            return 0
        pending = (self._offers_sent - self._load.offers_seen) & _MAX_COUNTER
        if pending > MAX_PENDING_OFFERS:
            pending = 0
        return self._load.in_flight + pending

    @property
    def reported_at(self) -> float:
        """Return the time of the last report, or of the agent's discovery."""
        return self._reported_at

    def report_age_seconds(self, now: float) -> float:
        """Return the time since the last report or the agent's discovery."""
        return now - self._reported_at

    def is_live(self, now: float) -> bool:
        """Tell whether the agent has reported within the report timeout."""
        return (
            self._load is not None
            and self.report_age_seconds(now) <= REPORT_TIMEOUT_SECONDS
        )

    def is_presumed_dead(self, now: float) -> bool:
        """Tell whether the agent is unreachable for longer than a restart."""
        return self.report_age_seconds(now) > PRESUMED_DEAD_SECONDS

    def accepts_flows(self, now: float) -> bool:
        """Tell whether the agent is live, ready and not in backoff."""
        return (
            self.is_live(now)
            and self._load.state == READY
            and now >= self._backoff_until
        )

    def count_offer(self) -> None:
        """Count a flow offered to the agent."""
        self._offers_sent = (self._offers_sent + 1) & _MAX_COUNTER

    def detect_unreachable(self, now: float) -> bool:
        """Mark an agent that has stopped reporting as unreachable.

        Tell whether the mark is new.
        """
        if self._unreachable or self._load is None or self.is_live(now):
            return False
        self._unreachable = True
        return True

    def extend_report_deadline(self, now: float) -> None:
        """Limit the age of the last report to the report timeout.

        The agent then has time to report before it is presumed dead.
        """
        self._reported_at = max(self._reported_at, now - REPORT_TIMEOUT_SECONDS)

    def back_off_until(self, moment: float) -> None:
        """Offer no new flows to the agent until a moment."""
        self._backoff_until = moment

    def update(self, load: AgentLoad, now: float) -> bool:
        """Store a load report if it is newer; tell whether it was stored."""
        known = self._load
        if known is not None and known.incarnation == load.incarnation:
            if known.sequence >= load.sequence:
                return False
        elif known is not None and known.incarnation > load.incarnation:
            # While the newer incarnation reports, this is a delayed report of
            # an older one. If the newer one no longer reports, the clock of
            # the VM was set back before a restart, and this is the current
            # incarnation.
            if self.report_age_seconds(now) <= MAX_REPORT_INTERVAL_SECONDS:
                return False
        self._load = load
        self._reported_at = now
        self._unreachable = False
        return True


class AgentTableChange(Record):
    """List the agents that an update of the addresses added and removed."""

    __slots__ = ('_added', '_removed')

    added: tuple[Address, ...] = read_only('_added')
    removed: tuple[Address, ...] = read_only('_removed')

    def __init__(
        self,
        *,
        added: tuple[Address, ...],
        removed: tuple[Address, ...],
    ) -> None:
        self._added = added
        self._removed = removed


class AgentTable:
    """Hold the views of all agents by address."""

    __slots__ = ('_views',)

    def __init__(self) -> None:
        self._views: dict[Address, AgentView] = {}

    def __len__(self) -> int:
        """Return the number of agents."""
        return len(self._views)

    @property
    def views(self) -> Iterable[AgentView]:
        """Return the views of all agents."""
        return self._views.values()

    def find(self, address: Address) -> AgentView | None:
        """Return the view of an agent, None if it is not in the table."""
        return self._views.get(address)

    def extend_report_deadlines(self, now: float) -> None:
        """Extend the report deadline of all agents.

        While this process was paused it received no reports, so their age
        says nothing about the agents.
        """
        for view in self._views.values():
            view.extend_report_deadline(now)

    def update_addresses(
        self, addresses: Iterable[Address], now: float
    ) -> AgentTableChange:
        """Add and remove views to match a new list of addresses."""
        wanted = set(addresses)
        # Sorted, so that runs with the same random seed choose the same
        # agents.
        added = tuple(sorted(wanted - self._views.keys()))
        removed = tuple(sorted(self._views.keys() - wanted))
        for address in removed:
            self._views.pop(address)
        for address in added:
            self._views[address] = AgentView(address=address, now=now)
        return AgentTableChange(added=added, removed=removed)

    def of_service(self, service: str) -> list[AgentView]:
        """Return the views of the agents whose last report names a service."""
        return [
            view
            for view in self._views.values()
            if view.load is not None and view.load.service == service
        ]
