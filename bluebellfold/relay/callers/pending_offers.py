"""Detect offers that an agent leaves unanswered.

An agent reports its load at once to a balancer that offers it a flow. An
agent that was killed, is frozen or is unreachable sends no report, so the
flow is offered to another agent long before its client retransmits the
opening packet for the last time.
"""

from bluebellfold.core import Packet, Record, read_only
from bluebellfold.relay.agents import Address, AgentTable

# A round trip between zones takes 3 ms; a loaded agent handles an offer
# within some 20 ms.
OFFER_TIMEOUT_SECONDS = 0.1


class PendingOffer(Record):
    """Hold an opening packet that was offered to an agent."""

    __slots__ = ('_address', '_offered_at', '_packet')

    address: Address = read_only('_address')
    offered_at: float = read_only('_offered_at')
    packet: Packet = read_only('_packet')

    def __init__(
        self, *, packet: Packet, address: Address, offered_at: float
    ) -> None:
        self._packet = packet
        self._address = address
        self._offered_at = offered_at


class PendingOffers:
    """Hold recent offers by flow, the oldest first."""

    __slots__ = ('_by_flow',)

    def __init__(self) -> None:
        self._by_flow: dict[bytes, PendingOffer] = {}

    def __len__(self) -> int:
        """Return the number of offers."""
        return len(self._by_flow)

    def add(self, packet: Packet, address: Address, now: float) -> None:
        """Record that a flow was offered to an agent."""
        self._by_flow.pop(packet.flow, None)
        self._by_flow[packet.flow] = PendingOffer(
            packet=packet, address=address, offered_at=now
        )

    def remove(self, flow: bytes) -> None:
        """Remove the offer of a flow that was established or declined."""
        self._by_flow.pop(flow, None)

    def pop_unanswered(
        self, agent_table: AgentTable, now: float
    ) -> list[PendingOffer]:
        """Remove offers past the timeout, and return the unanswered ones."""
        unanswered = []
        for flow, offer in tuple(self._by_flow.items()):
            if now - offer.offered_at < OFFER_TIMEOUT_SECONDS:
                break
            self._by_flow.pop(flow)
            view = agent_table.find(offer.address)
            if view is None or view.reported_at <= offer.offered_at:
                unanswered.append(offer)
        return unanswered
