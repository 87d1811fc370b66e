"""Run the product's decisions on the machines of the model."""

import random
from functools import partial
from typing import Protocol

from bluebellfold.core import Announcement, Message, Packet, RoutingTable
from bluebellfold.model.links import Links
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.upstreams import (
    WARMING_SECONDS,
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
from bluebellfold.relay.agents import Address, decode_message, encode_message
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.callers.relay import ClientRelay
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.relay import UpstreamRelay

PORT = 7720
TICK_SECONDS = 0.05
ANNOUNCE_SECONDS = 0.3
# From the start of a process to its first packet, as measured on the bench.
BALANCER_BOOT_SECONDS = 0.35
AGENT_BOOT_SECONDS = 0.55
NANOSECONDS = 1_000_000_000
MILLISECONDS = 1000


class World(Protocol):
    """Connect the machines."""

    timeline: Timeline
    links: Links
    randomness: random.Random
    journal: Journal
    routes: RoutingTable

    def balancer_at(self, host: str) -> 'BalancerMachine':
        """Return the balancer at an address."""

    def agent_at(self, host: str) -> 'AgentMachine':
        """Return the agent at an address."""

    def agent_addresses(self) -> list[Address]:
        """Return where agents take datagrams."""

    def to_client(self, raw: bytes, *, reset_by: str = '') -> None:
        """Deliver a packet to its client."""


class Machine:
    """Hold what all machines have, and restart their process."""

    __slots__ = ('_created_ms', '_starts', '_world', 'host', 'runs', 'zone')

    boot_seconds = float(0)

    def __init__(self, *, host: str, zone: str, world: World) -> None:
        self.host = host
        self.zone = zone
        self.runs = False
        self._starts = 0
        self._created_ms = 0
        self._world = world

    @property
    def address(self) -> Address:
        """Return where the machine takes datagrams."""
        return (self.host, PORT)

    def start(self, *, booted: bool = False) -> None:
        """Start the process; it works once it has booted."""
        self._starts += 1
        self._created_ms = round(self._world.timeline.now() * MILLISECONDS)
        delay = 0 if booted else self.boot_seconds
        self._world.timeline.after(delay, partial(self._begin, self._starts))

    def kill(self) -> None:
        """End the process at once."""
        self.runs = False
        self._starts += 1

    def _begin(self, start: int) -> None:
        if start != self._starts:
            return
        self.runs = True
        self._open()
        self._tick(start)

    def _tick(self, start: int) -> None:
        if start != self._starts:
            return
        self._act()
        again = partial(self._tick, start)
        self._world.timeline.after(TICK_SECONDS, again)

    def _open(self) -> None:
        """Begin without any state."""

    def _act(self) -> None:
        """Do what is due."""


class BalancerMachine(Machine):
    """Run the decisions of a balancer, and be its outlet."""

    __slots__ = ('_relay', '_rule')

    boot_seconds = BALANCER_BOOT_SECONDS

    def __init__(self, *, rule: str, **fields: object) -> None:
        super().__init__(**fields)
        self._rule = rule
        self._relay: ClientRelay | None = None

    def take_client(self, raw: bytes) -> None:
        """Take a client's packet."""
        if not self.runs:
            return
        packet = decode_client_packet(raw)
        self._relay.handle_packet(packet, self._world.timeline.now())

    def take_agent(self, datagram: bytes, address: Address) -> None:
        """Take what an agent tells."""
        if not self.runs:
            return
        message = decode_message(datagram, read_packet=decode_client_packet)
        now = self._world.timeline.now()
        self._relay.handle_message(message, address, now)

    def send_to_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""
        agent = self._world.agent_at(address[0])
        datagram = encode_message(message)
        self._world.links.carry(
            partial(agent.take_balancer, datagram, self.address),
            near=agent.zone == self.zone,
        )

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
        self._world.to_client(encode_reset(packet), reset_by=self.host)

    def _open(self) -> None:
        now = self._world.timeline.now()
        self._relay = ClientRelay(
            zone=self.zone,
            transport=self,
            journal=self._world.journal,
            draw=self._world.randomness.random,
            policy=self._rule,
        )
        self._relay.set_routes_fresh(fresh=True)
        self._relay.update_routes(self._world.routes, now=now)
        self._relay.update_agents(self._world.agent_addresses(), now)

    def _act(self) -> None:
        self._relay.tick(self._world.timeline.now())


class AgentMachine(Machine):
    """Run the decisions of an agent beside its upstream."""

    __slots__ = (
        '_announcements',
        '_due',
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
        self._announcements = 0
        self._due = float(0)
        send: Send = self._take_upstream
        self.upstream = ModelUpstream(
            timeline=self._world.timeline,
            randomness=self._world.randomness,
            slots=slots,
            work_seconds=work_seconds,
            send=send,
        )

    def take_balancer(self, datagram: bytes, address: Address) -> None:
        """Take what a balancer tells."""
        if not self.runs:
            return
        message = decode_message(datagram, read_packet=decode_client_packet)
        now = self._world.timeline.now()
        self._relay.handle_message(message, address, now)

    def send_to_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""
        balancer = self._world.balancer_at(address[0])
        datagram = encode_message(message)
        self._world.links.carry(
            partial(balancer.take_agent, datagram, self.address),
            near=balancer.zone == self.zone,
        )

    def send_to_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send a client's packet that a balancer brought."""
        raw = tag_packet(packet, balancer_tag(balancer))
        if self.upstream.lives:
            self.upstream.take(decode_client_packet(raw))
            return
        self._relay.handle_refusal(self._world.timeline.now())

    def send_to_client(self, packet: Packet) -> None:
        """Send an upstream's packet."""
        self._world.to_client(packet.raw)

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
        self._world.to_client(encode_reset(packet), reset_by=self.host)

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""
        return payload_of(packet).hex()

    def request_bytes(self, packet: Packet) -> int | None:
        """Return the length of the request that begins in a packet."""
        return packet.payload_bytes

    def status(self, packet: Packet) -> int:
        """Return the status of the answer that begins in a packet."""
        return status_of(packet)

    def _take_upstream(self, raw: bytes) -> None:
        if self.runs:
            packet = decode_packet(raw, from_client=False)
            self._relay.handle_upstream_packet(
                packet, self._world.timeline.now()
            )

    def _open(self) -> None:
        now = self._world.timeline.now()
        self._relay = UpstreamRelay(
            zone=self.zone,
            incarnation=round(now * NANOSECONDS),
            agent_start=AgentStart(
                created_ms=self._created_ms,
                ready_ms=round(now * MILLISECONDS),
                ready_at=now,
            ),
            health=UpstreamHealth(
                service=self.service,
                announcement_seconds=ANNOUNCE_SECONDS,
                now=now,
            ),
            transport=self,
            journal=self._world.journal,
            now=now,
        )

    def _act(self) -> None:
        now = self._world.timeline.now()
        if self.upstream.lives and now >= self._due:
            self._announce(now)
        self._relay.tick(now)

    def _announce(self, now: float) -> None:
        self._due = now + ANNOUNCE_SECONDS
        self._announcements += 1
        start = self.upstream.start_number
        self._relay.apply_announcement(
            Announcement(
                name=f'{self.host}/{start}',
                service=self.service,
                slots=self._slots,
                draining=False,
                warmup_seconds=WARMING_SECONDS * self.upstream.is_warming,
                born=self.upstream.born_ms,
                sequence=self._announcements,
            ),
            now,
        )
