"""Decide for each new flow: assign an agent, queue the flow or refuse it."""

import zlib
from collections.abc import Callable, Iterable
from types import MappingProxyType

from bluebellfold.core import Packet, Route, format_flow, service_address
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_FULL,
    DECLINED_REJECTED,
    NO_AGENT,
    Address,
    AgentTable,
    AgentView,
    Declined,
    Offer,
    select_agent,
)
from bluebellfold.relay.callers.agent_follower import AgentFollower
from bluebellfold.relay.callers.flow_cache import Assignment, FlowCache
from bluebellfold.relay.callers.flow_queue import (
    RETRANSMIT_SECONDS,
    FlowQueue,
    QueuedFlow,
)
from bluebellfold.relay.callers.pending_offers import PendingOffers
from bluebellfold.relay.callers.transport import Transport
from bluebellfold.relay.callers.versions import ActiveRoutes
from bluebellfold.relay.collectors import Journal

# How long an agent is offered no flow after it declined one. After a round trip
# between zones (3 ms) its load report shows whether its queue is full; an
# upstream that rejected a flow has capacity again after about one request.
DECLINE_BACKOFF_SECONDS = MappingProxyType(
    {DECLINED_FULL: 0.005, DECLINED_REJECTED: 0.03},
)
# Until a flow has been declined this often, its offers limit the agent's
# in-flight requests: many balancers act on the same load report and would all
# choose the same agent.
LIMITED_OFFERS = 2
# A limited offer allows the in-flight requests that the balancer counts, one
# per slot, and this margin: one request more is no reason to decline.
MARGIN_REQUESTS = 1
# The attempt number of the second and last retransmission of an opening packet:
# the client has had no reply for 0.6 s.
LAST_ATTEMPT = 2
# The greatest value of the one-byte field: only the agent's own limit applies.
NO_IN_FLIGHT_LIMIT = 0xFF
MS_PER_SECOND = 1000
_HASH_RANGE = 0x100000000


class FlowAdmission:
    """Assign agents to the new flows of a balancer."""

    __slots__ = (
        '_agent_table',
        '_draw',
        '_flows',
        '_follower',
        '_journal',
        '_pending_offers',
        '_policy',
        '_queue',
        '_routes',
        '_transport',
        '_zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        agent_table: AgentTable,
        follower: AgentFollower,
        routes: ActiveRoutes,
        flows: FlowCache,
        transport: Transport,
        journal: Journal,
        draw: Callable[[], float],
        policy: str,
    ) -> None:
        self._zone = zone
        self._policy = policy
        self._agent_table = agent_table
        self._follower = follower
        self._routes = routes
        self._flows = flows
        self._transport = transport
        self._journal = journal
        self._draw = draw
        self._pending_offers = PendingOffers()
        self._queue = FlowQueue()

    @property
    def queued_flows(self) -> int:
        """Return how many flows are queued for an upstream."""
        return len(self._queue)

    def handle_opening(self, packet: Packet, now: float) -> None:
        """Assign a flow on its opening packet or a retransmission of it."""
        assignment = self._flows.find_or_add(packet.flow, now)
        assignment.touch(now)
        seconds_since_opening = RETRANSMIT_SECONDS[
            min(packet.attempt, LAST_ATTEMPT)
        ]
        assignment.record_opening(packet.sequence, now - seconds_since_opening)
        if assignment.is_established:
            # Retransmitted before the upstream's reply reached the client.
            return
        agent = assignment.agent
        if agent is not None:
            view = self._agent_table.find(agent)
            reachable = view is not None and view.is_live(now)
            if reachable and packet.attempt < LAST_ATTEMPT:
                self._send_offer(packet, assignment, view, now)
                return
            assignment.exclude(agent)
        self._assign(packet, assignment, now)

    def mark_established(self, packet: Packet) -> None:
        """Record that the client has received a packet of an upstream.

        A queued retransmission of the opening packet is dropped. Otherwise the
        flow would be assigned to another agent than its owner, or the
        established flow would be reset at the queue timeout.
        """
        self._pending_offers.remove(packet.flow)
        assignment = self._flows.find(packet.flow)
        if assignment is not None and assignment.mark_established(
            packet.sequence
        ):
            self._queue.remove(packet.flow)

    def handle_decline(
        self, message: Declined, address: Address, now: float
    ) -> None:
        """Reassign a flow that an agent has declined."""
        packet = message.packet
        self._pending_offers.remove(packet.flow)
        assignment = self._flows.find_or_add(packet.flow, now)
        if assignment.is_established:
            assignment.unassign(address)
            return
        if message.reason in {DECLINED_FULL, DECLINED_REJECTED}:
            # The agent may have capacity a moment later.
            assignment.unassign(address)
        else:
            assignment.exclude(address)
        view = self._agent_table.find(address)
        if view is not None:
            backoff = DECLINE_BACKOFF_SECONDS.get(message.reason, 0)
            view.back_off_until(now + backoff)
        self._journal.count('flows-declined')
        self._journal.log(
            'BBF0704',
            flow=format_flow(packet.flow),
            agent=address[0],
            reason=DECLINE_NAMES[message.reason],
        )
        self._assign(packet, assignment, now)

    def assign_queued(self, service: str, now: float) -> None:
        """Assign queued flows of a service whose load has changed."""
        if self.queued_flows:
            self._assign_in_order(self._queue.list_for_service(service), now)

    def tick(self, now: float) -> None:
        """Time out queued flows and pending offers, and retry the queue."""
        for expired in self._queue.pop_expired(now):
            self._refuse(expired.packet, 'no-upstream-in-time')
        for abandoned in self._queue.pop_abandoned(now):
            flow = abandoned.packet.flow
            self._flows.remove(flow)
            self._journal.count('flows-abandoned')
            self._journal.log(
                'BBF0739',
                flow=format_flow(flow),
                attempt=abandoned.packet.attempt,
                waited_ms=round((now - abandoned.opened_at) * MS_PER_SECOND),
            )
        for service in self._queue.services:
            self.assign_queued(service, now)
        for offer in self._pending_offers.pop_unanswered(
            self._agent_table, now
        ):
            self._reassign_unanswered(offer.packet, offer.address, now)

    def _assign_in_order(
        self, queued_flows: Iterable[QueuedFlow], now: float
    ) -> None:
        for queued in queued_flows:
            flow = queued.packet.flow
            assignment = self._flows.find_or_add(flow, now)
            self._assign(queued.packet, assignment, now)
            if flow in self._queue and not assignment.excluded_agents:
                # The flow excludes no agent, so none has capacity, and the
                # later flows can't be assigned either.
                return

    def _reassign_unanswered(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        assignment = self._flows.find(packet.flow)
        if assignment is None or assignment.agent != address:
            return
        self._journal.count('offers-unanswered')
        self._journal.log(
            'BBF0740', flow=format_flow(packet.flow), agent=address[0]
        )
        view = self._agent_table.find(address)
        if view is not None:
            # Asked for a report at each tick until it sends one.
            view.suspect()
        assignment.exclude(address)
        self._assign(packet, assignment, now)

    def _assign(
        self, packet: Packet, assignment: Assignment, now: float
    ) -> None:
        if not self._routes.are_loaded:
            self._enqueue(packet, None, 'no-configuration', assignment)
            return
        route = self._routes.table.find(service_address(packet.flow))
        if route is None:
            self._refuse_unrouted(packet)
            return
        service = route.select_service(_hash_fraction(packet.flow))
        selected = select_agent(
            self._agent_table.of_service(service),
            zone=self._zone,
            now=now,
            draw=self._draw,
            excluded=assignment.excluded_agents,
            policy=self._policy,
        )
        if not selected or selected.in_flight >= selected.load.slots:
            # Agents outside of the subset may be idle.
            self._follower.sample(service, now)
        if not selected:
            if selected is NO_AGENT:
                # When no agent is left, the excluded ones are allowed again.
                assignment.excluded_agents.clear()
            self._enqueue(packet, route, selected.name, assignment)
            return
        assignment.assign(selected.address)
        self._queue.remove(packet.flow)
        self._send_offer(packet, assignment, selected, now)

    def _send_offer(
        self,
        packet: Packet,
        assignment: Assignment,
        view: AgentView,
        now: float,
    ) -> None:
        service = view.load.service
        self._journal.count('flows-offered')
        self._journal.log(
            'BBF0701',
            flow=format_flow(packet.flow),
            attempt=packet.attempt,
            service=service,
            agent=view.address[0],
            busy=view.in_flight,
            slots=view.load.slots,
            report_age_ms=round(view.report_age_seconds(now) * MS_PER_SECOND),
            arrivals_of_others=round(view.arrivals_of_others(now), 1),
            version=self._routes.version,
        )
        max_in_flight = NO_IN_FLIGHT_LIMIT
        if assignment.declines < LIMITED_OFFERS:
            max_in_flight = view.in_flight + view.load.slots + MARGIN_REQUESTS
        view.count_offer(now)
        self._pending_offers.add(packet, view.address, now)
        self._transport.send_to_agent(
            view.address,
            Offer(packet=packet, service=service, max_in_flight=max_in_flight),
        )

    def _enqueue(
        self,
        packet: Packet,
        route: Route | None,
        reason: str,
        assignment: Assignment,
    ) -> None:
        already_queued = packet.flow in self._queue
        if not self._queue.add(packet, route, assignment.opened_at):
            self._refuse(packet, 'waiting-room-full')
            return
        if already_queued:
            return
        self._journal.count('flows-waiting')
        self._journal.log(
            'BBF0702',
            flow=format_flow(packet.flow),
            reason=reason,
            waiting=len(self._queue),
            version=self._routes.version,
        )

    def _refuse_unrouted(self, packet: Packet) -> None:
        if self._routes.are_current:
            self._refuse(packet, 'no-route')
            return
        # A newer configuration may have the route: drop the packet without a
        # reset, and the client retransmits it.
        self._flows.remove(packet.flow)
        self._queue.remove(packet.flow)
        self._journal.count('flows-unrouted')

    def _refuse(self, packet: Packet, reason: str) -> None:
        self._flows.remove(packet.flow)
        self._queue.remove(packet.flow)
        self._transport.reset_client(packet)
        self._journal.count('flows-refused')
        self._journal.log(
            'BBF0703',
            flow=format_flow(packet.flow),
            reason=reason,
            version=self._routes.version,
        )


def _hash_fraction(flow: bytes) -> float:
    # A fraction from 0 to 1 that selects the service of the route. It is the
    # same for all retransmissions of an opening packet and at every balancer.
    return zlib.crc32(flow) / _HASH_RANGE
