"""Decide what happens to each packet of a client, without doing it."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from bluebellfold.core import Message, Packet, RoutingTable
from bluebellfold.relay.agents import (
    DEFAULT_RULE,
    Address,
    AgentView,
    Declined,
    Denied,
    Held,
    Hello,
    LoadReport,
    MayHold,
    NotHeld,
    Roster,
    Versions,
)
from bluebellfold.relay.callers.flows import FlowCache
from bluebellfold.relay.callers.news import Newest, RoutesInForce
from bluebellfold.relay.callers.openings import Openings
from bluebellfold.relay.callers.outlet import Outlet
from bluebellfold.relay.callers.owners import FlowOwners
from bluebellfold.relay.collectors import Journal

# An agent reports for 2 s after a hello; two hellos may be lost.
HELLO_SECONDS = 0.6
SWEEP_SECONDS = 5.0
# The process ticks twenty times a second: a longer gap means that it stood
# still, and that others were silent to it for no fault of theirs.
PAUSE_SECONDS = 0.5
# Flows are forgotten a little later than clients may take them up again.
IDLE_MARGIN_SECONDS = 2.0
MILLISECONDS = 1000


class CallerRelay:
    """Place new flows and carry packets of open ones.

    Every method takes the time in seconds of a clock that never goes back.
    """

    __slots__ = (
        '_agents_revision',
        '_flows',
        '_hello_due',
        '_journal',
        '_newest_agents',
        '_openings',
        '_outlet',
        '_owners',
        '_roster',
        '_routes',
        '_ran_at',
        '_sweep_due',
    )

    def __init__(
        self,
        *,
        zone: str,
        outlet: Outlet,
        journal: Journal,
        draw: Callable[[], float],
        rule: str = DEFAULT_RULE,
    ) -> None:
        self._outlet = outlet
        self._journal = journal
        self._routes = RoutesInForce()
        self._roster = Roster()
        self._agents_revision = 0
        self._newest_agents = Newest()
        self._flows = FlowCache()
        self._owners = FlowOwners(
            roster=self._roster,
            flows=self._flows,
            outlet=outlet,
            journal=journal,
        )
        self._openings = Openings(
            zone=zone,
            roster=self._roster,
            routes=self._routes,
            flows=self._flows,
            outlet=outlet,
            journal=journal,
            draw=draw,
            rule=rule,
        )
        self._hello_due = float(0)
        self._sweep_due = float(0)
        self._ran_at = float(0)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self._routes.version

    @property
    def flows(self) -> int:
        """Return how many flows the balancer remembers."""
        return len(self._flows)

    @property
    def waiting(self) -> int:
        """Return how many flows wait for an upstream."""
        return self._openings.waiting

    def is_ready(self, now: float) -> bool:
        """Tell whether new flows can be placed from here."""
        if not self._routes.are_known:
            return False
        return any(view.is_live(now) for view in self._roster.views)

    def routes_lag(self, now: float) -> bool:
        """Tell whether others have had a newer configuration for a while."""
        return self._routes.lags(now)

    def agents_lag(self, now: float) -> bool:
        """Tell whether others have known a newer agent for a while."""
        return self._newest_agents.lags(self._agents_revision, now)

    def change_routes(self, routes: RoutingTable, *, now: float) -> bool:
        """Put a newer configuration in force; never go back."""
        before = self._routes.version
        if not self._routes.change(routes):
            return False
        self._hello_due = now
        self._journal.note(
            'BBF0707',
            version=routes.version,
            version_before=before,
            routes=routes.size,
        )
        return True

    def mark_routes(self, *, fresh: bool) -> None:
        """Tell whether the store would bring a newer configuration at once."""
        self._routes.mark(fresh=fresh)

    def change_agents(
        self, addresses: Iterable[Address], now: float, *, revision: int = 0
    ) -> None:
        """Take the list of agents that exist, and its newest revision."""
        self._agents_revision = revision
        change = self._roster.change(addresses, now)
        for address in change.added:
            self._greet(self._roster.find(address))
        if change.added or change.removed:
            self._journal.note(
                'BBF0708',
                added=list(change.added),
                removed=list(change.removed),
                revision=revision,
            )

    def take_packet(self, packet: Packet, now: float) -> None:
        """Decide where a client's packet goes."""
        self._notice_pause(now)
        if packet.opens:
            self._openings.open(packet, now)
            return
        self._openings.settle(packet)
        self._owners.carry(packet, now)

    @singledispatchmethod
    def take_message(
        self, message: Message, address: Address, now: float
    ) -> None:
        """Act on what an agent tells."""
        self._journal.count('agents-unexpected-message')

    def tick(self, now: float) -> None:
        """Do what is due; call this about twenty times a second."""
        self._notice_pause(now)
        self._openings.tick(now)
        self._owners.tick(now)
        for silent in self._roster.views:
            if silent.notice_silence(now):
                self._journal.note(
                    'BBF0711',
                    agent=silent.address[0],
                    report_age_ms=round(silent.age_seconds(now) * MILLISECONDS),
                )
        self._greet_all(now)
        if now < self._sweep_due:
            return
        self._sweep_due = now + SWEEP_SECONDS
        idle_seconds = self._routes.table.idle_seconds + IDLE_MARGIN_SECONDS
        self._flows.expire(now - idle_seconds)
        self._owners.expire(now)

    @take_message.register
    def _take_report(
        self, message: LoadReport, address: Address, now: float
    ) -> None:
        view = self._roster.find(address)
        if view is None:
            return
        load = message.load
        was_live = view.is_live(now)
        state_before = view.load.state if view.load else None
        if not view.update(load, now):
            return
        if not was_live or state_before != load.state:
            self._note_belief(view, was_live=was_live)
        self._routes.hear(load.versions.configuration, now)
        self._newest_agents.hear(load.versions.agents, now)
        self._openings.use_room(load.service, now)

    @take_message.register
    def _take_declined(
        self, message: Declined, address: Address, now: float
    ) -> None:
        self._openings.take_back(message, address, now)

    @take_message.register
    def _take_not_held(
        self, message: NotHeld, address: Address, now: float
    ) -> None:
        self._notice_pause(now)
        certain = self._knows_all_agents
        self._owners.take_back(message, address, now, certain=certain)

    @take_message.register
    def _take_denied(
        self, message: Denied, address: Address, now: float
    ) -> None:
        self._notice_pause(now)
        certain = self._knows_all_agents
        self._owners.note_denial(message, address, now, certain=certain)

    @take_message.register
    def _take_doubt(
        self, message: MayHold, address: Address, now: float
    ) -> None:
        self._owners.note_doubt(message, address)

    @take_message.register
    def _take_held(self, message: Held, address: Address, now: float) -> None:
        self._owners.note_owner(message, address, now)

    @property
    def _knows_all_agents(self) -> bool:
        # An agent that only others know may hold a flow that all deny here.
        return not self._newest_agents.is_beyond(self._agents_revision)

    def _notice_pause(self, now: float) -> None:
        paused = now - self._ran_at
        self._ran_at = now
        if paused < PAUSE_SECONDS:
            return
        self._roster.excuse_silence(now)
        self._journal.note('BBF0741', paused_ms=round(paused * MILLISECONDS))

    def _greet_all(self, now: float) -> None:
        everyone = now >= self._hello_due
        if everyone:
            self._hello_due = now + HELLO_SECONDS
        for view in self._roster.views:
            # An agent that starts is met within a tick, not at its next turn.
            if everyone or not view.is_live(now):
                self._greet(view)

    def _greet(self, view: AgentView) -> None:
        self._outlet.tell_agent(
            view.address,
            Hello(
                idle_seconds=self._routes.table.idle_seconds,
                offers_sent=view.offers_sent,
                versions=Versions(
                    configuration=self._routes.version,
                    agents=self._agents_revision,
                ),
            ),
        )

    def _note_belief(self, view: AgentView, *, was_live: bool) -> None:
        self._journal.note(
            'BBF0709',
            agent=view.address[0],
            was_live=was_live,
            service=view.load.service,
            state=view.load.state,
            sequence=view.load.sequence,
        )
