"""Notice that an agent leaves an offer unanswered.

Answers agents that are killed, frozen or cut off: an agent reports its load
at once to the balancer that offers it a flow, so one that doesn't has not
taken it. The flow goes to another agent long before its client repeats the
opening packet for the last time.
"""

from bluebellfold.core import Packet, Record, read_only
from bluebellfold.relay.agents import Address, Roster

# A round trip between zones takes 3 ms, a busy agent's turn some 20 ms.
ANSWER_SECONDS = 0.1


class OfferUnderWay(Record):
    """Hold an opening packet that an agent was offered."""

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


class OffersUnderWay:
    """Hold the offers of the last moments, the oldest first."""

    __slots__ = ('_by_flow',)

    def __init__(self) -> None:
        self._by_flow: dict[bytes, OfferUnderWay] = {}

    def __len__(self) -> int:
        """Return the number of offers."""
        return len(self._by_flow)

    def add(self, packet: Packet, address: Address, now: float) -> None:
        """Note that an agent is offered a flow."""
        self._by_flow.pop(packet.flow, None)
        self._by_flow[packet.flow] = OfferUnderWay(
            packet=packet, address=address, offered_at=now
        )

    def settle(self, flow: bytes) -> None:
        """Note that the flow opened, or was declined."""
        self._by_flow.pop(flow, None)

    def take_unanswered(
        self, roster: Roster, now: float
    ) -> list[OfferUnderWay]:
        """Remove the offers that are due, and return those unanswered."""
        unanswered = []
        for flow, offer in tuple(self._by_flow.items()):
            if now - offer.offered_at < ANSWER_SECONDS:
                break
            self._by_flow.pop(flow)
            view = roster.find(offer.address)
            if view is None or view.reported_at <= offer.offered_at:
                unanswered.append(offer)
        return unanswered
