"""Own the sockets to clients and agents, and carry out the decisions."""

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from bluebellfold.core import (
    NO_ERA,
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
from bluebellfold.relay.agents import (
    LOOKUP_MESSAGES,
    Address,
    Outbox,
    decode_message,
    encode_message,
    split_datagram,
    summarise_table,
)
from bluebellfold.relay.callers.home_regions import NO_REGIONS
from bluebellfold.relay.callers.messages import CheckReadiness, LeaveRotation
from bluebellfold.relay.callers.relay import ClientRelay
from bluebellfold.relay.callers.state_sources import STORE
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.store import (
    LearnEra,
    Relist,
    SetBalancers,
    SetRoutesFresh,
    UpdateAgents,
    UpdateEvacuations,
    UpdateRoutes,
)

# Limits the delay until an unanswered offer or a starting agent is detected.
TICK_INTERVAL_SECONDS = 0.05
# The fabric checks readiness twice a second and sends packets until two checks
# have failed.
LEAVE_DELAY_SECONDS = 1.7
# How often a watch is told to relist while other balancers have a newer
# version.
RELIST_INTERVAL_SECONDS = 1.0
MS_PER_SECOND = 1000
NOT_SENT_COUNTER = 'agents-datagram-not-sent'


class ClientActor(Actor):
    """Serve the clients of a balancer."""

    reactions = Registry(name='message handlers of the client actor')

    def __init__(
        self,
        *,
        client_endpoint: Endpoint,
        agent_endpoint: Endpoint,
        zone: str,
        clock: Clock,
        journal: Journal,
        regions: Mapping[str, str] = NO_REGIONS,
    ) -> None:
        super().__init__(name='callers')
        self._client_endpoint = client_endpoint
        self._agent_endpoint = agent_endpoint
        self._clock = clock
        self._journal = journal
        self._leaving = False
        self._configuration_watch: Actor | None = None
        self._agent_watch: Actor | None = None
        self._evacuation_watch: Actor | None = None
        self._relist_due = clock.now()
        self._was_ready = False
        self._balancers = 0
        self._told_era = NO_ERA
        # ``open`` sets the sockets and what writes to them.
        self._client_socket: DatagramSocket
        self._agent_socket: DatagramSocket
        self._outbox: Outbox
        self._relay = ClientRelay(
            identity=f'{agent_endpoint.host}:{agent_endpoint.port}',
            zone=zone,
            transport=self,
            journal=journal,
            draw=random.random,
            regions=regions,
        )

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by metric name."""
        agents = summarise_table(self._relay.agent_table, self._clock.now())
        positions = self._relay.positions
        oldest_report_ms = agents.oldest_report_seconds * MS_PER_SECOND
        return {
            'agents-checksum': agents.checksum,
            'agents-followed': agents.followed,
            'agents-listed': agents.listed,
            'agents-live': agents.live,
            'agents-revision': positions.agents.revision,
            'agents-unlisted': self._relay.unlisted_agents,
            'configuration-version': self._relay.version,
            'oldest-report-milliseconds': oldest_report_ms,
            'services-unserved': agents.unserved,
            'evacuated-zones': len(self._relay.evacuated_zones),
            'evacuations-revision': positions.evacuations.revision,
            'store-era': positions.era,
            'flows': self._relay.cached_flows,
            'flows-waiting': self._relay.queued_flows,
            'configuration-from-peer': self._relay.sources.routes.is_peer,
            'agents-from-peer': self._relay.sources.agents.is_peer,
            'evacuations-from-peer': self._relay.sources.evacuations.is_peer,
        }

    def describe_state(self) -> dict[str, Any]:
        """Return the versions in force and their sources."""
        sources = self._relay.sources
        positions = self._relay.positions
        return {
            'version': self._relay.version,
            'routes_source': sources.routes.name,
            'store_era': positions.era,
            'agents_revision': positions.agents.revision,
            'agents_source': sources.agents.name,
            'evacuations_revision': positions.evacuations.revision,
            'evacuations_source': sources.evacuations.name,
        }

    async def open(self) -> None:
        """Bind both sockets; raise OSError if an address is not available."""
        self._client_socket = DatagramSocket(endpoint=self._client_endpoint)
        self._agent_socket = DatagramSocket(endpoint=self._agent_endpoint)
        self._outbox = Outbox(send=self._agent_socket.send_to)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._client_socket, self._receive_from_clients)
        loop.add_reader(self._agent_socket, self._receive_from_agents)
        self._tick()

    async def close(self) -> None:
        """Close the sockets."""
        await super().close()
        loop = asyncio.get_running_loop()
        for datagram_socket in (self._client_socket, self._agent_socket):
            loop.remove_reader(datagram_socket)
            datagram_socket.close()

    def attach_watches(
        self,
        *,
        configuration: Actor,
        agents: Actor,
        evacuations: Actor | None = None,
    ) -> None:
        """Set the watches that are told to relist after a missed change."""
        self._evacuation_watch = evacuations
        self._configuration_watch = configuration
        self._agent_watch = agents

    def send_to_agent(self, address: Address, message: Message) -> None:
        """Send a message to an agent."""
        self._journal.count_sent(message)
        encoded = encode_message(message)
        if isinstance(message, LOOKUP_MESSAGES):
            self._outbox.add(encoded, address)
        elif not self._agent_socket.send_to(encoded, address):
            self._journal.count(NOT_SENT_COUNTER)

    def reset_client(self, packet: Packet) -> None:
        """Send a reset for the flow of a client's packet."""
        self._client_socket.send_to(
            encode_reset(packet),
            (client_host(packet.flow), self._client_endpoint.port),
        )

    @reactions.add(UpdateRoutes)
    def _update_routes(self, message: UpdateRoutes) -> None:
        self._relay.update_routes(
            message.routes, now=self._clock.now(), peer=message.peer
        )

    @reactions.add(SetRoutesFresh)
    def _set_routes_fresh(self, message: SetRoutesFresh) -> None:
        self._relay.set_routes_fresh(fresh=message.fresh)

    @reactions.add(LearnEra)
    def _learn_era(self, message: LearnEra) -> None:
        self._relay.learn_era(message.era, self._clock.now(), source=STORE)

    @reactions.add(UpdateAgents)
    def _update_agents(self, message: UpdateAgents) -> None:
        self._relay.update_agents(
            message.entries,
            self._clock.now(),
            position=message.position,
            as_of=message.as_of,
            next_read_seconds=message.next_read_seconds,
            peer=message.peer,
        )

    @reactions.add(UpdateEvacuations)
    def _update_evacuations(self, message: UpdateEvacuations) -> None:
        self._relay.update_evacuations(
            message.zones,
            self._clock.now(),
            position=message.position,
            peer=message.peer,
        )

    @reactions.add(CheckReadiness)
    def _reply_readiness(self, message: CheckReadiness) -> None:
        message.reply.put(self._check_readiness())

    @reactions.add(LeaveRotation)
    def _leave_rotation(self, message: LeaveRotation) -> None:
        if self._leaving:
            return
        self._leaving = True
        self._check_readiness()
        loop = asyncio.get_running_loop()
        loop.call_later(LEAVE_DELAY_SECONDS, self.tell, Stop())

    def _check_readiness(self) -> bool:
        ready = not self._leaving and self._relay.is_ready(self._clock.now())
        if ready != self._was_ready:
            self._was_ready = ready
            self._journal.log(
                'BBF0710',
                ready=ready,
                leaving=self._leaving,
                **self.describe_state(),
            )
        return ready

    def _receive_from_clients(self) -> None:
        now = self._clock.now()
        for datagram, _ in self._client_socket.receive(now):
            packet = decode_client_packet(datagram)
            if packet:
                self.guard(self._relay.handle_packet, packet, now)
            else:
                self._journal.count(packet.name)
        self._flush()

    def _receive_from_agents(self) -> None:
        now = self._clock.now()
        for datagram, address in self._agent_socket.receive(now):
            for encoded in split_datagram(datagram):
                self._handle_encoded(encoded, address, now)
        self._flush()

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

    def _tick(self) -> None:
        now = self._clock.now()
        self.guard(self._relay.tick, now)
        self._flush()
        self.guard(self._tell_era)
        self.guard(self._relist_outdated, now)
        loop = asyncio.get_running_loop()
        loop.call_later(TICK_INTERVAL_SECONDS, self._tick)

    def _relist_outdated(self, now: float) -> None:
        if now < self._relist_due:
            return
        self._tell_balancers()
        outdated = []
        if self._relay.routes_outdated(now):
            outdated.append(self._configuration_watch)
        if self._relay.agents_outdated(now):
            outdated.append(self._agent_watch)
        if self._evacuation_watch and self._relay.evacuations_outdated(now):
            outdated.append(self._evacuation_watch)
        for watch in outdated:
            self._relist_due = now + RELIST_INTERVAL_SECONDS
            watch.tell(Relist(reason='other balancers have a newer version'))

    def _tell_balancers(self) -> None:
        count = self._relay.estimate_balancers()
        if count == self._balancers:
            return
        self._balancers = count
        for watch in self._watches:
            watch.tell(SetBalancers(count=count))

    def _tell_era(self) -> None:
        era = self._relay.positions.era
        if era == self._told_era:
            return
        self._told_era = era
        for watch in self._watches:
            watch.tell(LearnEra(era=era))

    @property
    def _watches(self) -> tuple[Actor, ...]:
        watches = (
            self._configuration_watch,
            self._agent_watch,
            self._evacuation_watch,
        )
        return tuple(filter(None, watches))
