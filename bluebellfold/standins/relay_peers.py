"""Stand in for the client and the upstream of relayed flows."""

import asyncio
import itertools
import random
import socket
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bluebellfold.core import (
    Endpoint,
    Packet,
    client_host,
    pack_address,
)
from bluebellfold.core.datagrams import Address, DatagramSocket
from bluebellfold.platform import decode_packet
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    SERVICE,
    encode_packet,
    encode_returned_packet,
)

# The clients of the platform use the same times.
OPENING_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
RETRY_INTERVAL_SECONDS = 0.2
RESPONSE_TIMEOUT_SECONDS = 4.0
# Requests that an upstream runs at the same time, as it announces.
SLOTS = 2
MAX_FIRST_PORT = 60_000
PORT_COUNT = 65_536
SEQUENCE_COUNT = 1_000_000_000


class FlowResetError(Exception):
    """Report that a flow was reset."""


class StandinUpstream:
    """Respond to each request with the upstream's name and the request text."""

    def __init__(
        self, *, name: str, endpoint: Endpoint, outbound: Endpoint
    ) -> None:
        self.name = name
        self.accepts_flows = True
        self.is_listening = True
        self.loses_next_opening = False
        self.on_request: Callable[[bytes, str], None] | None = None
        self.requests: list[bytes] = []
        self.opened_flows: list[bytes] = []
        # When the opening packet of each flow was first received.
        self.opening_times: list[float] = []
        # How long a request takes, by the port of its route; 0 if missing.
        self.work_seconds: Mapping[int, float] = MappingProxyType({})
        self._received_openings: set[bytes] = set()
        # When each slot has finished the requests that wait for it.
        self._slots_free_at = [float(0) for _ in range(SLOTS)]
        self._unfinished: set[bytes] = set()
        self._outbound = (outbound.host, outbound.port)
        self._socket = DatagramSocket(endpoint=endpoint)
        self._sequences: dict[bytes, int] = {}
        self._request_texts: dict[bytes, dict[int, bytes]] = {}
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Close the socket; packets to it are refused from now on."""
        if not self.is_listening:
            return
        self.is_listening = False
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def discard_flows(self) -> None:
        """Discard all flows, as a restart does."""
        self._sequences.clear()
        self._request_texts.clear()
        self._received_openings.clear()

    def has_flow(self, flow: bytes) -> bool:
        """Return whether a flow is open at this upstream."""
        return self.is_listening and flow in self._request_texts

    def has_accepted(self, flow: bytes) -> bool:
        """Return whether a flow is open or half open at this upstream."""
        return self.is_listening and flow in self._sequences

    def _read(self) -> None:
        for raw, _ in self._socket.receive(time.monotonic()):
            packet = decode_packet(raw, from_client=True)
            if packet.opens and self.accepts_flows:
                self._accept(packet)
            elif packet.flow in self._sequences:
                self._respond(packet)
            else:
                self._return_packet(packet)

    def _accept(self, packet: Packet) -> None:
        if packet.flow not in self._received_openings:
            self._received_openings.add(packet.flow)
            self.opening_times.append(time.monotonic())
        if self.loses_next_opening:
            self.loses_next_opening = False
            return
        sequence = self._sequences.setdefault(
            packet.flow, random.randrange(SEQUENCE_COUNT)
        )
        self._send(packet, flags=OPEN | ACKNOWLEDGE, sequence=sequence)

    def _respond(self, packet: Packet) -> None:
        if packet.flow not in self._request_texts:
            expected = self._sequences[packet.flow] + 1
            if packet.acknowledged != expected:
                self._return_packet(packet)
                return
            self._request_texts[packet.flow] = {}
            self.opened_flows.append(packet.flow)
        if not packet.payload_bytes:
            return
        texts = self._request_texts[packet.flow]
        if packet.sequence not in texts:
            text = packet.raw[-packet.payload_bytes :]
            self.requests.append(text)
            if self.on_request is not None:
                self.on_request(text, self.name)
            texts[packet.sequence] = text
            self._work(packet, texts)
        elif packet.flow not in self._unfinished:
            self._send_response(packet, texts)

    def _work(self, packet: Packet, texts: dict[int, bytes]) -> None:
        """Respond when a slot has run the request."""
        port = int.from_bytes(packet.flow[:2])
        seconds = self.work_seconds.get(port, 0)
        if not seconds:
            self._send_response(packet, texts)
            return
        now = time.monotonic()
        slot = self._slots_free_at.index(min(self._slots_free_at))
        finished_at = max(now, self._slots_free_at[slot]) + seconds
        self._slots_free_at[slot] = finished_at
        self._unfinished.add(packet.flow)
        asyncio.get_running_loop().call_later(
            finished_at - now, self._finish, packet, texts
        )

    def _finish(self, packet: Packet, texts: dict[int, bytes]) -> None:
        self._unfinished.discard(packet.flow)
        if self.is_listening:
            self._send_response(packet, texts)

    def _send_response(self, packet: Packet, texts: dict[int, bytes]) -> None:
        # The responses on a flow follow each other in its sequence numbers.
        sequence = self._sequences[packet.flow] + 1
        for request_sequence, text in texts.items():
            body = f'{self.name}:'.encode() + text
            if request_sequence == packet.sequence:
                self._send(
                    packet, flags=ACKNOWLEDGE, sequence=sequence, payload=body
                )
                return
            sequence += len(body)

    def _return_packet(self, packet: Packet) -> None:
        raw = encode_returned_packet(packet, tag=packet.tag)
        self._socket.send_to(raw, self._outbound)

    def _send(self, packet: Packet, **fields) -> None:
        flow = packet.flow
        client = (client_host(flow), int.from_bytes(flow[6:8]))
        raw = encode_packet(
            source=(socket.inet_ntoa(flow[2:6]), int.from_bytes(flow[:2])),
            destination=client,
            acknowledged=packet.sequence,
            **fields,
        )
        self._socket.send_to(raw, self._outbound)


class StandinClient:
    """Open flows through balancers and receive their packets."""

    def __init__(
        self, *, host: str, port: int, route: Callable[[], Address]
    ) -> None:
        self._host = host
        self._route = route
        self._socket = DatagramSocket(endpoint=Endpoint(host=host, port=port))
        self._flows: dict[int, StandinFlow] = {}
        self._is_open = True
        # Ports are not reused: a reused port would give the key of an
        # earlier flow.
        self._source_ports = itertools.count(
            random.randrange(1024, MAX_FIRST_PORT)
        )
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Close the socket."""
        if not self._is_open:
            return
        self._is_open = False
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def send_raw(self, raw: bytes, address: Address) -> None:
        """Send arbitrary bytes to an address."""
        self._socket.send_to(raw, address)

    async def open(self, *, destination: Address = SERVICE) -> 'StandinFlow':
        """Open a flow, or raise TimeoutError or FlowResetError."""
        flow = self.create_flow(destination=destination)
        await flow.open()
        return flow

    def create_flow(self, *, destination: Address = SERVICE) -> 'StandinFlow':
        """Return a new flow that is not open yet."""
        port = next(self._source_ports) % PORT_COUNT
        flow = StandinFlow(
            source=(self._host, port),
            destination=destination,
            send=self._send,
        )
        self._flows[port] = flow
        return flow

    def _send(self, raw: bytes) -> None:
        self._socket.send_to(raw, self._route())

    def _read(self) -> None:
        for raw, _ in self._socket.receive(time.monotonic()):
            packet = decode_packet(raw, from_client=False)
            port = int.from_bytes(packet.flow[6:8])
            flow = self._flows.get(port)
            if flow is not None:
                flow.handle_packet(packet)


class StandinFlow:
    """Send the requests of one flow of a client, one at a time."""

    def __init__(
        self,
        *,
        source: Address,
        destination: Address,
        send: Callable[[bytes], None],
    ) -> None:
        self._source = source
        self._destination = destination
        self._send = send
        self._sequence = 1
        self._acknowledged = 0
        self._inbox: asyncio.Queue[Packet] = asyncio.Queue()

    @property
    def source(self) -> Address:
        """Return the address and port of the flow at the client."""
        return self._source

    @property
    def key(self) -> bytes:
        """Return the key of the flow."""
        return pack_address(*self._destination) + pack_address(*self._source)

    def handle_packet(self, packet: Packet) -> None:
        """Add a packet from the upstream to the inbox."""
        self._inbox.put_nowait(packet)

    async def open(self) -> None:
        """Send the opening packet and repeat it until the upstream accepts.

        Raises TimeoutError or FlowResetError.
        """
        attempt = 0
        while attempt < len(OPENING_TIMEOUTS_SECONDS):
            self._send_packet(flags=OPEN, acknowledged=attempt)
            response = await self._receive(OPENING_TIMEOUTS_SECONDS[attempt])
            if response is not None and response.accepts:
                self._acknowledged = response.sequence + 1
                return
            attempt += 1
        raise TimeoutError('no upstream accepted the flow')

    async def send_request(self, text: bytes) -> bytes:
        """Send a request, repeat it until the response arrives, return that."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            response = None
            while response is None or not _is_response_to(response, text):
                if response is None:
                    self._send_packet(
                        flags=ACKNOWLEDGE,
                        acknowledged=self._acknowledged,
                        payload=text,
                    )
                response = await self._receive(RETRY_INTERVAL_SECONDS)
        self._sequence += len(text)
        return response.raw[-response.payload_bytes :]

    def _send_packet(self, **fields) -> None:
        self._send(
            encode_packet(
                source=self._source,
                destination=self._destination,
                sequence=self._sequence,
                **fields,
            )
        )

    async def _receive(self, seconds: float) -> Packet | None:
        try:
            async with asyncio.timeout(seconds):
                packet = await self._inbox.get()
        except TimeoutError:
            return None
        if packet.resets:
            raise FlowResetError
        return packet


def _is_response_to(packet: Packet, text: bytes) -> bool:
    return bool(packet.payload_bytes) and packet.raw.endswith(text)
