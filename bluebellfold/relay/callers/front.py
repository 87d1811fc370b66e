"""Own the sockets toward callers and agents, and do what the relay decides."""

import asyncio
import random

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
from bluebellfold.platform import decode_client_packet, encode_reset
from bluebellfold.relay.agents import Address, decode_message, encode_message
from bluebellfold.relay.callers.messages import (
    AskReadiness,
    ChangeAgents,
    ChangeRoutes,
    Leave,
    MarkRoutes,
    ReadAnew,
)
from bluebellfold.relay.callers.relay import CallerRelay
from bluebellfold.relay.collectors import Journal

# Bounds how late an unanswered offer and an agent that starts are noticed.
TICK_SECONDS = 0.05
# The fabric asks twice a second and takes two misses for an end; its packets
# keep coming until then.
LEAVE_SECONDS = 1.7
# How often a kind is read anew while others have a newer one.
REFRESH_SECONDS = 1.0


class CallerFront(Actor):
    """Serve the callers of a balancer."""

    reactions = Registry(name='reactions of the front of callers')

    def __init__(
        self,
        *,
        callers: Endpoint,
        agents: Endpoint,
        zone: str,
        clock: Clock,
        journal: Journal,
    ) -> None:
        super().__init__(name='callers')
        self._callers = callers
        self._agents = agents
        self._clock = clock
        self._journal = journal
        self._leaving = False
        self._configuration: Actor | None = None
        self._agent_list: Actor | None = None
        self._refresh_due = clock.now()
        self._was_ready = False
        self._caller_socket: DatagramSocket | None = None
        self._agent_socket: DatagramSocket | None = None
        self._relay = CallerRelay(
            zone=zone,
            outlet=self,
            journal=journal,
            draw=random.random,
        )

    def gauges(self) -> dict[str, float]:
        """Return what the metrics show of this moment."""
        return {
            'configuration-version': self._relay.version,
            'flows': self._relay.flows,
            'flows-waiting': self._relay.waiting,
        }

    async def open(self) -> None:
        """Bind both sockets, or raise OSError."""
        self._caller_socket = DatagramSocket(endpoint=self._callers)
        self._agent_socket = DatagramSocket(endpoint=self._agents)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._caller_socket, self._read_callers)
        loop.add_reader(self._agent_socket, self._read_agents)
        self._tick()

    async def close(self) -> None:
        """Give the sockets back."""
        await super().close()
        loop = asyncio.get_running_loop()
        for owned in (self._caller_socket, self._agent_socket):
            loop.remove_reader(owned)
            owned.close()

    def follow(self, *, configuration: Actor, agents: Actor) -> None:
        """Set the tasks that are told when they have missed a change."""
        self._configuration = configuration
        self._agent_list = agents

    def tell_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""
        sent = self._agent_socket.send_to(encode_message(message), address)
        if not sent:
            self._journal.count('agents-datagram-not-sent')

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""
        self._caller_socket.send_to(
            encode_reset(packet),
            (client_host(packet.flow), self._callers.port),
        )

    @reactions.add(ChangeRoutes)
    def _change_routes(self, message: ChangeRoutes) -> None:
        self._relay.change_routes(message.routes, now=self._clock.now())

    @reactions.add(MarkRoutes)
    def _mark_routes(self, message: MarkRoutes) -> None:
        self._relay.mark_routes(fresh=message.fresh)

    @reactions.add(ChangeAgents)
    def _change_agents(self, message: ChangeAgents) -> None:
        self._relay.change_agents(
            message.addresses, self._clock.now(), revision=message.revision
        )

    @reactions.add(AskReadiness)
    def _answer_readiness(self, message: AskReadiness) -> None:
        message.reply.put(self._is_ready())

    @reactions.add(Leave)
    def _leave(self, message: Leave) -> None:
        if self._leaving:
            return
        self._leaving = True
        self._is_ready()
        loop = asyncio.get_running_loop()
        loop.call_later(LEAVE_SECONDS, self.tell, Stop())

    def _is_ready(self) -> bool:
        ready = not self._leaving and self._relay.is_ready(self._clock.now())
        if ready != self._was_ready:
            self._was_ready = ready
            self._journal.note(
                'BBF0710',
                ready=ready,
                leaving=self._leaving,
                version=self._relay.version,
            )
        return ready

    def _read_callers(self) -> None:
        now = self._clock.now()
        for datagram, _ in self._caller_socket.receive():
            packet = decode_client_packet(datagram)
            if packet:
                self._relay.take_packet(packet, now)
            else:
                self._journal.count(packet.name)

    def _read_agents(self) -> None:
        now = self._clock.now()
        for datagram, address in self._agent_socket.receive():
            message = decode_message(datagram, read_packet=decode_client_packet)
            if message:
                self._relay.take_message(message, address, now)
            else:
                self._journal.count(message.name)

    def _tick(self) -> None:
        now = self._clock.now()
        self._relay.tick(now)
        self._read_missed(now)
        loop = asyncio.get_running_loop()
        loop.call_later(TICK_SECONDS, self._tick)

    def _read_missed(self, now: float) -> None:
        if now < self._refresh_due:
            return
        lagging = []
        if self._relay.routes_lag(now):
            lagging.append(self._configuration)
        if self._relay.agents_lag(now):
            lagging.append(self._agent_list)
        for watch in lagging:
            self._refresh_due = now + REFRESH_SECONDS
            watch.tell(ReadAnew(reason='others have a newer version'))
