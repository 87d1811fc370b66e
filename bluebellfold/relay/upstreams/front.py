"""Own the sockets toward balancers and the upstream, and do as decided."""

import asyncio

from bluebellfold.core import (
    Actor,
    Clock,
    Endpoint,
    Message,
    Packet,
    Registry,
    Stop,
    client_host,
)
from bluebellfold.core.datagrams import DatagramSocket
from bluebellfold.platform import (
    decode_client_packet,
    decode_packet,
    encode_reset,
    find_request_bytes,
    find_request_id,
    find_status,
    tag_packet,
)
from bluebellfold.relay.agents import Address, decode_message, encode_message
from bluebellfold.relay.balancers import tag_of
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.ages import AgentStart
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.messages import (
    StopSoon,
    TakeAnnouncement,
    TakeWithdrawal,
)
from bluebellfold.relay.upstreams.relay import UpstreamRelay

# Bounds how late an unanswered opening packet is noticed.
TICK_SECONDS = 0.05
MIN_PAUSE_SECONDS = 0.005
# Balancers need a round trip to bring new flows elsewhere; requests in
# progress get the rest, well within the time that the platform allows.
STOP_MIN_SECONDS = 0.05
STOP_MAX_SECONDS = 2.0


class UpstreamFront(Actor):
    """Serve one upstream beside this agent."""

    reactions = Registry(name='reactions of the front of the upstream')

    def __init__(
        self,
        *,
        datagrams: Endpoint,
        outbound: Endpoint,
        upstream: Endpoint,
        zone: str,
        start: int,
        own_start: AgentStart,
        health: UpstreamHealth,
        clock: Clock,
        journal: Journal,
    ) -> None:
        super().__init__(name='upstream')
        self._datagrams = datagrams
        self._outbound = outbound
        self._upstream = upstream
        self._clock = clock
        self._journal = journal
        self._stop_from = float(0)
        self._timer: asyncio.TimerHandle | None = None
        self._balancer_socket: DatagramSocket | None = None
        self._outbound_socket: DatagramSocket | None = None
        self._upstream_socket: DatagramSocket | None = None
        self._relay = UpstreamRelay(
            zone=zone,
            start=start,
            own_start=own_start,
            health=health,
            outlet=self,
            journal=journal,
            now=clock.now(),
        )

    @property
    def upstream_ended(self) -> bool:
        """Tell whether the upstream told that it ends."""
        return self._relay.upstream_ended

    def gauges(self) -> dict[str, float]:
        """Return what the metrics show of this moment."""
        return {
            'balancers': self._relay.balancers,
            'flows': self._relay.flows,
            'requests-in-progress': self._relay.busy(self._clock.now()),
        }

    async def open(self) -> None:
        """Bind the sockets, or raise OSError."""
        host = self._outbound.host
        self._balancer_socket = DatagramSocket(endpoint=self._datagrams)
        self._outbound_socket = DatagramSocket(endpoint=self._outbound)
        self._upstream_socket = DatagramSocket(
            endpoint=Endpoint(host=host, port=0), peer=self._upstream
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._balancer_socket, self._read_balancers)
        loop.add_reader(self._outbound_socket, self._read_outbound)
        loop.add_reader(self._upstream_socket, self._read_refusals)
        self._tick()

    async def close(self) -> None:
        """Give the sockets back."""
        await super().close()
        loop = asyncio.get_running_loop()
        for owned in (
            self._balancer_socket,
            self._outbound_socket,
            self._upstream_socket,
        ):
            loop.remove_reader(owned)
            owned.close()

    def tell_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""
        sent = self._balancer_socket.send_to(encode_message(message), address)
        if not sent:
            self._journal.count('balancers-datagram-not-sent')

    def send_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send a client's packet that a balancer brought."""
        try:
            self._upstream_socket.send(tag_packet(packet, tag_of(balancer)))
        except BlockingIOError:
            self._journal.count('upstream-datagram-not-sent')
        except ConnectionRefusedError:
            self._relay.refuse(self._clock.now())

    def send_client(self, packet: Packet) -> None:
        """Send an upstream's packet."""
        self._send_to_client(packet, packet.raw)

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
        self._send_to_client(packet, encode_reset(packet))

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""
        return find_request_id(packet)

    def request_bytes(self, packet: Packet) -> int | None:
        """Return the length of the request that begins in a packet."""
        return find_request_bytes(packet)

    def status(self, packet: Packet) -> int:
        """Return the status of the answer that begins in a packet."""
        return find_status(packet)

    @reactions.add(TakeAnnouncement)
    def _announce(self, message: TakeAnnouncement) -> None:
        self._relay.announce(message.announcement, self._clock.now())
        message.reply.put(True)
        self._plan_tick()

    @reactions.add(TakeWithdrawal)
    def _withdraw(self, message: TakeWithdrawal) -> None:
        self._relay.withdraw(message.name, self._clock.now())
        message.reply.put(True)

    @reactions.add(StopSoon)
    def _stop_soon(self, message: StopSoon) -> None:
        if self._stop_from:
            return
        now = self._clock.now()
        self._stop_from = now
        self._relay.stop(now)
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_MIN_SECONDS, self._stop_if_idle)

    def _stop_if_idle(self) -> None:
        now = self._clock.now()
        waited = now - self._stop_from
        if not self._relay.busy(now) or waited >= STOP_MAX_SECONDS:
            self.tell(Stop())
            return
        loop = asyncio.get_running_loop()
        loop.call_later(MIN_PAUSE_SECONDS, self._stop_if_idle)

    def _read_balancers(self) -> None:
        now = self._clock.now()
        for datagram, address in self._balancer_socket.receive():
            message = decode_message(datagram, read_packet=decode_client_packet)
            if message:
                self._relay.take_message(message, address, now)
            else:
                self._journal.count(message.name)
        self._plan_tick()

    def _read_outbound(self) -> None:
        now = self._clock.now()
        for datagram, _ in self._outbound_socket.receive():
            packet = decode_packet(datagram, from_client=False)
            if packet:
                self._relay.take_upstream(packet, now)
            else:
                self._journal.count(packet.name)
        self._plan_tick()

    def _read_refusals(self) -> None:
        # Nothing is sent to this socket; a refused packet is an error on it.
        try:
            for _ in self._upstream_socket.receive():
                self._journal.count('upstream-unexpected-datagram')
        except ConnectionRefusedError:
            self._relay.refuse(self._clock.now())

    def _send_to_client(self, packet: Packet, raw: bytes) -> None:
        address = (client_host(packet.flow), self._datagrams.port)
        if not self._balancer_socket.send_to(raw, address):
            self._journal.count('callers-datagram-not-sent')

    def _tick(self) -> None:
        self._timer = None
        self._relay.tick(self._clock.now())
        self._plan_tick()

    def _plan_tick(self) -> None:
        now = self._clock.now()
        delay = min(self._relay.report_due() - now, TICK_SECONDS)
        due = now + max(delay, MIN_PAUSE_SECONDS)
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + due - now:
                return
            self._timer.cancel()
        self._timer = loop.call_later(due - now, self._tick)
