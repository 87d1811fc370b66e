"""Forward the packets of established flows to the agents that hold them.

The balancer may lose its state at any time, for instance in a restart. Flows
survive this, because they end at the clients and the upstreams. Each agent
knows the flows of its upstream, so the balancer asks the agents about a flow
that it doesn't know.
"""

from bluebellfold.core import Packet, format_flow
from bluebellfold.relay.agents import (
    Address,
    AgentTable,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowUncertain,
    ForwardedPacket,
    ReturnedPacket,
)
from bluebellfold.relay.callers.flow_cache import FlowCache
from bluebellfold.relay.callers.lookups import PendingLookup, PendingLookups
from bluebellfold.relay.callers.transport import Transport
from bluebellfold.relay.collectors import Journal


class FlowForwarder:
    """Forward packets, and look up the agents of unknown flows."""

    __slots__ = ('_agent_table', '_flows', '_journal', '_lookups', '_transport')

    def __init__(
        self,
        *,
        agent_table: AgentTable,
        flows: FlowCache,
        transport: Transport,
        journal: Journal,
    ) -> None:
        self._agent_table = agent_table
        self._flows = flows
        self._transport = transport
        self._journal = journal
        self._lookups = PendingLookups()

    def forward(self, packet: Packet, now: float) -> None:
        """Forward a packet to its flow's agent, or look the flow up."""
        assignment = self._flows.find(packet.flow)
        agent = None if assignment is None else assignment.agent
        view = None if agent is None else self._agent_table.find(agent)
        if view is None or view.is_presumed_dead(now):
            self._look_up(packet, now)
            return
        assignment.touch(now)
        self._transport.send_to_agent(agent, ForwardedPacket(packet=packet))

    def handle_returned_packet(
        self,
        message: ReturnedPacket,
        address: Address,
        now: float,
        *,
        agents_complete: bool,
    ) -> None:
        """Look up the flow of a packet that an agent's upstream returned.

        ``agents_complete`` states that no agent is missing from the table.
        """
        packet = message.packet
        if not self._accept_not_found(packet.flow, address):
            return
        lookup = self._lookups.find(packet.flow)
        if lookup is None:
            lookup = self._start_lookup(packet, now)
        elif packet not in lookup.queued_packets:
            lookup.enqueue(packet)
        lookup.record_not_found(address)
        if agents_complete:
            self._reset_if_not_found(packet.flow, lookup, now)

    def handle_not_found(
        self,
        message: FlowNotFound,
        address: Address,
        now: float,
        *,
        agents_complete: bool,
    ) -> None:
        """Record that an agent's upstream doesn't hold a flow."""
        lookup = self._lookups.find(message.flow)
        if lookup is None or not self._accept_not_found(message.flow, address):
            return
        lookup.record_not_found(address)
        if agents_complete:
            self._reset_if_not_found(message.flow, lookup, now)

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
        flow = message.flow
        assignment = self._flows.find_or_add(flow, now)
        assignment.assign(address)
        assignment.touch(now)
        for packet in self._lookups.end(flow):
            self._transport.send_to_agent(
                address, ForwardedPacket(packet=packet)
            )
        self._journal.count('flows-found')
        self._journal.log('BBF0705', flow=format_flow(flow), agent=address[0])

    def tick(self, now: float) -> None:
        """Probe uncertain agents with a packet of the flow."""
        for lookup in self._lookups.list_pending():
            for address in lookup.pop_uncertain(now):
                self._transport.send_to_agent(
                    address, ForwardedPacket(packet=lookup.queued_packets[0])
                )

    def expire(self, now: float) -> None:
        """Remove lookups that have timed out."""
        self._lookups.expire(now)

    def _accept_not_found(self, flow: bytes, address: Address) -> bool:
        # Unassigns the agent if it is the cached one. Returns false if another
        # agent is known to hold the flow.
        assignment = self._flows.find(flow)
        if assignment is None or assignment.agent is None:
            return True
        if assignment.agent != address:
            return False
        self._flows.remove(flow)
        return True

    def _look_up(self, packet: Packet, now: float) -> None:
        lookup = self._lookups.find(packet.flow)
        if lookup is None or lookup.is_expired(now):
            self._start_lookup(packet, now)
            return
        lookup.enqueue(packet)
        if lookup.detect_repeat_due(now):
            self._query_all_agents(packet)

    def _start_lookup(self, packet: Packet, now: float) -> PendingLookup:
        self._journal.count('flows-sought')
        lookup = self._lookups.start(packet.flow, now)
        lookup.enqueue(packet)
        self._query_all_agents(packet)
        return lookup

    def _query_all_agents(self, packet: Packet) -> None:
        query = FlowLookup(flow=packet.flow, acknowledged=packet.acknowledged)
        for view in self._agent_table.views:
            self._transport.send_to_agent(view.address, query)

    def _reset_if_not_found(
        self, flow: bytes, lookup: PendingLookup, now: float
    ) -> None:
        candidates = [
            view.address
            for view in self._agent_table.views
            if not view.is_presumed_dead(now)
        ]
        if not lookup.is_not_found_at(candidates):
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
