"""Decide what happens to each packet of a client, without doing it.

The balancer ends no flow and keeps nothing that it can't lose: an agent
knows the flows of its upstream, and a flow that this balancer doesn't know
is found by asking the agents.
"""

import zlib
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Protocol

from bluebellfold.core import (
    NO_ROUTES,
    NO_VERSION,
    Message,
    Packet,
    Route,
    RoutingTable,
    service_address,
    show_flow,
)
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_FULL,
    DECLINED_SERVICE,
    NO_AGENT,
    Address,
    AgentView,
    Carry,
    Declined,
    Held,
    Hello,
    LoadReport,
    NotHeld,
    Offer,
    Roster,
    Seek,
    place,
)
from bluebellfold.relay.callers.flows import Assignment, FlowCache
from bluebellfold.relay.callers.searches import Searches
from bluebellfold.relay.callers.waiting import COPY_SECONDS, WaitingRoom
from bluebellfold.relay.collectors import Journal

# An agent reports for 2 s after a hello; two hellos may be lost.
HELLO_SECONDS = 0.6
SWEEP_SECONDS = 5.0
# The store tells all its watchers of a change within milliseconds.
LAG_SECONDS = 0.3
# Flows are forgotten a little later than clients may take them up again.
IDLE_MARGIN_SECONDS = 2.0
# A queue that was full a moment ago has room again after about one request.
FULL_PAUSE_SECONDS = 0.03
# The second copy of an opening packet means that 0.6 s brought no answer.
LAST_ATTEMPT = 2
MILLISECONDS = 1000
_HASHES = 0x100000000


class Outlet(Protocol):
    """Send what the relay decides."""

    def tell_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""


class CallerRelay:
    """Place new flows and carry packets of open ones.

    Every method takes the time in seconds of a clock that never goes back.
    """

    __slots__ = (
        '_draw',
        '_flows',
        '_hello_due',
        '_journal',
        '_newest_heard_at',
        '_newest_version',
        '_outlet',
        '_roster',
        '_routes',
        '_routes_are_fresh',
        '_searches',
        '_sweep_due',
        '_waiting',
        '_zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        outlet: Outlet,
        journal: Journal,
        draw: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._outlet = outlet
        self._journal = journal
        self._draw = draw
        self._routes = NO_ROUTES
        self._routes_are_fresh = False
        self._roster = Roster()
        self._flows = FlowCache()
        self._searches = Searches()
        self._waiting = WaitingRoom()
        self._hello_due = float(0)
        self._newest_version = NO_VERSION
        self._newest_heard_at = float(0)
        self._sweep_due = float(0)

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
        return len(self._waiting)

    def is_ready(self, now: float) -> bool:
        """Tell whether new flows can be placed from here."""
        if self._routes is NO_ROUTES or not len(self._roster):
            return False
        return any(view.is_live(now) for view in self._roster.views)

    def lags(self, now: float) -> bool:
        """Tell whether others have had a newer configuration for a while."""
        if self._newest_version <= self._routes.version:
            return False
        return now - self._newest_heard_at > LAG_SECONDS

    def change_routes(self, routes: RoutingTable, *, now: float) -> bool:
        """Put a newer configuration in force; never go back."""
        if routes.version <= self._routes.version:
            return False
        before = self._routes.version
        self._routes = routes
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
        self._routes_are_fresh = fresh

    def change_agents(self, addresses: Iterable[Address], now: float) -> None:
        """Take the list of agents that exist."""
        change = self._roster.change(addresses, now)
        for address in change.added:
            self._greet(self._roster.find(address))
        if change.added or change.removed:
            self._journal.note(
                'BBF0708',
                added=list(change.added),
                removed=list(change.removed),
            )

    def take_packet(self, packet: Packet, now: float) -> None:
        """Decide where a client's packet goes."""
        if packet.opens:
            self._open(packet, now)
            return
        assignment = self._flows.find(packet.flow)
        agent = None if assignment is None else assignment.agent
        view = None if agent is None else self._roster.find(agent)
        if view is None or view.is_lost(now):
            self._seek(packet, now)
            return
        assignment.touch(now)
        self._outlet.tell_agent(agent, Carry(packet=packet))

    @singledispatchmethod
    def take_message(
        self, message: Message, address: Address, now: float
    ) -> None:
        """Act on what an agent tells."""
        self._journal.count('agents-unexpected-message')

    def tick(self, now: float) -> None:
        """Do what is due; call this about ten times a second."""
        self._end_waits(now)
        for view in self._roster.views:
            if view.notice_silence(now):
                self._journal.note(
                    'BBF0711',
                    agent=view.address[0],
                    report_age_ms=round(view.age_seconds(now) * MILLISECONDS),
                )
        everyone = now >= self._hello_due
        if everyone:
            self._hello_due = now + HELLO_SECONDS
        for view in self._roster.views:
            # An agent that starts is met within a tick, not at its next turn.
            if everyone or not view.is_live(now):
                self._greet(view)
        if now < self._sweep_due:
            return
        self._sweep_due = now + SWEEP_SECONDS
        idle_seconds = self._routes.idle_seconds + IDLE_MARGIN_SECONDS
        self._flows.expire(now - idle_seconds)
        self._searches.expire(now)

    @take_message.register
    def _take_report(
        self, message: LoadReport, address: Address, now: float
    ) -> None:
        view = self._roster.find(address)
        if view is None:
            return
        was_live = view.is_live(now)
        state_before = view.load.state if view.load else None
        if not view.update(message.load, now):
            return
        if not was_live or state_before != message.load.state:
            self._note_belief(view, was_live=was_live)
        if message.load.version > self._newest_version:
            self._newest_version = message.load.version
            self._newest_heard_at = now
        if len(self._waiting):
            self._place_waiting(message.load.service, now)

    @take_message.register
    def _take_declined(
        self, message: Declined, address: Address, now: float
    ) -> None:
        packet = message.packet
        assignment = self._flows.find_or_add(packet.flow, now)
        if message.reason == DECLINED_FULL:
            # The agent may have room a moment later.
            assignment.take_back(address)
        else:
            assignment.give_up(address)
        view = self._roster.find(address)
        if view is not None and message.reason != DECLINED_SERVICE:
            view.avoid_until(now + FULL_PAUSE_SECONDS)
        self._journal.count('flows-declined')
        self._journal.note(
            'BBF0704',
            flow=show_flow(packet.flow),
            agent=address[0],
            reason=DECLINE_NAMES[message.reason],
        )
        self._place(packet, assignment, now)

    @take_message.register
    def _take_not_held(
        self, message: NotHeld, address: Address, now: float
    ) -> None:
        packet = message.packet
        assignment = self._flows.find(packet.flow)
        if assignment is not None and assignment.agent == address:
            self._flows.forget(packet.flow)
        elif assignment is not None and assignment.agent is not None:
            # Another agent answered meanwhile that the flow is its own.
            return
        search = self._searches.find(packet.flow)
        if search is None:
            search = self._ask_all(packet, now, besides=address)
        search.denied.add(address)
        self._end_if_all_denied(packet, search.denied, now)

    @take_message.register
    def _take_held(self, message: Held, address: Address, now: float) -> None:
        flow = message.flow
        assignment = self._flows.find_or_add(flow, now)
        assignment.assign(address)
        assignment.touch(now)
        for packet in self._searches.end(flow):
            self._outlet.tell_agent(address, Carry(packet=packet))
        self._journal.count('flows-found')
        self._journal.note('BBF0705', flow=show_flow(flow), agent=address[0])

    def _open(self, packet: Packet, now: float) -> None:
        assignment = self._flows.find_or_add(packet.flow, now)
        assignment.touch(now)
        sent_before = COPY_SECONDS[min(packet.attempt, LAST_ATTEMPT)]
        assignment.begin(packet.sequence, now - sent_before)
        agent = assignment.agent
        if agent is not None:
            view = self._roster.find(agent)
            answers = view is not None and view.is_live(now)
            if answers and packet.attempt < LAST_ATTEMPT:
                self._offer(packet, view, now)
                return
            assignment.give_up(agent)
        self._place(packet, assignment, now)

    def _place(
        self, packet: Packet, assignment: Assignment, now: float
    ) -> None:
        if self._routes is NO_ROUTES:
            self._let_wait(packet, None, 'no-configuration', assignment)
            return
        route = self._routes.find(service_address(packet.flow))
        if route is None:
            self._refuse_unrouted(packet)
            return
        service = route.service_at(_draw_of(packet.flow))
        view = place(
            self._roster.of_service(service),
            zone=self._zone,
            now=now,
            draw=self._draw,
            avoided=assignment.tried,
        )
        if not view:
            if view is NO_AGENT:
                # What declined a moment ago may take the flow in its turn.
                assignment.tried.clear()
            self._let_wait(packet, route, view.name, assignment)
            return
        assignment.assign(view.address)
        self._waiting.remove(packet.flow)
        self._offer(packet, view, now)

    def _offer(self, packet: Packet, view: AgentView, now: float) -> None:
        service = view.load.service
        self._journal.count('flows-offered')
        self._journal.note(
            'BBF0701',
            flow=show_flow(packet.flow),
            attempt=packet.attempt,
            service=service,
            agent=view.address[0],
            busy=view.busy,
            slots=view.load.slots,
            report_age_ms=round(view.age_seconds(now) * MILLISECONDS),
            version=self._routes.version,
        )
        view.count_offer()
        self._outlet.tell_agent(
            view.address,
            Offer(packet=packet, service=service),
        )

    def _let_wait(
        self,
        packet: Packet,
        route: Route | None,
        reason: str,
        assignment: Assignment,
    ) -> None:
        known = packet.flow in self._waiting
        if not self._waiting.add(packet, route, assignment.opened_at):
            self._refuse(packet, 'waiting-room-full')
            return
        if known:
            return
        self._journal.count('flows-waiting')
        self._journal.note(
            'BBF0702',
            flow=show_flow(packet.flow),
            reason=reason,
            waiting=len(self._waiting),
            version=self._routes.version,
        )

    def _place_waiting(self, service: str, now: float) -> None:
        for waiting in self._waiting.in_turn(service):
            flow = waiting.packet.flow
            assignment = self._flows.find_or_add(flow, now)
            self._place(waiting.packet, assignment, now)
            if flow in self._waiting and not assignment.tried:
                # No agent has room, so there is none for those behind.
                return

    def _end_waits(self, now: float) -> None:
        for waiting in self._waiting.take_expired(now):
            self._refuse(waiting.packet, 'no-upstream-in-time')
        for abandoned in self._waiting.take_abandoned(now):
            flow = abandoned.packet.flow
            self._flows.forget(flow)
            self._journal.count('flows-abandoned')
            self._journal.note(
                'BBF0739',
                flow=show_flow(flow),
                attempt=abandoned.packet.attempt,
                waited_ms=round((now - abandoned.since) * MILLISECONDS),
            )

    def _refuse_unrouted(self, packet: Packet) -> None:
        if self._routes_are_fresh:
            self._refuse(packet, 'no-route')
            return
        # A newer configuration may have the route: the client asks again.
        self._flows.forget(packet.flow)
        self._journal.count('flows-unrouted')

    def _refuse(self, packet: Packet, reason: str) -> None:
        self._flows.forget(packet.flow)
        self._waiting.remove(packet.flow)
        self._outlet.reset_client(packet)
        self._journal.count('flows-refused')
        self._journal.note(
            'BBF0703',
            flow=show_flow(packet.flow),
            reason=reason,
            version=self._routes.version,
        )

    def _seek(self, packet: Packet, now: float) -> None:
        search = self._searches.find(packet.flow)
        if search is None or search.is_over(now):
            self._ask_all(packet, now)
            return
        if search.keep(packet, now):
            return
        self._send_to_all(packet, None)

    def _ask_all(
        self, packet: Packet, now: float, besides: Address | None = None
    ):
        self._journal.count('flows-sought')
        search = self._searches.start(packet.flow, now)
        self._send_to_all(packet, besides)
        return search

    def _send_to_all(self, packet: Packet, besides: Address | None) -> None:
        for view in self._roster.views:
            if view.address != besides:
                self._outlet.tell_agent(view.address, Seek(packet=packet))

    def _end_if_all_denied(
        self, packet: Packet, denied: set[Address], now: float
    ) -> None:
        asked = {
            view.address for view in self._roster.views if not view.is_lost(now)
        }
        if not asked <= denied:
            return
        self._searches.end(packet.flow)
        self._flows.forget(packet.flow)
        if packet.resets:
            return
        self._outlet.reset_client(packet)
        self._journal.count('flows-lost')
        self._journal.note(
            'BBF0706', flow=show_flow(packet.flow), denied=len(denied)
        )

    def _greet(self, view: AgentView) -> None:
        self._outlet.tell_agent(
            view.address,
            Hello(
                idle_seconds=self._routes.idle_seconds,
                offers_sent=view.offers_sent,
                version=self._routes.version,
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


def _draw_of(flow: bytes) -> float:
    # All copies of an opening packet, through whichever balancer, give the
    # same number.
    return zlib.crc32(flow) / _HASHES
