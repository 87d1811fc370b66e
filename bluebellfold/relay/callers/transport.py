"""Define how the decisions of a balancer reach its sockets."""

from typing import Protocol

from bluebellfold.core import Message, Packet
from bluebellfold.relay.agents import Address


class Transport(Protocol):
    """Send messages to agents and resets to clients."""

    def send_to_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""

    def reset_client(self, packet: Packet) -> None:
        """Send a reset for the flow of a client's packet."""
