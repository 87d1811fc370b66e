"""Send each datagram of a client to a random balancer, as the fabric does."""

import asyncio
import random
from collections.abc import Callable

from bluebellfold.core import Endpoint
from bluebellfold.standins.link_faults import FaultyLink, LinkFaults


class Fabric(asyncio.DatagramProtocol):
    """Own a client's socket and choose a balancer for each datagram.

    The balancers may change while flows are open, as the health check of a
    real fabric does: see ``update_balancers``. For each copy of a duplicated
    datagram a balancer is chosen separately.
    """

    def __init__(
        self,
        *,
        balancers: tuple[Endpoint, ...],
        rng: random.Random,
        receive: Callable[[bytes], None],
    ) -> None:
        self._balancers = balancers
        self._rng = rng
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self._outbound = FaultyLink(rng=rng)
        self._inbound = FaultyLink(rng=rng)

    async def open(self) -> None:
        """Bind a socket on loopback."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=('127.0.0.1', 0),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(
        self,
        data: bytes,  # noqa: WPS110 -- keyword name used by asyncio
        addr: tuple[str, int],
    ) -> None:
        """Pass a datagram of any balancer to the client."""
        for datagram in self._inbound.transmit(data):
            self._receive(datagram)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a network loses datagrams without notice."""

    def send(self, datagram: bytes) -> None:
        """Send a datagram to a random balancer."""
        for delivered in self._outbound.transmit(datagram):
            balancer = self._rng.choice(self._balancers)
            self._transport.sendto(delivered, (balancer.host, balancer.port))

    def update_faults(self, faults: LinkFaults) -> None:
        """Lose, duplicate and reorder datagrams in both directions."""
        self._outbound.update_faults(faults)
        self._inbound.update_faults(faults)

    def update_balancers(self, balancers: tuple[Endpoint, ...]) -> None:
        """Send to these balancers from now on."""
        self._balancers = balancers

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()
