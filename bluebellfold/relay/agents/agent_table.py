"""Track the load and reachability of each agent at a balancer."""

from collections.abc import Collection, Iterable
from itertools import islice

from bluebellfold.core import Record, read_only, require
from bluebellfold.relay.agents.agent_entry import Address, AgentEntry
from bluebellfold.relay.agents.agent_load import AgentLoad
from bluebellfold.relay.agents.arrivals import ArrivalRate
from bluebellfold.relay.agents.messages import READY
from bluebellfold.relay.agents.subset import hash_entry

# An agent reports at least every 0.2 s to a balancer that follows it; three
# lost reports make it unreachable.
REPORT_TIMEOUT_SECONDS = 0.7
# The single report of an agent that the balancer doesn't follow ages faster.
SAMPLE_TIMEOUT_SECONDS = 0.5
# A running agent reports within this time. Between the last report before a
# restart and the first one after it, more time passes.
MAX_REPORT_INTERVAL_SECONDS = 0.3
# A planned restart takes less time than this. An agent that is silent for
# longer, though a message from it is due, has crashed or is partitioned.
PRESUMED_DEAD_SECONDS = 3.0
# Offers that the agent has not seen yet count as load. If there are more than
# this, they have been lost, and must not count as load permanently.
MAX_PENDING_OFFERS = 64
_MAX_COUNTER = 0xFFFFFFFF


class AgentView:
    """Hold what a balancer knows of one agent.

    This is its entry in the list, its last load report, the number of offers
    sent to it, and since when a message from it is due. A balancer *follows*
    the agents whose load reports it has subscribed to.
    """

    __slots__ = (
        '_backoff_until',
        '_due_since',
        '_entry',
        '_is_followed',
        '_load',
        '_offers_sent',
        '_others_per_second',
        '_own_arrivals',
        '_probed_at',
        '_reported_at',
        '_unreachable',
    )

    def __init__(self, *, entry: AgentEntry, now: float) -> None:
        self._entry = entry
        self._load: AgentLoad | None = None
        self._reported_at = now
        self._probed_at = now
        self._due_since: float | None = None
        self._is_followed = False
        self._offers_sent = 0
        self._own_arrivals = ArrivalRate(now=now)
        self._others_per_second = float(0)
        self._backoff_until = now
        self._unreachable = False

    @property
    def address(self) -> Address:
        """Return the address at which the agent receives datagrams."""
        return self._entry.address

    @property
    def entry(self) -> AgentEntry:
        """Return the agent's entry in the list."""
        return self._entry

    @property
    def zone(self) -> str:
        """Return the zone of the agent, empty if it is unknown."""
        reported = self._load.zone if self._load else ''
        return reported or self._entry.zone

    @property
    def is_followed(self) -> bool:
        """Return whether the balancer subscribes to the agent's reports."""
        return self._is_followed

    @property
    def is_awaited(self) -> bool:
        """Return whether a message from the agent is due."""
        return self._due_since is not None

    @property
    def load(self) -> AgentLoad | None:
        """Return the last load report, None before the first one."""
        return self._load

    @property
    def reported_load(self) -> AgentLoad:
        """Return the last load report of an agent that has reported.

        Raise MissingValueError before the first report.
        """
        return require(self._load, name='load report')

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

    @property
    def probed_at(self) -> float:
        """Return when the agent was last asked for a report."""
        return self._probed_at

    def report_age_seconds(self, now: float) -> float:
        """Return the time since the last report or the agent's discovery."""
        return now - self._reported_at

    def is_live(self, now: float) -> bool:
        """Tell whether the agent has reported within the report timeout."""
        if self._load is None or self._unreachable:
            return False
        timeout = SAMPLE_TIMEOUT_SECONDS
        if self._is_followed:
            timeout = REPORT_TIMEOUT_SECONDS
        return self.report_age_seconds(now) <= timeout

    def silent_seconds(self, now: float) -> float:
        """Return for how long a message from the agent has been due."""
        return 0 if self._due_since is None else now - self._due_since

    def is_presumed_dead(self, now: float) -> bool:
        """Tell whether the agent is silent for longer than a restart.

        An agent from which no message is due may be silent.
        """
        return self.silent_seconds(now) > PRESUMED_DEAD_SECONDS

    def accepts_flows(self, now: float) -> bool:
        """Tell whether the agent is live, ready and not in backoff."""
        return (
            self.is_live(now)
            and self.reported_load.state == READY
            and now >= self._backoff_until
        )

    def arrivals_of_others(self, now: float) -> float:
        """Return the flows that other balancers likely sent since the report.

        They aren't part of the requests in flight.
        """
        return self._others_per_second * max(now - self._reported_at, 0)

    def count_offer(self, now: float) -> None:
        """Count a flow offered to the agent."""
        self._own_arrivals.count(now)
        self._offers_sent = (self._offers_sent + 1) & _MAX_COUNTER

    def follow(self, now: float, *, followed: bool) -> None:
        """Set whether the balancer follows the agent."""
        if followed == self._is_followed:
            return
        self._is_followed = followed
        # A followed agent is due to report; another one owes nothing.
        if followed:
            self.expect_message(now)
        elif not self.is_presumed_dead(now):
            self._due_since = None

    def expect_message(self, now: float) -> None:
        """Record that the agent was asked, and a message from it is due."""
        if self._due_since is None:
            self._due_since = now

    def forget_silence(self) -> None:
        """Forget that the agent was silent: too long ago to tell anything."""
        self._due_since = None

    def mark_heard(self, now: float) -> None:
        """Record that the agent has sent a message."""
        self._due_since = now if self._is_followed else None

    def mark_probed(self, now: float) -> None:
        """Record that the agent was asked for a report."""
        self._probed_at = now

    def detect_unreachable(self, now: float) -> bool:
        """Mark an agent that has stopped reporting as unreachable.

        Tell whether the mark is new.
        """
        if self._unreachable or self._load is None or self.is_live(now):
            return False
        self._unreachable = True
        return True

    def suspect(self) -> None:
        """Offer the agent no flows until its next report."""
        self._unreachable = True

    def extend_report_deadline(self, now: float) -> None:
        """Limit the time for which the agent counts as silent.

        The agent then has time to report before it is presumed dead.
        """
        earliest = now - REPORT_TIMEOUT_SECONDS
        self._reported_at = max(self._reported_at, earliest)
        if self._due_since is not None:
            self._due_since = max(self._due_since, earliest)

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
        # Both rates are as of now. If the own rate were taken later, a change
        # of it would pass for arrivals of others.
        self._others_per_second = max(
            load.request_stats.arrivals_per_second
            - self._own_arrivals.per_second(now),
            0,
        )
        self._reported_at = now
        self._unreachable = False
        self.mark_heard(now)
        return True


class AgentTableChange(Record):
    """List the agents that an update of the list added and removed."""

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
    """Hold the views of all listed agents by address.

    The agents with a recent report, the followed ones and the awaited ones are
    few in a large fleet, so they are held apart.
    """

    __slots__ = (
        '_awaited',
        '_by_service',
        '_checksum',
        '_followed',
        '_reporting',
        '_views',
        '_zones',
    )

    def __init__(self) -> None:
        self._views: dict[Address, AgentView] = {}
        self._by_service: dict[str, list[AgentView]] = {}
        self._zones: dict[str, set[str]] = {}
        self._followed: dict[Address, AgentView] = {}
        self._reporting: dict[Address, AgentView] = {}
        self._awaited: dict[Address, AgentView] = {}
        self._checksum = 0

    def __len__(self) -> int:
        """Return the number of agents."""
        return len(self._views)

    @property
    def checksum(self) -> int:
        """Return a number that differs if the listed entries do.

        Balancers with the same entries have the same one, whatever their order.
        """
        return self._checksum

    @property
    def views(self) -> Iterable[AgentView]:
        """Return the views of all agents, in a fixed order."""
        return self._views.values()

    @property
    def followed(self) -> tuple[AgentView, ...]:
        """Return the views of the agents that the balancer follows."""
        return tuple(self._followed.values())

    def next_awaited(self, limit: int) -> list[AgentView]:
        """Return agents that aren't followed and owe a message, in turn."""
        first = tuple(islice(self._awaited.items(), limit))
        if len(first) < len(self._awaited):
            for address, _ in first:
                self._awaited.pop(address)
            self._awaited.update(first)
        return [view for _, view in first if not view.is_followed]

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that the list names."""
        return tuple(self._by_service)

    def find(self, address: Address) -> AgentView | None:
        """Return the view of an agent, None if it is not in the table."""
        return self._views.get(address)

    def get(self, address: Address) -> AgentView:
        """Return the view of an agent that is in the table."""
        return self._views[address]

    def extend_report_deadlines(self, now: float) -> None:
        """Extend the report deadline of all agents.

        While this process was paused it received no reports, so their age
        says nothing about the agents.
        """
        for view in self._views.values():
            view.extend_report_deadline(now)

    def update_entries(
        self, entries: Iterable[AgentEntry], now: float
    ) -> AgentTableChange:
        """Add and remove views to match a new list of agents.

        An agent whose entry names another service or zone is a new one.
        """
        wanted = {entry.address: entry for entry in entries}
        # Sorted, so that runs with the same random seed choose the same
        # agents.
        removed = tuple(sorted(self._views.keys() - wanted.keys()))
        changed = tuple(
            sorted(
                address
                for address, entry in wanted.items()
                if address not in self._views
                or self._views[address].entry != entry
            )
        )
        for address in removed:
            self._remove(address)
        for address in changed:
            self._remove(address)
            self._views[address] = AgentView(entry=wanted[address], now=now)
            self._checksum ^= hash_entry(wanted[address])
        if changed or removed:
            self._index_services()
        return AgentTableChange(added=changed, removed=removed)

    def listed_for(self, service: str) -> list[AgentView]:
        """Return the views of the agents that are listed for a service."""
        return self._by_service.get(service, [])

    def zones_for(self, service: str) -> set[str]:
        """Return the zones of the agents that are listed for a service.

        An entry that names no service may be of any until its agent reports.
        An unknown zone is empty.
        """
        unnamed = {
            view.zone
            for view in self.listed_for('')
            if view.load is None or view.load.service == service
        }
        return self._zones.get(service, set()) | unnamed

    def follow(self, addresses: Collection[Address], now: float) -> None:
        """Follow these agents and no others."""
        for address, view in tuple(self._followed.items()):
            if address not in addresses:
                self._followed.pop(address)
                view.follow(now, followed=False)
                if view.is_awaited:
                    self._awaited[address] = view
        for address in addresses:
            followed = self._views[address]
            self._followed[address] = followed
            followed.follow(now, followed=True)

    def update_load(
        self, address: Address, load: AgentLoad, now: float
    ) -> bool:
        """Store a load report if it is newer; tell whether it was stored."""
        view = self._views.get(address)
        if view is None or not view.update(load, now):
            return False
        self._reporting[address] = view
        self._awaited.pop(address, None)
        return True

    def mark_heard(self, address: Address, now: float) -> None:
        """Record that an agent has sent a message."""
        view = self._views.get(address)
        if view is not None:
            view.mark_heard(now)
            self._awaited.pop(address, None)

    def expect_message(self, view: AgentView, now: float) -> None:
        """Record that a message from an agent is due."""
        view.expect_message(now)
        self._awaited[view.address] = view

    def forget_silence(self, view: AgentView) -> None:
        """Stop waiting for a message from an agent."""
        view.forget_silence()
        self._awaited.pop(view.address, None)

    def remove_stale(self, now: float) -> None:
        """Remove outdated reports of agents that aren't followed."""
        stale = [
            address
            for address, view in self._reporting.items()
            if not view.is_followed and not view.is_live(now)
        ]
        for address in stale:
            self._reporting.pop(address)

    def of_service(self, service: str) -> list[AgentView]:
        """Return the views of the agents whose last report names a service."""
        return [
            view
            for view in self._reporting.values()
            if view.reported_load.service == service
        ]

    def has_live(self, now: float) -> bool:
        """Tell whether an agent is live."""
        return any(view.is_live(now) for view in self._reporting.values())

    def _remove(self, address: Address) -> None:
        removed = self._views.get(address)
        if removed is not None:
            self._checksum ^= hash_entry(removed.entry)
        for views in (
            self._views,
            self._followed,
            self._reporting,
            self._awaited,
        ):
            views.pop(address, None)

    def _index_services(self) -> None:
        self._by_service = {}
        self._zones = {}
        for indexed in self._views.values():
            listed = self._by_service.setdefault(indexed.entry.service, [])
            listed.append(indexed)
            zones = self._zones.setdefault(indexed.entry.service, set())
            zones.add(indexed.entry.zone)
