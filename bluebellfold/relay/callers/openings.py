"""Decide which agent each new flow goes to, or that it waits or is refused."""

import zlib
from collections.abc import Callable, Iterable
from types import MappingProxyType

from bluebellfold.core import Packet, Route, service_address, show_flow
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_FULL,
    DECLINED_REJECTED,
    NO_AGENT,
    Address,
    AgentView,
    Declined,
    Offer,
    Roster,
    place,
)
from bluebellfold.relay.callers.flows import Assignment, FlowCache
from bluebellfold.relay.callers.news import RoutesInForce
from bluebellfold.relay.callers.offers import OffersUnderWay
from bluebellfold.relay.callers.outlet import Outlet
from bluebellfold.relay.callers.waiting import (
    COPY_SECONDS,
    WaitingFlow,
    WaitingRoom,
)
from bluebellfold.relay.collectors import Journal

# How long an agent is offered no flow after it declined one. What it has no
# room for its report tells as well, within a round trip between zones; an
# upstream that rejected has room again after about one request.
PAUSE_SECONDS_AFTER = MappingProxyType(
    {DECLINED_FULL: 0.005, DECLINED_REJECTED: 0.03},
)
# The first offers of a flow go only to agents that are as free as believed:
# many balancers act on the same report, and would all choose the same agent.
PICKY_OFFERS = 2
# Where each upstream has a slot, one request more than believed is no reason
# to go round.
SLACK_REQUESTS = 1
# An agent that left an offer unanswered is offered nothing for about as long
# as a restart takes.
SILENT_PAUSE_SECONDS = 0.3
# The second copy of an opening packet means that 0.6 s brought no answer.
LAST_ATTEMPT = 2
# Leaves it to the agent how much its upstream takes.
MOST_BUSY = 0xFF
MILLISECONDS = 1000
_HASHES = 0x100000000


class Openings:
    """Place the new flows of a balancer."""

    __slots__ = (
        '_draw',
        '_flows',
        '_journal',
        '_offers',
        '_outlet',
        '_roster',
        '_routes',
        '_rule',
        '_waiting',
        '_zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        roster: Roster,
        routes: RoutesInForce,
        flows: FlowCache,
        outlet: Outlet,
        journal: Journal,
        draw: Callable[[], float],
        rule: str,
    ) -> None:
        self._zone = zone
        self._rule = rule
        self._roster = roster
        self._routes = routes
        self._flows = flows
        self._outlet = outlet
        self._journal = journal
        self._draw = draw
        self._offers = OffersUnderWay()
        self._waiting = WaitingRoom()

    @property
    def waiting(self) -> int:
        """Return how many flows wait for an upstream."""
        return len(self._waiting)

    def open(self, packet: Packet, now: float) -> None:
        """Place a flow by its opening packet, or by a copy of it."""
        assignment = self._flows.find_or_add(packet.flow, now)
        assignment.touch(now)
        sent_before = COPY_SECONDS[min(packet.attempt, LAST_ATTEMPT)]
        assignment.begin(packet.sequence, now - sent_before)
        if assignment.goes_on:
            # The copy was sent before an upstream's answer arrived.
            return
        agent = assignment.agent
        if agent is not None:
            view = self._roster.find(agent)
            answers = view is not None and view.is_live(now)
            if answers and packet.attempt < LAST_ATTEMPT:
                self._offer(packet, assignment, view, now)
                return
            assignment.give_up(agent)
        self._place(packet, assignment, now)

    def settle(self, packet: Packet) -> None:
        """Note that the client has heard from an upstream.

        Its opening packet may wait here for another one: placed, it would
        take the flow from its owner, and refused, reset an open flow.
        """
        self._offers.settle(packet.flow)
        assignment = self._flows.find(packet.flow)
        if assignment is not None and assignment.go_on(packet.sequence):
            self._waiting.remove(packet.flow)

    def take_back(
        self, message: Declined, address: Address, now: float
    ) -> None:
        """Place a flow that an agent has declined."""
        packet = message.packet
        self._offers.settle(packet.flow)
        assignment = self._flows.find_or_add(packet.flow, now)
        if assignment.goes_on:
            assignment.take_back(address)
            return
        if message.reason in {DECLINED_FULL, DECLINED_REJECTED}:
            # The agent may have room a moment later.
            assignment.take_back(address)
        else:
            assignment.give_up(address)
        view = self._roster.find(address)
        if view is not None:
            pause = PAUSE_SECONDS_AFTER.get(message.reason, 0)
            view.avoid_until(now + pause)
        self._journal.count('flows-declined')
        self._journal.note(
            'BBF0704',
            flow=show_flow(packet.flow),
            agent=address[0],
            reason=DECLINE_NAMES[message.reason],
        )
        self._place(packet, assignment, now)

    def use_room(self, service: str, now: float) -> None:
        """Place flows that wait for a service whose load has changed."""
        if self.waiting:
            self._place_waiting(self._waiting.in_turn(service), now)

    def tick(self, now: float) -> None:
        """End the waits and the offers that have lasted too long."""
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
        for service in self._waiting.services:
            self.use_room(service, now)
        for offer in self._offers.take_unanswered(self._roster, now):
            self._take_from_silent(offer.packet, offer.address, now)

    def _place_waiting(self, turn: Iterable[WaitingFlow], now: float) -> None:
        for waiting in turn:
            flow = waiting.packet.flow
            assignment = self._flows.find_or_add(flow, now)
            self._place(waiting.packet, assignment, now)
            if flow in self._waiting and not assignment.tried:
                # No agent has room, so there is none for those behind.
                return

    def _take_from_silent(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        assignment = self._flows.find(packet.flow)
        if assignment is None or assignment.agent != address:
            return
        self._journal.count('offers-unanswered')
        self._journal.note(
            'BBF0740', flow=show_flow(packet.flow), agent=address[0]
        )
        view = self._roster.find(address)
        if view is not None:
            view.avoid_until(now + SILENT_PAUSE_SECONDS)
        assignment.give_up(address)
        self._place(packet, assignment, now)

    def _place(
        self, packet: Packet, assignment: Assignment, now: float
    ) -> None:
        if not self._routes.are_known:
            self._let_wait(packet, None, 'no-configuration', assignment)
            return
        route = self._routes.table.find(service_address(packet.flow))
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
            rule=self._rule,
        )
        if not view:
            if view is NO_AGENT:
                # What declined a moment ago may take the flow in its turn.
                assignment.tried.clear()
            self._let_wait(packet, route, view.name, assignment)
            return
        assignment.assign(view.address)
        self._waiting.remove(packet.flow)
        self._offer(packet, assignment, view, now)

    def _offer(
        self,
        packet: Packet,
        assignment: Assignment,
        view: AgentView,
        now: float,
    ) -> None:
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
        most_busy = MOST_BUSY
        if assignment.declines < PICKY_OFFERS:
            most_busy = view.busy + view.load.slots + SLACK_REQUESTS
        view.count_offer()
        self._offers.add(packet, view.address, now)
        self._outlet.tell_agent(
            view.address,
            Offer(packet=packet, service=service, most_busy=most_busy),
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

    def _refuse_unrouted(self, packet: Packet) -> None:
        if self._routes.are_fresh:
            self._refuse(packet, 'no-route')
            return
        # A newer configuration may have the route: the client asks again.
        self._flows.forget(packet.flow)
        self._waiting.remove(packet.flow)
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


def _draw_of(flow: bytes) -> float:
    # All copies of an opening packet, through whichever balancer, give the
    # same number.
    return zlib.crc32(flow) / _HASHES
