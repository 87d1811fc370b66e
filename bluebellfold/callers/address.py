"""Forward datagrams between the clients of one address and its agents."""

import asyncio
import logging
import socket
import time

from bluebellfold.agents import (
    BalancerLeaving,
    ClientDatagram,
    EnvelopeCodec,
    FailureDetector,
    Probe,
    ProbeReply,
    ReplyDatagram,
    Token,
    TokenSealer,
)
from bluebellfold.callers.invariants import (
    PacketHeader,
    parse_packet_header,
    short_header_connection_id,
)
from bluebellfold.callers.messages import (
    AddressChanged,
    AnnounceLeaving,
    GetCounts,
    GetSuspicions,
    UpdateKeys,
)
from bluebellfold.callers.resets import StatelessResets
from bluebellfold.callers.routing import AGENT_GONE, Router
from bluebellfold.callers.sockets import (
    MAX_DATAGRAM_BYTES,
    READS_PER_WAKEUP,
    bind_datagram_socket,
)
from bluebellfold.callers.spans import first_flight_span
from bluebellfold.collectors import DropLog, Traces
from bluebellfold.core import (
    Actor,
    Clock,
    Count,
    Endpoint,
    Key,
    Registry,
    Sentinel,
    Tally,
)

PROBE_INTERVAL_SECONDS = 0.25

_log = logging.getLogger(__name__)


class AddressTask(Actor):
    """Own the client and agent sockets of an address.

    The task keeps no state per flow. It routes an established flow by the
    token in the connection id, and a first flight by ranking the members for
    the flow key.
    """

    reactions = Registry(name='reactions of an address task')

    def __init__(
        self,
        *,
        host: str,
        change: AddressChanged,
        token_keys: tuple[Key, ...],
        envelope_keys: tuple[Key, ...],
        traces: Traces,
        clock: Clock,
    ) -> None:
        kind = change.kind
        super().__init__(name=f'address-{kind.name}')
        self._host = host
        self._address = kind.number
        self._port = kind.port
        self._members = change.members
        self._clock = clock
        self._traces = traces
        self._drops = DropLog(logger=_log, clock=clock)
        self._token_sealer = TokenSealer(keys=token_keys)
        self._envelope_codec = EnvelopeCodec(keys=envelope_keys)
        self._failure_detector = FailureDetector()
        self._router = Router(
            change=change,
            failure_detector=self._failure_detector,
            now=clock.now(),
        )
        self._tally = Tally()
        self._resets = StatelessResets(now=clock.now())
        # Updated for every datagram, so kept as integers, not in the tally.
        self._forwarded = 0
        self._replies_sent = 0
        self._probe_timer: asyncio.TimerHandle | None = None
        self._client_socket: socket.socket | None = None
        self._agent_socket: socket.socket | None = None

    async def open(self) -> None:
        """Bind both sockets, or raise AddressInUseError."""
        self._client_socket = bind_datagram_socket(
            Endpoint(host=self._host, port=self._port),
        )
        self._agent_socket = bind_datagram_socket(
            Endpoint(host=self._host, port=0),
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._client_socket, self._read_clients)
        loop.add_reader(self._agent_socket, self._read_agents)

    async def close(self) -> None:
        """Close both sockets."""
        loop = asyncio.get_running_loop()
        for owned in (self._client_socket, self._agent_socket):
            loop.remove_reader(owned)
            owned.close()
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        await super().close()

    @reactions.add(AddressChanged)
    def _update_address(self, message: AddressChanged) -> None:
        self._members = message.members
        self._router.update(message, now=self._clock.now())

    @reactions.add(UpdateKeys)
    def _update_keys(self, message: UpdateKeys) -> None:
        self._token_sealer = TokenSealer(keys=message.token_keys)
        self._envelope_codec = EnvelopeCodec(keys=message.envelope_keys)

    @reactions.add(GetCounts)
    def _reply_with_counts(self, message: GetCounts) -> None:
        counts = (
            Count(name='answered', times=self._replies_sent),
            Count(name='forwarded', times=self._forwarded),
        )
        message.reply.put((*counts, *self._tally.counts()))

    @reactions.add(GetSuspicions)
    def _reply_with_suspicions(self, message: GetSuspicions) -> None:
        now = self._clock.now()
        message.reply.put(self._failure_detector.suspicions(now))

    @reactions.add(AnnounceLeaving)
    def _announce_leaving(self, _message: AnnounceLeaving) -> None:
        leaving = self._envelope_codec.encode(BalancerLeaving())
        for member in self._members:
            self._send_to_agent(leaving, member.endpoint)

    def _read_clients(self) -> None:
        for _ in range(READS_PER_WAKEUP):
            try:
                datagram, source = self._client_socket.recvfrom(
                    MAX_DATAGRAM_BYTES,
                )
            except OSError:
                return
            self._handle_client_datagram(datagram, source)

    def _handle_client_datagram(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        token = self._token_sealer.open(short_header_connection_id(datagram))
        if token:
            self._forward_by_token(datagram, source, token)
        else:
            self._forward_by_header(datagram, source)

    def _forward_by_header(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        header = parse_packet_header(datagram)
        if not header:
            self._drop(header)
            return
        token = self._token_sealer.open(header.connection_id)
        if token:
            self._forward_by_token(datagram, source, token)
        elif header.opens_flow:
            self._forward_first_flight(datagram, source, header)
        else:
            self._drop(token)

    def _forward_by_token(
        self,
        datagram: bytes,
        source: tuple[str, int],
        token: Token,
    ) -> None:
        agent = self._router.route_by_token(token)
        if not agent:
            self._drop(agent)
            if agent is AGENT_GONE:
                self._send_reset(datagram, source)
            return
        envelope = self._envelope_codec.encode_forwarded(
            self._address,
            source,
            datagram,
        )
        self._send_to_agent(envelope, agent)

    def _send_reset(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Send a stateless reset to the client of a flow that has ended."""
        connection_id = short_header_connection_id(datagram)
        if not connection_id:
            return
        reset = self._resets.build(
            datagram,
            self._token_sealer.reset_token(connection_id),
            now=self._clock.now(),
        )
        if reset:
            self._send_to_client(reset, source)

    def _forward_first_flight(
        self,
        datagram: bytes,
        source: tuple[str, int],
        header: PacketHeader,
    ) -> None:
        started_at = time.time()
        route = self._router.route_first_flight(header, now=self._clock.now())
        if not route:
            self._drop(route)
            return
        self._schedule_probes()
        message = ClientDatagram(
            address=self._address,
            client=Endpoint(host=source[0], port=source[1]),
            payload=datagram,
            candidates=route.candidates,
        )
        self._send_to_agent(self._envelope_codec.encode(message), route.agent)
        if self._traces.is_traced(header.connection_id):
            self._record_trace(header.connection_id, route.agent, started_at)

    def _record_trace(
        self,
        flow_key: bytes,
        agent: Endpoint,
        started_at: float,
    ) -> None:
        self._traces.record(
            first_flight_span(
                flow_key=flow_key,
                address=self._address,
                agent=agent,
                started_at=started_at,
            ),
        )

    def _read_agents(self) -> None:
        for _ in range(READS_PER_WAKEUP):
            try:
                datagram, source = self._agent_socket.recvfrom(
                    MAX_DATAGRAM_BYTES,
                )
            except OSError:
                return
            self._handle_agent_datagram(datagram, source)

    def _handle_agent_datagram(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        message = self._envelope_codec.decode(datagram)
        if isinstance(message, Sentinel):
            self._drop(message)
            return
        if self._failure_detector.has_pending:
            agent = Endpoint(host=source[0], port=source[1])
            self._failure_detector.record_received(agent, self._clock.now())
        if isinstance(message, ProbeReply):
            return
        if not isinstance(message, ReplyDatagram):
            self._tally.add('unexpected-message')
            return
        if message.address != self._address:
            self._tally.add('wrong-address')
            return
        client = message.client
        self._send_to_client(message.payload, (client.host, client.port))

    def _send_to_client(self, payload: bytes, client: tuple[str, int]) -> None:
        try:
            self._client_socket.sendto(payload, client)
        except OSError:
            self._tally.add('caller-send-failed')
            return
        self._replies_sent += 1

    def _send_to_agent(self, datagram: bytes, agent: Endpoint) -> None:
        try:
            self._agent_socket.sendto(datagram, (agent.host, agent.port))
        except OSError:
            self._tally.add('agent-send-failed')
            return
        self._forwarded += 1

    def _schedule_probes(self) -> None:
        if self._probe_timer is None:
            self._probe_timer = asyncio.get_running_loop().call_later(
                PROBE_INTERVAL_SECONDS,
                self._send_probes,
            )

    def _send_probes(self) -> None:
        self._probe_timer = None
        now = self._clock.now()
        probe = self._envelope_codec.encode(Probe())
        for agent in self._failure_detector.probes_due(now):
            self._send_to_agent(probe, agent)
        if self._failure_detector.suspected(now):
            self._schedule_probes()

    def _drop(self, reason: Sentinel) -> None:
        self._tally.add(reason.name)
        self._drops.log_drop(reason.name, address=self._address)
