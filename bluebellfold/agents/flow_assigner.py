"""Assign each new flow that an agent receives to an owner."""

from bluebellfold.agents.capacity import UsableCapacity
from bluebellfold.agents.failure_detector import FailureDetector
from bluebellfold.agents.handshake_table import HandshakeTable
from bluebellfold.agents.loads import LoadTable, ReportLimiter
from bluebellfold.agents.messages import ClientDatagram
from bluebellfold.agents.peers import choose_peers
from bluebellfold.agents.selection import (
    NO_CANDIDATE,
    SelectionContext,
    select_agent,
)
from bluebellfold.core import (
    DRAINING,
    SERVING,
    Endpoint,
    Load,
    Member,
    Record,
    Sentinel,
    Service,
    read_only,
)

# The primary forwards a flow once, and the peer may send it back once.
MAX_HOPS = 2

TOO_MANY_HOPS = Sentinel(
    name='too-many-hops',
    reason='the flow was forwarded too often and this agent is not serving',
)


class Assignment(Record):
    """Hold the owner assigned to a flow, and the fill of its primary.

    ``offered_fill`` is sent with a forwarded flow; see ``Candidate.fill``.
    """

    __slots__ = ('_offered_fill', '_owner')

    offered_fill: float = read_only('_offered_fill')
    owner: Endpoint = read_only('_owner')

    def __init__(self, *, owner: Endpoint, offered_fill: float = 0) -> None:
        self._owner = owner
        self._offered_fill = offered_fill


class FlowAssigner:
    """Assign an owner to each new flow by the loads known to this agent.

    A balancer sends a new flow to its primary, the first agent in the flow's
    ranking. The primary keeps the flow or forwards it to a less loaded peer.
    The peer accepts it, or declines it by sending it back. The agent that
    keeps or accepts the flow is its owner. Times are in seconds.
    """

    __slots__ = (
        '_capacity',
        '_connections',
        '_failure_detector',
        '_flows',
        '_handshakes',
        '_loads',
        '_member',
        '_peers',
        '_report_limiter',
        '_service',
        '_slots',
    )

    def __init__(
        self,
        *,
        member: Member,
        service: Service,
        cold_at: float | None = None,
    ) -> None:
        self._member = member
        self._service = service
        self._capacity = UsableCapacity(cold_at=cold_at)
        self._loads = LoadTable()
        self._failure_detector = FailureDetector()
        self._report_limiter = ReportLimiter()
        self._handshakes = HandshakeTable()
        self._peers: tuple[Member, ...] = ()
        self._flows = 0
        self._slots = 0
        self._connections = 0

    @property
    def own_endpoint(self) -> Endpoint:
        """Return the endpoint of this agent."""
        return self._member.endpoint

    @property
    def report_recipients(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of the peers that receive load reports."""
        return tuple(peer.endpoint for peer in self._peers)

    def update_service(
        self, service: Service, members: tuple[Member, ...]
    ) -> None:
        """Update the service and its current members.

        A load report becomes due if there are new peers.
        """
        self._service = service
        for member in members:
            if member.name == self._member.name:
                self._member = self._member.replace(weight=member.weight)
        previous_peers = set(self.report_recipients)
        self._peers = choose_peers(self.own_endpoint, members)
        if not previous_peers.issuperset(self.report_recipients):
            self._report_limiter.reset()
        self._failure_detector.update_members(self._peers)
        self._loads.retain({self.own_endpoint, *self.report_recipients})

    def drain(self) -> None:
        """Stop accepting new flows."""
        self._member = self._member.replace(state=DRAINING)

    def assign(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        source: Endpoint,
        *,
        now: float,
    ) -> Assignment | Sentinel:
        """Return the assignment of the flow, or the reason why there is none.

        ``source`` is the sender of the datagram: a balancer, or the agent
        that forwarded the flow.
        """
        if message.hops >= MAX_HOPS:
            # A peer declined the flow and sent it back: the primary keeps it.
            self._failure_detector.record_received(source, now)
            return self._accept(flow_key, now) or TOO_MANY_HOPS
        known_owner = self._handshakes.find_owner(flow_key, now)
        if not isinstance(known_owner, Sentinel):
            return Assignment(owner=known_owner)
        if message.hops:
            return self._assign_forwarded(message, source, now)
        return self._assign_as_primary(message, flow_key, now)

    def record_accepted(
        self, flow_key: bytes, owner: Endpoint, *, now: float
    ) -> None:
        """Record that a peer accepted a flow forwarded to it."""
        self._failure_detector.record_received(owner, now)
        self._handshakes.confirm(flow_key, owner)

    def update_peer_load(self, load: Load, *, now: float) -> None:
        """Update the load of a peer from its report."""
        self._failure_detector.record_received(load.endpoint, now)
        self._loads.update(load.replace(seen_at=now))

    def update_flows(self, flows: int, *, now: float) -> None:
        """Update the number of open flows of this agent."""
        self._flows = flows
        self._loads.update(self.own_load(now=now))

    def update_usage(self, slots: int, connections: int, *, now: float) -> None:
        """Update the number of slots and connections in use."""
        self._slots = slots
        self._connections = connections
        self._loads.update(self.own_load(now=now))

    def record_shed(self, *, now: float) -> None:
        """Record that the upstream shed a request because of overload."""
        self._capacity.record_shed(now)

    def update_upstream_load(
        self, load: float, *, at: float, now: float
    ) -> None:
        """Update the load, from 0 to 1, that the upstream reported for itself.

        ``at`` is the time for which the upstream reported it.
        """
        agent_load = self.own_load(now=now).slots
        self._capacity.record_hint(
            upstream_load=load, agent_load=agent_load, at=at
        )
        self._loads.update(self.own_load(now=now))

    def own_load(self, *, now: float) -> Load:
        """Return the load that this agent reports to its peers."""
        connections_in_use = max(self._flows, self._connections)
        return Load(
            endpoint=self.own_endpoint,
            slots=self._slots / self._service.slots,
            connections=connections_in_use / self._service.connections,
            flows=self._flows,
            usable=self._capacity.usable(now),
            seen_at=now,
        )

    def report_due(self, *, now: float) -> bool:
        """Return whether a load report is due, and record it as sent if so."""
        return self._report_limiter.due(self.own_load(now=now), now)

    def _assign_as_primary(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        now: float,
    ) -> Assignment | Sentinel:
        context = self._build_context(now)
        member = select_agent(context, flow_key, now)
        if isinstance(member, Sentinel):
            return self._select_from_candidates(message, flow_key, now)
        owner = member.endpoint
        self._loads.count_assignment(owner)
        is_local = owner == self.own_endpoint
        self._handshakes.add(flow_key, owner, now, confirmed=is_local)
        if not is_local:
            self._failure_detector.record_sent(owner, now)
        return Assignment(
            owner=owner,
            offered_fill=context.own_fill(now),
        )

    def _assign_forwarded(
        self,
        message: ClientDatagram,
        primary: Endpoint,
        now: float,
    ) -> Assignment:
        context = self._build_context(now)
        if context.accepts(message.offered_fill, now):
            return Assignment(owner=self.own_endpoint)
        return Assignment(owner=primary)

    def _select_from_candidates(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        now: float,
    ) -> Assignment | Sentinel:
        # The balancer may know members that this agent has not learned of yet.
        for candidate in message.candidates:
            if candidate != self.own_endpoint:
                return Assignment(owner=candidate, offered_fill=float('inf'))
        return self._accept(flow_key, now) or NO_CANDIDATE

    def _accept(self, flow_key: bytes, now: float) -> Assignment | None:
        if self._member.state != SERVING:
            return None
        self._handshakes.add(flow_key, self.own_endpoint, now, confirmed=True)
        return Assignment(owner=self.own_endpoint)

    def _build_context(self, now: float) -> SelectionContext:
        # Refreshes the agent's own load, so that it never becomes stale.
        self._loads.update(self.own_load(now=now))
        return SelectionContext(
            own_member=self._member,
            peers=self._peers,
            loads=self._loads,
            suspected=self._failure_detector.suspected(now),
        )
