"""Decide for each new flow: assign an agent, queue the flow or refuse it."""

import zlib
from collections.abc import Callable, Collection
from types import MappingProxyType

from bluebellfold.core import (
    Packet,
    Route,
    format_flow,
    service_address,
)
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_FULL,
    DECLINED_REJECTED,
    DECLINED_UNANSWERED,
    DECLINED_WARMING,
    NO_AGENT,
    Address,
    AgentTable,
    AgentView,
    Declined,
    Offer,
    select_agent,
)
from bluebellfold.relay.callers.agent_follower import AgentFollower
from bluebellfold.relay.callers.contention import ContentionMonitor
from bluebellfold.relay.callers.eligibility import Eligibility
from bluebellfold.relay.callers.feasibility import NOT_IN_TIME
from bluebellfold.relay.callers.flow_cache import Assignment, FlowCache
from bluebellfold.relay.callers.flow_queue import FlowQueue
from bluebellfold.relay.callers.pending_offers import PendingOffers
from bluebellfold.relay.callers.queued_flow import (
    RETRANSMIT_SECONDS,
    QueuedFlow,
)
from bluebellfold.relay.callers.service_queue import CONTENDED, ServiceQueue
from bluebellfold.relay.callers.transport import Transport
from bluebellfold.relay.callers.versions import ActiveRoutes
from bluebellfold.relay.collectors import Journal

# How long an agent is offered no flow after it declined one. After a round trip
# between zones (3 ms) its load report shows whether its queue is full; an
# upstream that rejected a flow has capacity again after about one request.
DECLINE_BACKOFF_SECONDS = MappingProxyType(
    {DECLINED_FULL: 0.005, DECLINED_REJECTED: 0.03},
)
# While an upstream is cold, its load reports follow each other in at most this
# time and tell whether it takes flows again.
MAX_WARMING_BACKOFF_SECONDS = 0.2
# Reasons of declines after which the agent may soon have capacity.
LACKS_CAPACITY = frozenset((DECLINED_FULL, DECLINED_REJECTED, DECLINED_WARMING))
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
        '_contention',
        '_draw',
        '_eligibility',
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
        eligibility: Eligibility,
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
        self._eligibility = eligibility
        self._flows = flows
        self._transport = transport
        self._journal = journal
        self._draw = draw
        self._pending_offers = PendingOffers()
        self._queue = FlowQueue()
        self._contention = ContentionMonitor(
            agent_table=agent_table, journal=journal
        )

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
            if (
                view is not None
                and self._is_offerable(view, packet, now)
                and packet.attempt < LAST_ATTEMPT
            ):
                self._send_offer(packet, assignment, view, now)
                return
            assignment.give_up_offer(agent)
        self._assign_in_turn(packet, assignment, now)

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
        assignment = self._flows.find(packet.flow)
        if assignment is None or not assignment.is_opened_by(packet):
            # The flow was refused or dropped, or isn't this one any longer. If
            # its client still wants it, the opening packet is repeated.
            self._journal.count('declines-outdated')
            return
        # Late: another agent has been offered the flow since, and may hold it.
        is_late = assignment.agent not in {None, address}
        if not is_late:
            self._pending_offers.remove(packet.flow)
            self._retract_assignment(packet.flow)
        if assignment.is_established:
            assignment.unassign(address)
            return
        if message.reason in LACKS_CAPACITY:
            # The agent may have capacity a moment later.
            assignment.unassign(address)
        else:
            assignment.exclude(address)
        if message.reason == DECLINED_UNANSWERED:
            assignment.expect_answer()
        view = self._agent_table.find(address)
        if view is not None:
            backoff = self._backoff_seconds(message.reason, view)
            view.back_off_until(now + backoff)
        self._journal.count('flows-declined')
        self._journal.log(
            'BBF0704',
            flow=format_flow(packet.flow),
            agent=address[0],
            reason=DECLINE_NAMES[message.reason],
        )
        if not is_late:
            self._assign_in_turn(packet, assignment, now)

    def assign_queued(self, service: str, now: float) -> None:
        """Assign queued flows of a service whose load has changed."""
        self._queue_unrouted(now)
        service_queue = self._queue.find_service(service)
        if service_queue is not None:
            self._assign_in_order(service_queue, now)

    def refuse_ineligible(self, now: float) -> None:
        """Refuse queued flows for which no listed agent is eligible."""
        for queued in self._queue.list_routed():
            if self._is_ineligible(queued):
                assignment = self._flows.find_or_add(queued.packet.flow, now)
                self._assign(queued.packet, assignment, now)

    def tick(self, now: float) -> None:
        """Time out queued flows and pending offers, and retry the queue."""
        for overdue in self._queue.pop_overdue(now):
            if overdue.is_abandoned(now):
                # Another balancer may have the flow, also after the deadline.
                self._drop(
                    overdue.packet,
                    'not-retransmitted',
                    waited_ms=round((now - overdue.opened_at) * MS_PER_SECOND),
                )
            else:
                self._refuse(overdue.packet, 'no-upstream-in-time')
        self._queue_unrouted(now)
        self._contention.observe(self._queue, now)
        for service_queue in self._queue.services:
            self._assign_in_order(service_queue, now)
            self._refuse_unservable(service_queue, now)
        for offer in self._pending_offers.pop_unanswered(
            self._agent_table, now
        ):
            self._reassign_unanswered(offer.packet, offer.address, now)

    def _assign_in_turn(
        self, packet: Packet, assignment: Assignment, now: float
    ) -> None:
        """Assign a flow, after those that wait already under contention."""
        service_queue = self._find_service_queue(packet.flow)
        if service_queue is None or not service_queue.is_contended:
            self._assign(packet, assignment, now)
            return
        route = self._routes.table.find(service_address(packet.flow))
        self._enqueue(packet, route, CONTENDED.name, assignment, now)
        self._assign_in_order(service_queue, now)

    def _assign_in_order(self, service_queue: ServiceQueue, now: float) -> None:
        blocked_routes: set[bytes] = set()
        queued = self._next_assignable(service_queue, blocked_routes, now)
        while queued is not None:
            flow = queued.packet.flow
            assignment = self._flows.find_or_add(flow, now)
            self._assign(queued.packet, assignment, now)
            if queued.has_left:
                service_queue.charge(queued)
            elif queued.known_route.allowed_regions:
                # Agents of other regions may have capacity for other routes.
                blocked_routes.add(queued.known_route.address)
            elif self._is_passed_over(queued, assignment, now):
                service_queue.set_aside(queued)
            else:
                # No agent has capacity for the later flows either.
                break
            queued = self._next_assignable(service_queue, blocked_routes, now)
        service_queue.restore()

    def _next_assignable(
        self,
        service_queue: ServiceQueue,
        blocked_routes: Collection[bytes],
        now: float,
    ) -> QueuedFlow | None:
        """Return the flow to assign next, of those that none else may have.

        The balancer that got the client's next packet would not know of an
        assignment here, and could reset the open flow. If that packet comes
        here, only late, the flow is queued again.
        """
        queued = service_queue.next_flow(now, blocked_routes)
        while queued is not None and queued.awaits_retransmission(now):
            self._drop(
                queued.packet,
                'not-retransmitted',
                waited_ms=round((now - queued.opened_at) * MS_PER_SECOND),
            )
            queued = service_queue.next_flow(now, blocked_routes)
        return queued

    def _is_passed_over(
        self, queued: QueuedFlow, assignment: Assignment, now: float
    ) -> bool:
        """Return whether only agents that a flow excludes have capacity."""
        if not assignment.excluded_agents:
            return False
        selected = select_agent(
            self._eligibility.select(queued.known_service, queued.known_route),
            zone=self._zone,
            now=now,
            draw=self._draw,
            policy=self._policy,
        )
        return bool(selected)

    def _refuse_unservable(
        self, service_queue: ServiceQueue, now: float
    ) -> None:
        waiting = len(service_queue)
        for queued in service_queue.select_refused(now, self._has_not_run):
            self._refuse(
                queued.packet,
                NOT_IN_TIME.name,
                waited_ms=round((now - queued.opened_at) * MS_PER_SECOND),
                waiting=waiting,
                flows_per_second=round(service_queue.rate.mean(now)),
            )

    def _has_not_run(self, queued: QueuedFlow) -> bool:
        # A reset would be untrue if an agent has accepted the flow.
        assignment = self._flows.find(queued.packet.flow)
        return assignment is not None and not assignment.may_have_run

    def _queue_unrouted(self, now: float) -> None:
        """Queue flows by route that came before the first configuration."""
        if not self._routes.are_loaded:
            return
        for queued in self._queue.list_unrouted():
            packet = queued.packet
            route = self._routes.table.find(service_address(packet.flow))
            if route is None:
                self._refuse_unrouted(packet)
                continue
            service = _service_of(route, packet.flow)
            self._queue.add(
                packet, route, service, opened_at=queued.opened_at, now=now
            )

    def _find_service_queue(self, flow: bytes) -> ServiceQueue | None:
        route = self._routes.table.find(service_address(flow))
        if route is None:
            return None
        return self._queue.find_service(_service_of(route, flow))

    def _retract_assignment(self, flow: bytes) -> None:
        service_queue = self._find_service_queue(flow)
        if service_queue is not None:
            service_queue.rate.retract()

    def _reassign_unanswered(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        assignment = self._flows.find(packet.flow)
        if assignment is None or assignment.agent != address:
            return
        self._retract_assignment(packet.flow)
        self._journal.count('offers-unanswered')
        self._journal.log(
            'BBF0740', flow=format_flow(packet.flow), agent=address[0]
        )
        view = self._agent_table.find(address)
        if view is not None:
            # Asked for a report at each tick until it sends one.
            view.suspect()
        assignment.give_up_offer(address)
        self._assign_in_turn(packet, assignment, now)

    def _assign(
        self, packet: Packet, assignment: Assignment, now: float
    ) -> None:
        if not self._routes.are_loaded:
            self._enqueue(packet, None, 'no-configuration', assignment, now)
            return
        route = self._routes.table.find(service_address(packet.flow))
        if route is None:
            self._refuse_unrouted(packet)
            return
        service = _service_of(route, packet.flow)
        obstacle = self._eligibility.find_obstacle(service, route)
        if obstacle is not None and not assignment.may_have_run:
            self._refuse(packet, obstacle.name)
            return
        selected = select_agent(
            self._eligibility.select(service, route),
            zone=self._zone,
            now=now,
            draw=self._draw,
            excluded=assignment.excluded_agents,
            policy=self._policy,
        )
        if not selected or selected.in_flight >= selected.reported_load.slots:
            # Agents outside of the subset may be idle.
            self._follower.sample(
                service, now, allowed_regions=route.allowed_regions
            )
        if not selected:
            if selected is NO_AGENT:
                # When no agent is left, the excluded ones are allowed again.
                assignment.excluded_agents.clear()
            self._enqueue(packet, route, selected.name, assignment, now)
            return
        assignment.assign(selected.address)
        service_queue = self._queue.find_service(service)
        if service_queue is not None:
            service_queue.rate.record(now)
        self._queue.remove(packet.flow)
        self._send_offer(packet, assignment, selected, now)

    def _is_ineligible(self, queued: QueuedFlow) -> bool:
        obstacle = self._eligibility.find_obstacle(
            queued.known_service, queued.known_route
        )
        return obstacle is not None

    def _is_offerable(
        self, view: AgentView, packet: Packet, now: float
    ) -> bool:
        if not view.is_live(now):
            return False
        route = self._routes.table.find(service_address(packet.flow))
        return self._eligibility.allows(view, route)

    def _backoff_seconds(self, reason: int, view: AgentView) -> float:
        if reason != DECLINED_WARMING or view.load is None:
            return DECLINE_BACKOFF_SECONDS.get(reason, 0)
        rate = self._routes.table.find_warmup_rate(view.load.service)
        # After this time the upstream takes one flow more.
        interval = 1 / rate if rate else MAX_WARMING_BACKOFF_SECONDS
        return min(interval, MAX_WARMING_BACKOFF_SECONDS)

    def _send_offer(
        self,
        packet: Packet,
        assignment: Assignment,
        view: AgentView,
        now: float,
    ) -> None:
        load = view.reported_load
        service = load.service
        self._journal.count('flows-offered')
        self._journal.log(
            'BBF0701',
            flow=format_flow(packet.flow),
            attempt=packet.attempt,
            service=service,
            agent=view.address[0],
            busy=view.in_flight,
            slots=load.slots,
            report_age_ms=round(view.report_age_seconds(now) * MS_PER_SECOND),
            arrivals_of_others=round(view.arrivals_of_others(now), 1),
            version=self._routes.version,
        )
        max_in_flight = NO_IN_FLIGHT_LIMIT
        if assignment.declines < LIMITED_OFFERS:
            max_in_flight = view.in_flight + load.slots + MARGIN_REQUESTS
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
        now: float,
    ) -> None:
        already_queued = packet.flow in self._queue
        service = None if route is None else _service_of(route, packet.flow)
        if not self._queue.add(
            packet, route, service, opened_at=assignment.opened_at, now=now
        ):
            self._refuse(packet, 'waiting-room-full')
            return
        if already_queued:
            return
        self._journal.count('flows-waiting')
        self._journal.log(
            'BBF0702',
            flow=format_flow(packet.flow),
            reason=reason,
            service=service,
            listed=len(self._agent_table.listed_for(service or '')),
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

    def _drop(self, packet: Packet, reason: str, **inputs: float) -> None:
        """Remove a flow without a reset."""
        self._flows.remove(packet.flow)
        self._queue.remove(packet.flow)
        self._journal.count('flows-abandoned')
        self._journal.log(
            'BBF0739',
            flow=format_flow(packet.flow),
            attempt=packet.attempt,
            reason=reason,
            **inputs,
        )

    def _refuse(self, packet: Packet, reason: str, **inputs: float) -> None:
        assignment = self._flows.find(packet.flow)
        if assignment is not None and assignment.may_have_run:
            # A reset would be untrue if an agent has accepted the flow.
            self._drop(packet, reason, **inputs)
            return
        self._flows.remove(packet.flow)
        self._queue.remove(packet.flow)
        self._transport.reset_client(packet)
        self._journal.count('flows-refused')
        self._journal.count(f'flows-refused-{reason}')
        self._journal.log(
            'BBF0703',
            flow=format_flow(packet.flow),
            reason=reason,
            version=self._routes.version,
            **inputs,
        )


def _service_of(route: Route, flow: bytes) -> str:
    # The same for all retransmissions of an opening packet and at every
    # balancer.
    return route.select_service(zlib.crc32(flow) / _HASH_RANGE)
