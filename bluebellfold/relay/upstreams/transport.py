"""Define what an agent's decisions require of its sockets."""

from typing import Protocol

from bluebellfold.core import Message, Packet
from bluebellfold.relay.agents import Address


class Transport(Protocol):
    """Send packets and messages, and parse the payload of packets."""

    def send_to_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""

    def send_to_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send the upstream a client's packet that a balancer forwarded."""

    def send_to_client(self, packet: Packet) -> None:
        """Send an upstream's packet to its client."""

    def reset_client(self, packet: Packet) -> None:
        """Send the client of a packet a reset of its flow."""

    def verify_registration(self) -> None:
        """Have the agent registered again if the store doesn't list it."""

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""
        ...

    def request_bytes(self, packet: Packet) -> int | None:
        """Return the length of the request, None if unknown."""
        ...

    def status(self, packet: Packet) -> int:
        """Return the status of the response that begins in a packet."""
        ...
