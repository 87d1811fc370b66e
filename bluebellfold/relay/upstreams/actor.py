"""Own the sockets to balancers and the upstream, and run the relay."""

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
from bluebellfold.relay.agents import (
    LOOKUP_MESSAGES,
    Address,
    Outbox,
    decode_message,
    encode_message,
    split_datagram,
)
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.store import (
    DeregisterAgent,
    RegisterAgent,
    VerifyRegistration,
)
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.messages import (
    ApplyAnnouncement,
    ApplyDeregistration,
    StopWhenIdle,
)
from bluebellfold.relay.upstreams.relay import UpstreamRelay
from bluebellfold.relay.upstreams.warmup import WarmupLimit

# Limits the delay until an unanswered opening packet is detected.
TICK_INTERVAL_SECONDS = 0.05
# Limits the rate of ticks, and of checks whether the upstream is idle.
MIN_DELAY_SECONDS = 0.005
# A stopping agent waits at least this long, since balancers need a round trip
# to send new flows elsewhere.
STOP_MIN_SECONDS = 0.05
# It waits at most this long for requests in progress, and after its start for a
# sign of its upstream, which is well within the time that the platform allows.
STOP_MAX_SECONDS = 2.0
NOT_SENT_COUNTER = 'balancers-datagram-not-sent'


class UpstreamActor(Actor):
    """Relay the packets of the upstream beside this agent.

    The upstream sends its packets to ``outbound_endpoint`` and receives packets
    at ``upstream_endpoint``.
    """

    reactions = Registry(name='reactions of the upstream actor')

    def __init__(
        self,
        *,
        balancer_endpoint: Endpoint,
        outbound_endpoint: Endpoint,
        upstream_endpoint: Endpoint,
        zone: str,
        incarnation: int,
        agent_start: AgentStart,
        health: UpstreamHealth,
        warmup: WarmupLimit,
        clock: Clock,
        journal: Journal,
    ) -> None:
        super().__init__(name='upstream')
        self._balancer_endpoint = balancer_endpoint
        self._outbound_endpoint = outbound_endpoint
        self._upstream_endpoint = upstream_endpoint
        self._clock = clock
        self._journal = journal
        self._stopping_since = float(0)
        self._timer: asyncio.TimerHandle | None = None
        self._registrar: Actor | None = None
        self._is_listed = False
        # ``open`` sets the sockets and what writes to them.
        self._balancer_socket: DatagramSocket
        self._outbox: Outbox
        self._outbound_socket: DatagramSocket
        self._upstream_socket: DatagramSocket
        self._relay = UpstreamRelay(
            zone=zone,
            incarnation=incarnation,
            agent_start=agent_start,
            health=health,
            warmup=warmup,
            transport=self,
            journal=journal,
            now=clock.now(),
        )

    @property
    def upstream_left(self) -> bool:
        """Tell whether the upstream has deregistered or isn't there at all."""
        return self._relay.upstream_left

    def attach_registrar(self, registrar: Actor) -> None:
        """Set the task that registers the agent while it has an upstream."""
        self._registrar = registrar

    def gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        now = self._clock.now()
        versions = self._relay.versions
        return {
            'arrivals-per-second': self._relay.arrivals_per_second(now),
            'balancers': self._relay.balancer_count,
            'flows': self._relay.flow_count,
            'newest-agents-revision': versions.agents.revision,
            'newest-configuration-version': versions.configuration,
            'store-era': versions.era,
            'requests-in-progress': self._relay.in_flight(now),
            'zone-evacuated': self._relay.zone_evacuated,
            'warmup-flows-per-second': self._relay.warmup_flows_per_second,
        }

    async def open(self) -> None:
        """Bind the sockets, or raise OSError."""
        host = self._outbound_endpoint.host
        self._balancer_socket = DatagramSocket(endpoint=self._balancer_endpoint)
        self._outbox = Outbox(send=self._balancer_socket.send_to)
        self._outbound_socket = DatagramSocket(endpoint=self._outbound_endpoint)
        self._upstream_socket = DatagramSocket(
            endpoint=Endpoint(host=host, port=0), peer=self._upstream_endpoint
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._balancer_socket, self._read_balancers)
        loop.add_reader(self._outbound_socket, self._read_outbound)
        loop.add_reader(self._upstream_socket, self._read_upstream_errors)
        self._tick()

    async def close(self) -> None:
        """Close the sockets."""
        await super().close()
        loop = asyncio.get_running_loop()
        for datagram_socket in (
            self._balancer_socket,
            self._outbound_socket,
            self._upstream_socket,
        ):
            loop.remove_reader(datagram_socket)
            datagram_socket.close()

    def send_to_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""
        self._journal.count_sent(message)
        encoded = encode_message(message)
        if isinstance(message, LOOKUP_MESSAGES):
            self._outbox.add(encoded, address)
        elif not self._balancer_socket.send_to(encoded, address):
            self._journal.count(NOT_SENT_COUNTER)

    def send_to_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send the upstream a client's packet that a balancer forwarded."""
        try:
            self._upstream_socket.send(
                tag_packet(packet, balancer_tag(balancer))
            )
        except BlockingIOError:
            self._journal.count('upstream-datagram-not-sent')
        except ConnectionRefusedError:
            self._relay.handle_refusal(self._clock.now())

    def send_to_client(self, packet: Packet) -> None:
        """Send an upstream's packet to its client."""
        self._send_raw_to_client(packet, packet.raw)

    def reset_client(self, packet: Packet) -> None:
        """Send the client of a packet a reset of its flow."""
        self._send_raw_to_client(packet, encode_reset(packet))

    def verify_registration(self) -> None:
        """Have the agent registered again if the store doesn't list it."""
        if self._registrar is not None and self._is_listed:
            self._registrar.tell(VerifyRegistration())

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""
        return find_request_id(packet)

    def request_bytes(self, packet: Packet) -> int | None:
        """Return the length of the request, None if unknown."""
        return find_request_bytes(packet)

    def status(self, packet: Packet) -> int:
        """Return the status of the response that begins in a packet."""
        return find_status(packet)

    @reactions.add(ApplyAnnouncement)
    def _apply_announcement(self, message: ApplyAnnouncement) -> None:
        applied = self._relay.apply_announcement(
            message.announcement, self._clock.now()
        )
        message.reply.put(applied)
        self._update_registration()
        self._schedule_tick()

    @reactions.add(ApplyDeregistration)
    def _apply_deregistration(self, message: ApplyDeregistration) -> None:
        applied = self._relay.apply_deregistration(
            message.name, self._clock.now()
        )
        message.reply.put(applied)
        self._update_registration()

    @reactions.add(StopWhenIdle)
    def _begin_stop(self, message: StopWhenIdle) -> None:
        if self._stopping_since:
            return
        now = self._clock.now()
        self._stopping_since = now
        self._relay.stop(now)
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_MIN_SECONDS, self._stop_if_idle)

    def _stop_if_idle(self) -> None:
        now = self._clock.now()
        left = self._stopping_since + STOP_MAX_SECONDS - now
        # An agent that ends before it knows that it has no upstream stays
        # listed, and lookups of lost flows wait for it.
        waits = self._relay.in_flight(now) or self._relay.awaits_upstream(left)
        if left <= 0 or not waits:
            self.tell(Stop())
            return
        loop = asyncio.get_running_loop()
        loop.call_later(MIN_DELAY_SECONDS, self._stop_if_idle)

    def _read_balancers(self) -> None:
        now = self._clock.now()
        for datagram, address in self._balancer_socket.receive(now):
            for encoded in split_datagram(datagram):
                self._handle_encoded(encoded, address, now)
        self._flush()
        self._schedule_tick()

    def _handle_encoded(
        self, encoded: bytes, address: Address, now: float
    ) -> None:
        message = decode_message(encoded, read_packet=decode_client_packet)
        if message:
            self.guard(self._relay.handle_message, message, address, now)
        else:
            self._journal.count(message.name)

    def _flush(self) -> None:
        refused = self._outbox.flush()
        if refused:
            self._journal.count(NOT_SENT_COUNTER, refused)

    def _read_outbound(self) -> None:
        now = self._clock.now()
        for datagram, _ in self._outbound_socket.receive(now):
            packet = decode_packet(datagram, from_client=False)
            if packet:
                self.guard(self._relay.handle_upstream_packet, packet, now)
            else:
                self._journal.count(packet.name)
        self._update_registration()
        self._schedule_tick()

    def _update_registration(self) -> None:
        wanted = self._relay.upstream_present
        if self._registrar is None or self._is_listed is wanted:
            return
        self._is_listed = wanted
        self._registrar.tell(RegisterAgent() if wanted else DeregisterAgent())

    def _read_upstream_errors(self) -> None:
        # The upstream sends nothing to this socket. The socket raises an error
        # after a packet to a closed port.
        now = self._clock.now()
        try:
            for _ in self._upstream_socket.receive(now):
                self._journal.count('upstream-unexpected-datagram')
        except ConnectionRefusedError:
            self._relay.handle_refusal(now)

    def _send_raw_to_client(self, packet: Packet, raw: bytes) -> None:
        # Clients receive on the port that agents use.
        address = (client_host(packet.flow), self._balancer_endpoint.port)
        if not self._balancer_socket.send_to(raw, address):
            self._journal.count('callers-datagram-not-sent')

    def _tick(self) -> None:
        self._timer = None
        self.guard(self._relay.tick, self._clock.now())
        self._flush()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        now = self._clock.now()
        delay = min(self._relay.report_due() - now, TICK_INTERVAL_SECONDS)
        due = now + max(delay, MIN_DELAY_SECONDS)
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + due - now:
                return
            self._timer.cancel()
        self._timer = loop.call_later(due - now, self._tick)
