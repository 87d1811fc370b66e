"""State what an agent's decisions ask of its sockets."""

from typing import Protocol

from bluebellfold.core import Message, Packet
from bluebellfold.relay.agents import Address


class Outlet(Protocol):
    """Send what was decided, and look into packets."""

    def tell_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""

    def send_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send a client's packet that a balancer brought."""

    def send_client(self, packet: Packet) -> None:
        """Send an upstream's packet."""

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""

    def request_bytes(self, packet: Packet) -> int | None:
        """Return the length of the request that begins in a packet."""

    def status(self, packet: Packet) -> int:
        """Return the status of the answer that begins in a packet."""
