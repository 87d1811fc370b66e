"""State what a balancer's decisions ask of its sockets."""

from typing import Protocol

from bluebellfold.core import Message, Packet
from bluebellfold.relay.agents import Address


class Outlet(Protocol):
    """Send what was decided."""

    def tell_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
