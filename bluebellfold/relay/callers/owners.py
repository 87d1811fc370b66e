"""Decide which agent holds the flow of each packet.

The balancer ends no flow and keeps nothing that it can't lose: an agent
knows the flows of its upstream, and a flow that this balancer doesn't know
is found by asking the agents.
"""

from bluebellfold.core import Packet, show_flow
from bluebellfold.relay.agents import (
    Address,
    Carry,
    Denied,
    Held,
    MayHold,
    NotHeld,
    Roster,
    Seek,
)
from bluebellfold.relay.callers.flows import FlowCache
from bluebellfold.relay.callers.outlet import Outlet
from bluebellfold.relay.callers.searches import Search, Searches
from bluebellfold.relay.collectors import Journal


class FlowOwners:
    """Carry the packets of open flows to the agents that hold them."""

    __slots__ = ('_flows', '_journal', '_outlet', '_roster', '_searches')

    def __init__(
        self,
        *,
        roster: Roster,
        flows: FlowCache,
        outlet: Outlet,
        journal: Journal,
    ) -> None:
        self._roster = roster
        self._flows = flows
        self._outlet = outlet
        self._journal = journal
        self._searches = Searches()

    def carry(self, packet: Packet, now: float) -> None:
        """Bring a packet to its flow's agent, or ask all who holds it."""
        assignment = self._flows.find(packet.flow)
        agent = None if assignment is None else assignment.agent
        view = None if agent is None else self._roster.find(agent)
        if view is None or view.is_lost(now):
            self._seek(packet, now)
            return
        assignment.touch(now)
        self._outlet.tell_agent(agent, Carry(packet=packet))

    def take_back(
        self, message: NotHeld, address: Address, now: float, *, certain: bool
    ) -> None:
        """Take a packet that an agent's upstream gave back.

        ``certain`` tells that no agent is missing from the roster.
        """
        packet = message.packet
        if not self._accept_denial(packet.flow, address):
            return
        search = self._searches.find(packet.flow)
        if search is None:
            search = self._ask_all(packet, now)
        elif packet not in search.kept:
            search.keep(packet)
        search.deny(address)
        if certain:
            self._end_if_all_denied(packet.flow, search, now)

    def note_denial(
        self, message: Denied, address: Address, now: float, *, certain: bool
    ) -> None:
        """Take that an agent's upstream doesn't hold a flow."""
        search = self._searches.find(message.flow)
        if search is None or not self._accept_denial(message.flow, address):
            return
        search.deny(address)
        if certain:
            self._end_if_all_denied(message.flow, search, now)

    def note_doubt(self, message: MayHold, address: Address) -> None:
        """Take that an agent doesn't know whether it holds a flow."""
        search = self._searches.find(message.flow)
        if search is not None:
            search.doubt(address)

    def note_owner(self, message: Held, address: Address, now: float) -> None:
        """Take that an agent's upstream holds a flow."""
        flow = message.flow
        assignment = self._flows.find_or_add(flow, now)
        assignment.assign(address)
        assignment.touch(now)
        for packet in self._searches.end(flow):
            self._outlet.tell_agent(address, Carry(packet=packet))
        self._journal.count('flows-found')
        self._journal.note('BBF0705', flow=show_flow(flow), agent=address[0])

    def tick(self, now: float) -> None:
        """Try the upstreams of agents that can't tell what they hold."""
        for search in self._searches.under_way():
            for address in search.take_unsure(now):
                self._outlet.tell_agent(address, Carry(packet=search.kept[0]))

    def expire(self, now: float) -> None:
        """Forget searches that nobody answered."""
        self._searches.expire(now)

    def _accept_denial(self, flow: bytes, address: Address) -> bool:
        assignment = self._flows.find(flow)
        if assignment is None or assignment.agent is None:
            return True
        if assignment.agent != address:
            # Another agent answered meanwhile that the flow is its own.
            return False
        self._flows.forget(flow)
        return True

    def _seek(self, packet: Packet, now: float) -> None:
        search = self._searches.find(packet.flow)
        if search is None or search.is_over(now):
            self._ask_all(packet, now)
            return
        search.keep(packet)
        if search.ask_again(now):
            self._send_to_all(packet)

    def _ask_all(self, packet: Packet, now: float) -> Search:
        self._journal.count('flows-sought')
        search = self._searches.start(packet.flow, now)
        search.keep(packet)
        self._send_to_all(packet)
        return search

    def _send_to_all(self, packet: Packet) -> None:
        sought = Seek(flow=packet.flow, acknowledged=packet.acknowledged)
        for view in self._roster.views:
            self._outlet.tell_agent(view.address, sought)

    def _end_if_all_denied(
        self, flow: bytes, search: Search, now: float
    ) -> None:
        asked = [
            view.address for view in self._roster.views if not view.is_lost(now)
        ]
        if not search.is_denied_by(asked):
            return
        packet = search.kept[-1]
        self._searches.end(flow)
        self._flows.forget(flow)
        if packet.resets:
            return
        self._outlet.reset_client(packet)
        self._journal.count('flows-lost')
        self._journal.note('BBF0706', flow=show_flow(flow), denied=len(asked))
