"""Forward the packets of established flows to the agents that hold them.

The balancer may lose its state at any time, for instance in a restart. Flows
survive this, because they end at the clients and the upstreams. Each agent
knows the flows of its upstream, so the balancer asks the agents about a flow
that it doesn't know: first the flow's home agents, then all. A flow is reset
only after every agent that is alive has denied it, or many presume it absent.
"""

from bluebellfold.core import Packet, format_flow, require, service_address
from bluebellfold.relay.agents import (
    Address,
    AgentTable,
    AgentView,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowOwner,
    FlowPresumedAbsent,
    FlowUncertain,
    ForwardedPacket,
    ReturnedPacket,
)
from bluebellfold.relay.callers.agent_follower import AgentFollower
from bluebellfold.relay.callers.flow_cache import FlowCache
from bluebellfold.relay.callers.flow_homes import FlowHomes
from bluebellfold.relay.callers.lookups import PendingLookup, PendingLookups
from bluebellfold.relay.callers.probe_order import LAST_STAGE, ProbeOrder
from bluebellfold.relay.callers.transport import Transport
from bluebellfold.relay.callers.versions import ActiveRoutes
from bluebellfold.relay.collectors import Journal

# Up to this number of agents, all are asked at once: it costs no more than the
# home agents do.
MAX_DIRECT_QUERIES = 4
# A larger fleet is queried in several ticks, the oldest lookup first: one
# datagram takes 3 to 16 us, and a turn of the event loop must not delay new
# flows. All of 28,000 agents are queried within 0.75 s.
MAX_QUERIES_PER_TICK = 2_000


class FlowForwarder:
    """Forward packets, and look up the agents of unknown flows."""

    __slots__ = (
        '_agent_table',
        '_flows',
        '_follower',
        '_homes',
        '_journal',
        '_lookups',
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
    ) -> None:
        self._zone = zone
        self._routes = routes
        self._agent_table = agent_table
        self._follower = follower
        self._homes = FlowHomes()
        self._flows = flows
        self._transport = transport
        self._journal = journal
        self._lookups = PendingLookups()

    def forward(self, packet: Packet, now: float) -> None:
        """Forward a packet to its flow's agent, or look the flow up."""
        assignment = self._flows.find(packet.flow)
        agent = None if assignment is None else assignment.agent
        view = None if agent is None else self._agent_table.find(agent)
        if assignment is None or view is None or view.is_presumed_dead(now):
            self._look_up(packet, now)
            return
        assignment.touch(now)
        if packet.finishes or packet.resets:
            assignment.mark_ended()
        self._follower.check_owner(view, now)
        self._transport.send_to_agent(
            view.address, ForwardedPacket(packet=packet)
        )

    def update_homes(self) -> None:
        """Take the home agents of flows from the new list of agents."""
        self._homes.update(view.entry for view in self._agent_table.views)

    def register_owners(self, now: float) -> None:
        """Tell the owners of long flows to the home agents of the flows."""
        if len(self._agent_table) <= MAX_DIRECT_QUERIES:
            return
        for flow, owner in self._flows.list_unregistered(now):
            for home in self._homes.find(flow):
                self._transport.send_to_agent(
                    home, FlowOwner(flow=flow, owner=owner)
                )

    def handle_returned_packet(
        self,
        message: ReturnedPacket,
        address: Address,
        now: float,
        *,
        agents_complete_at: float,
    ) -> None:
        """Look up the flow of a packet that an agent's upstream returned.

        The table has all agents as of ``agents_complete_at``. The flow may be
        at a later one if its lookup started after that.
        """
        packet = message.packet
        if not self._accept_not_found(packet.flow, address):
            return
        lookup = self._lookups.find(packet.flow)
        if lookup is None:
            # The home agents would name the agent that has just denied.
            lookup = self._start_lookup(packet, now, at_homes=False)
        elif packet not in lookup.queued_packets:
            lookup.enqueue(packet)
        lookup.record_not_found(address)
        self._conclude(packet.flow, lookup, now, complete_at=agents_complete_at)

    def handle_not_found(
        self,
        message: FlowNotFound,
        address: Address,
        now: float,
        *,
        agents_complete_at: float,
    ) -> None:
        """Record that an agent's upstream doesn't hold a flow."""
        lookup = self._lookups.find(message.flow)
        if lookup is None or not self._accept_not_found(message.flow, address):
            return
        lookup.record_not_found(address)
        self._conclude(
            message.flow, lookup, now, complete_at=agents_complete_at
        )

    def handle_presumed_absent(
        self,
        message: FlowPresumedAbsent,
        address: Address,
        now: float,
        *,
        agents_complete_at: float,
    ) -> None:
        """Record that an agent presumes that its upstream lacks a flow."""
        lookup = self._lookups.find(message.flow)
        if lookup is None:
            return
        lookup.record_presumed_absent(address)
        self._conclude(
            message.flow, lookup, now, complete_at=agents_complete_at
        )

    def handle_owner(
        self,
        message: FlowOwner,
        address: Address,
        now: float,
        *,
        agents_complete_at: float,
    ) -> None:
        """Forward a flow's packets to the owner that a home agent names."""
        lookup = self._lookups.find(message.flow)
        if lookup is None:
            return
        if message.denies:
            lookup.record_not_found(address)
        else:
            lookup.record_uncertain(address)
        owner = message.owner
        view = self._agent_table.find(owner)
        usable = view is not None and not view.is_presumed_dead(now)
        if not usable or lookup.has_denied(owner):
            self._conclude(
                message.flow, lookup, now, complete_at=agents_complete_at
            )
            return
        self._journal.count('flows-found-at-home')
        self._assign_owner(message.flow, owner, now)

    def handle_uncertain(
        self, message: FlowUncertain, address: Address
    ) -> None:
        """Record that an agent doesn't know whether it holds a flow."""
        lookup = self._lookups.find(message.flow)
        if lookup is not None:
            lookup.record_uncertain(address)

    def handle_found(
        self, message: FlowFound, address: Address, now: float
    ) -> None:
        """Assign a flow to the agent that holds it; forward its packets."""
        self._assign_owner(message.flow, address, now)

    def tick(self, now: float, *, agents_complete_at: float) -> None:
        """Query agents after the homes, again and by a packet, where due."""
        left = MAX_QUERIES_PER_TICK
        for flow, lookup in self._lookups.list_pending():
            if lookup.homes_failed(now):
                self._query_all_agents(flow, lookup, now)
            if lookup.asks_homes:
                continue
            left -= self._continue_queries(flow, lookup, now, limit=left)
            if lookup.detect_retry_due(now):
                self._journal.count('lookups-repeated')
                self._send_queries(flow, lookup, now)
                self._conclude(
                    flow, lookup, now, complete_at=agents_complete_at
                )
            has_ended = self._lookups.find(flow) is not lookup
            if not has_ended and lookup.are_probes_due(now):
                self._send_probes(flow, lookup, now)

    def expire(self, now: float) -> None:
        """Remove lookups that have timed out."""
        self._lookups.expire(now)

    def _send_probes(
        self, flow: bytes, lookup: PendingLookup, now: float
    ) -> None:
        route = self._routes.table.find(service_address(flow))
        shares = () if route is None else route.shares
        order = ProbeOrder(
            services={share.service for share in shares}, zone=self._zone
        )

        def stage_of(address: Address) -> int:  # noqa: WPS430
            view = self._agent_table.find(address)
            return LAST_STAGE if view is None else order.stage_of(view.entry)

        for address in lookup.pop_probes(now, stage_of):
            self._transport.send_to_agent(
                address, ForwardedPacket(packet=lookup.queued_packets[0])
            )

    def _assign_owner(self, flow: bytes, address: Address, now: float) -> None:
        assignment = self._flows.find_or_add(flow, now)
        assignment.assign(address)
        assignment.touch(now)
        for packet in self._lookups.end(flow):
            self._transport.send_to_agent(
                address, ForwardedPacket(packet=packet)
            )
        self._journal.count('flows-found')
        self._journal.log('BBF0705', flow=format_flow(flow), agent=address[0])

    def _accept_not_found(self, flow: bytes, address: Address) -> bool:
        # Unassigns the agent if it is the cached one, or has left. Returns
        # false if another agent is known to hold the flow.
        assignment = self._flows.find(flow)
        if assignment is None or assignment.agent is None:
            return True
        has_left = self._agent_table.find(assignment.agent) is None
        if assignment.agent != address and not has_left:
            return False
        self._flows.remove(flow)
        return True

    def _look_up(self, packet: Packet, now: float) -> None:
        lookup = self._lookups.find(packet.flow)
        if lookup is None or lookup.is_expired(now):
            self._start_lookup(packet, now, at_homes=lookup is None)
            return
        lookup.enqueue(packet)
        if lookup.detect_repeat_due(now):
            self._query_all_agents(packet.flow, lookup, now)

    def _start_lookup(
        self, packet: Packet, now: float, *, at_homes: bool
    ) -> PendingLookup:
        self._journal.count('flows-sought')
        lookup = self._lookups.start(packet.flow, now)
        lookup.enqueue(packet)
        homes = self._find_homes(packet.flow, now) if at_homes else ()
        if not homes:
            self._query_all_agents(packet.flow, lookup, now)
            return lookup
        lookup.begin_at_homes(homes)
        query = FlowLookup(flow=packet.flow, acknowledged=packet.acknowledged)
        for address in homes:
            self._transport.send_to_agent(address, query)
        return lookup

    def _find_homes(self, flow: bytes, now: float) -> tuple[Address, ...]:
        if len(self._agent_table) <= MAX_DIRECT_QUERIES:
            return ()
        return tuple(
            home
            for home in self._homes.find(flow)
            if not self._is_presumed_dead(home, now)
        )

    def _is_presumed_dead(self, home: Address, now: float) -> bool:
        view = require(self._agent_table.find(home), name='listed home agent')
        return view.is_presumed_dead(now)

    def _query_all_agents(
        self, flow: bytes, lookup: PendingLookup, now: float
    ) -> None:
        lookup.extend_to_all(now)
        self._journal.count('flows-sought-at-all')
        self._send_queries(flow, lookup, now)

    def _send_queries(
        self, flow: bytes, lookup: PendingLookup, now: float
    ) -> None:
        lookup.begin_queries(view.address for view in self._agent_table.views)
        if len(self._agent_table) <= MAX_QUERIES_PER_TICK:
            self._continue_queries(
                flow, lookup, now, limit=MAX_QUERIES_PER_TICK
            )

    def _continue_queries(
        self, flow: bytes, lookup: PendingLookup, now: float, *, limit: int
    ) -> int:
        """Query the next agents, and return how many."""
        addresses = lookup.pop_unqueried(limit, now)
        query = FlowLookup(flow=flow, acknowledged=lookup.acknowledged)
        for address in addresses:
            view = self._agent_table.find(address)
            if view is not None:
                self._agent_table.expect_message(view, now)
                self._transport.send_to_agent(address, query)
        return len(addresses)

    def _conclude(
        self,
        flow: bytes,
        lookup: PendingLookup,
        now: float,
        *,
        complete_at: float,
    ) -> None:
        """Go on after a denial: ask all agents, or reset the flow."""
        if lookup.homes_failed(now):
            self._query_all_agents(flow, lookup, now)
        elif lookup.started_at <= complete_at and not lookup.asks_homes:
            self._reset_if_not_found(flow, lookup, now)

    def _reset_if_not_found(
        self, flow: bytes, lookup: PendingLookup, now: float
    ) -> None:
        if self._awaits_answer(lookup, now):
            return
        candidates = [
            view.address
            for view in self._agent_table.views
            if not view.is_presumed_dead(now)
        ]
        # If no agent is alive, nothing tells where the flow is.
        if not candidates or not lookup.is_not_found_at(candidates):
            return
        if lookup.begin_confirmation():
            return
        packet = lookup.queued_packets[-1]
        self._lookups.end(flow)
        self._flows.remove(flow)
        if packet.resets:
            return
        self._transport.reset_client(packet)
        self._journal.count('flows-lost')
        self._journal.log(
            'BBF0706', flow=format_flow(flow), denied=len(candidates)
        )

    def _awaits_answer(self, lookup: PendingLookup, now: float) -> bool:
        """Return whether an agent that is alive has not answered yet.

        The agent found is the first to be checked the next time. Agents answer
        about in the order of the list, so that the last one is found first.
        """
        awaited = lookup.awaited_agent
        view = None if awaited is None else self._agent_table.find(awaited)
        if view is not None and self._is_awaited(view, lookup, now):
            return True
        for candidate in reversed(tuple(self._agent_table.views)):
            if self._is_awaited(candidate, lookup, now):
                lookup.await_agent(candidate.address)
                return True
        return False

    def _is_awaited(
        self, view: AgentView, lookup: PendingLookup, now: float
    ) -> bool:
        return lookup.needs_query(view.address) and not view.is_presumed_dead(
            now
        )
