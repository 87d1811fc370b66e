"""Run the relay's decisions on simulated balancers and agents."""

import random
from functools import partial
from typing import Protocol

from bluebellfold.core import Announcement, Message, Packet, RoutingTable
from bluebellfold.model.links import Links
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.upstreams import (
    WARMUP_SECONDS,
    ModelUpstream,
    Send,
)
from bluebellfold.model.wire import payload_of, status_of
from bluebellfold.platform import (
    decode_client_packet,
    decode_packet,
    encode_reset,
    tag_packet,
)
from bluebellfold.relay.agents import (
    Address,
    AgentEntry,
    decode_message,
    encode_message,
)
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.callers.relay import ClientRelay
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.relay import UpstreamRelay

PORT = 7720
TICK_SECONDS = 0.05
ANNOUNCEMENT_SECONDS = 0.3
# Time from the start of a process to its first packet.
BALANCER_BOOT_SECONDS = 0.35
AGENT_BOOT_SECONDS = 0.55
NANOSECONDS = 1_000_000_000
MS_PER_SECOND = 1000


class World(Protocol):
    """Connect the machines of a simulation."""

    timeline: Timeline
    links: Links
    randomness: random.Random
    journal: Journal
    routes: RoutingTable

    def balancer_at(self, host: str) -> 'BalancerMachine':
        """Return the balancer at an address."""

    def agent_at(self, host: str) -> 'AgentMachine':
        """Return the agent at an address."""

    def agent_entries(self) -> list[AgentEntry]:
        """Return the list of agents."""

    def deliver_to_client(self, raw: bytes, *, reset_by: str = '') -> None:
        """Deliver a packet to its client.

        ``reset_by`` is the host that sent a reset.
        """


class Machine:
    """Simulate a process on a host, with its start and its end.

    ``boot_seconds`` is the time from start to readiness.
    """

    __slots__ = (
        '_created_ms',
        '_generation',
        '_world',
        'host',
        'is_running',
        'zone',
    )

    boot_seconds = float(0)

    def __init__(self, *, host: str, zone: str, world: World) -> None:
        self.host = host
        self.zone = zone
        self.is_running = False
        self._generation = 0
        self._created_ms = 0
        self._world = world

    @property
    def address(self) -> Address:
        """Return the address where the machine receives datagrams."""
        return (self.host, PORT)

    def start(self, *, booted: bool = False) -> None:
        """Start the process; it runs after the boot time unless ``booted``."""
        self._generation += 1
        self._created_ms = round(self._world.timeline.now() * MS_PER_SECOND)
        delay = 0 if booted else self.boot_seconds
        self._world.timeline.call_later(
            delay, partial(self._boot, self._generation)
        )

    def kill(self) -> None:
        """Kill the process."""
        self.is_running = False
        self._generation += 1

    def _boot(self, generation: int) -> None:
        if generation != self._generation:
            return
        self.is_running = True
        self._create_relay()
        self._tick(generation)

    def _tick(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._run_due_work()
        next_tick = partial(self._tick, generation)
        self._world.timeline.call_later(TICK_SECONDS, next_tick)

    def _create_relay(self) -> None:
        """Create a relay with no state."""

    def _run_due_work(self) -> None:
        """Run the work that is due at this tick."""


class BalancerMachine(Machine):
    """Run the decisions of a balancer and serve as its transport."""

    __slots__ = ('_policy', '_relay')

    boot_seconds = BALANCER_BOOT_SECONDS

    def __init__(self, *, policy: str, **fields: object) -> None:
        super().__init__(**fields)
        self._policy = policy
        self._relay: ClientRelay | None = None

    def handle_client_packet(self, raw: bytes) -> None:
        """Handle a packet from a client."""
        if not self.is_running:
            return
        packet = decode_client_packet(raw)
        self._relay.handle_packet(packet, self._world.timeline.now())

    def handle_agent_datagram(self, datagram: bytes, address: Address) -> None:
        """Handle a datagram from an agent."""
        if not self.is_running:
            return
        message = decode_message(datagram, read_packet=decode_client_packet)
        now = self._world.timeline.now()
        self._relay.handle_message(message, address, now)

    def send_to_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""
        agent = self._world.agent_at(address[0])
        datagram = encode_message(message)
        self._world.links.send(
            partial(agent.handle_balancer_datagram, datagram, self.address),
            same_zone=agent.zone == self.zone,
        )

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
        self._world.deliver_to_client(encode_reset(packet), reset_by=self.host)

    def _create_relay(self) -> None:
        now = self._world.timeline.now()
        self._relay = ClientRelay(
            identity=self.host,
            zone=self.zone,
            transport=self,
            journal=self._world.journal,
            draw=self._world.randomness.random,
            policy=self._policy,
        )
        self._relay.set_routes_fresh(fresh=True)
        self._relay.update_routes(self._world.routes, now=now)
        self._relay.update_agents(self._world.agent_entries(), now)

    def _run_due_work(self) -> None:
        self._relay.tick(self._world.timeline.now())


class AgentMachine(Machine):
    """Run the decisions of an agent and serve as its transport."""

    __slots__ = (
        '_announcement_due_at',
        '_announcement_sequence',
        '_relay',
        '_slots',
        'service',
        'upstream',
    )

    boot_seconds = AGENT_BOOT_SECONDS

    def __init__(
        self, *, service: str, slots: int, work_seconds: float, **fields: object
    ) -> None:
        super().__init__(**fields)
        self.service = service
        self._slots = slots
        self._relay: UpstreamRelay | None = None
        self._announcement_sequence = 0
        self._announcement_due_at = float(0)
        send: Send = self._handle_upstream_packet
        self.upstream = ModelUpstream(
            timeline=self._world.timeline,
            randomness=self._world.randomness,
            slots=slots,
            work_seconds=work_seconds,
            send=send,
        )

    def handle_balancer_datagram(
        self, datagram: bytes, address: Address
    ) -> None:
        """Handle a datagram from a balancer."""
        if not self.is_running:
            return
        message = decode_message(datagram, read_packet=decode_client_packet)
        now = self._world.timeline.now()
        self._relay.handle_message(message, address, now)

    def send_to_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""
        balancer = self._world.balancer_at(address[0])
        datagram = encode_message(message)
        self._world.links.send(
            partial(balancer.handle_agent_datagram, datagram, self.address),
            same_zone=balancer.zone == self.zone,
        )

    def send_to_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send a client's packet that a balancer forwarded."""
        raw = tag_packet(packet, balancer_tag(balancer))
        if self.upstream.is_running:
            self.upstream.handle_packet(decode_client_packet(raw))
            return
        self._relay.handle_refusal(self._world.timeline.now())

    def send_to_client(self, packet: Packet) -> None:
        """Send an upstream's packet to its client."""
        self._world.deliver_to_client(packet.raw)

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
        self._world.deliver_to_client(encode_reset(packet), reset_by=self.host)

    def verify_registration(self) -> None:
        """Do nothing: the list of agents loses no entries here."""

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""
        return payload_of(packet).hex()

    def request_bytes(self, packet: Packet) -> int | None:
        """Return the length of the request that begins in a packet."""
        return packet.payload_bytes

    def status(self, packet: Packet) -> int:
        """Return the status of the response that begins in a packet."""
        return status_of(packet)

    def _handle_upstream_packet(self, raw: bytes) -> None:
        if self.is_running:
            packet = decode_packet(raw, from_client=False)
            self._relay.handle_upstream_packet(
                packet, self._world.timeline.now()
            )

    def _create_relay(self) -> None:
        now = self._world.timeline.now()
        self._relay = UpstreamRelay(
            zone=self.zone,
            incarnation=round(now * NANOSECONDS),
            agent_start=AgentStart(
                created_ms=self._created_ms,
                ready_ms=round(now * MS_PER_SECOND),
                ready_at=now,
            ),
            health=UpstreamHealth(
                service=self.service,
                announcement_seconds=ANNOUNCEMENT_SECONDS,
                now=now,
            ),
            transport=self,
            journal=self._world.journal,
            now=now,
        )

    def _run_due_work(self) -> None:
        now = self._world.timeline.now()
        if self.upstream.is_running and now >= self._announcement_due_at:
            self._announce(now)
        self._relay.tick(now)

    def _announce(self, now: float) -> None:
        self._announcement_due_at = now + ANNOUNCEMENT_SECONDS
        self._announcement_sequence += 1
        generation = self.upstream.generation
        self._relay.apply_announcement(
            Announcement(
                name=f'{self.host}/{generation}',
                service=self.service,
                slots=self._slots,
                draining=False,
                warmup_seconds=WARMUP_SECONDS * self.upstream.is_warming_up,
                born=self.upstream.started_ms,
                sequence=self._announcement_sequence,
            ),
            now,
        )
