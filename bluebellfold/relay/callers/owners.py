"""Decide which agent holds the flow of each packet.

The balancer ends no flow and keeps nothing that it can't lose: an agent
knows the flows of its upstream, and a flow that this balancer doesn't know
is found by asking the agents.
"""

from bluebellfold.core import Packet, show_flow
from bluebellfold.relay.agents import (
    Address,
    Carry,
    Held,
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

    def note_denial(
        self, message: NotHeld, address: Address, now: float, *, certain: bool
    ) -> None:
        """Take that an agent's upstream doesn't hold a flow.

        ``certain`` tells that no agent is missing from the roster.
        """
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
        if certain:
            self._end_if_all_denied(packet, search.denied, now)

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

    def expire(self, now: float) -> None:
        """Forget searches that nobody answered."""
        self._searches.expire(now)

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
    ) -> Search:
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
