"""Stand in for the two ends of relayed flows: a client and an upstream."""

import asyncio
import itertools
import random
import socket
from collections.abc import Callable

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
    give_back,
    write_packet,
)

# As the clients of the platform do.
OPENING_PAUSES = (0.2, 0.4, 0.8)
RETRY_SECONDS = 0.2
ANSWER_SECONDS = 4.0
LARGEST_PORT = 60_000
PORTS = 65_536
SEQUENCES = 1_000_000_000


class FlowResetError(Exception):
    """Report a flow that was reset."""


class StandinUpstream:
    """Answer each request with its own name and the request's text."""

    def __init__(
        self, *, name: str, listens: Endpoint, outbound: Endpoint
    ) -> None:
        self.name = name
        self.accepts = True
        self.listens = True
        self.on_request: Callable[[bytes, str], None] | None = None
        self.requests: list[bytes] = []
        self.opened: list[bytes] = []
        self._outbound = (outbound.host, outbound.port)
        self._socket = DatagramSocket(endpoint=listens)
        self._sequences: dict[bytes, int] = {}
        self._answered: dict[bytes, dict[int, bytes]] = {}
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Stop to listen: packets are refused from now on."""
        if not self.listens:
            return
        self.listens = False
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def forget(self) -> None:
        """Lose all flows, as a restart does."""
        self._sequences.clear()
        self._answered.clear()

    def holds(self, flow: bytes) -> bool:
        """Tell whether a flow is open here."""
        return self.listens and flow in self._answered

    def _read(self) -> None:
        for raw, _ in self._socket.receive():
            packet = decode_packet(raw, from_client=True)
            if packet.opens and self.accepts:
                self._accept(packet)
            elif packet.flow in self._sequences:
                self._serve(packet)
            else:
                self._give_back(packet)

    def _accept(self, packet: Packet) -> None:
        sequence = self._sequences.setdefault(
            packet.flow, random.randrange(SEQUENCES)
        )
        self._send(packet, flags=OPEN | ACKNOWLEDGE, sequence=sequence)

    def _serve(self, packet: Packet) -> None:
        if packet.flow not in self._answered:
            expected = self._sequences[packet.flow] + 1
            if packet.acknowledged != expected:
                self._give_back(packet)
                return
            self._answered[packet.flow] = {}
            self.opened.append(packet.flow)
        if not packet.payload_bytes:
            return
        answers = self._answered[packet.flow]
        if packet.sequence not in answers:
            text = packet.raw[-packet.payload_bytes :]
            self.requests.append(text)
            if self.on_request is not None:
                self.on_request(text, self.name)
            answers[packet.sequence] = text
        body = f'{self.name}:'.encode() + answers[packet.sequence]
        self._send(packet, flags=ACKNOWLEDGE, payload=body)

    def _give_back(self, packet: Packet) -> None:
        raw = give_back(packet, tag=packet.tag)
        self._socket.send_to(raw, self._outbound)

    def _send(self, packet: Packet, **fields) -> None:
        flow = packet.flow
        client = (client_host(flow), int.from_bytes(flow[6:8]))
        raw = write_packet(
            source=(socket.inet_ntoa(flow[2:6]), int.from_bytes(flow[:2])),
            destination=client,
            acknowledged=packet.sequence,
            **fields,
        )
        self._socket.send_to(raw, self._outbound)


class StandinClient:
    """Open flows through balancers and send requests, one at a time."""

    def __init__(
        self, *, host: str, port: int, route: Callable[[], Address]
    ) -> None:
        self._host = host
        self._route = route
        self._socket = DatagramSocket(endpoint=Endpoint(host=host, port=port))
        self._flows: dict[int, StandinFlow] = {}
        self._is_open = True
        # A port that is used again would name an earlier flow.
        self._ports = itertools.count(random.randrange(1024, LARGEST_PORT))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Give the socket back."""
        if not self._is_open:
            return
        self._is_open = False
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def send_raw(self, raw: bytes, address: Address) -> None:
        """Send any bytes to any address."""
        self._socket.send_to(raw, address)

    async def open(self, *, destination: Address = SERVICE) -> 'StandinFlow':
        """Return an open flow, or raise TimeoutError or FlowResetError."""
        port = next(self._ports) % PORTS
        flow = StandinFlow(
            source=(self._host, port),
            destination=destination,
            send=self._send,
        )
        self._flows[port] = flow
        await flow.open()
        return flow

    def _send(self, raw: bytes) -> None:
        self._socket.send_to(raw, self._route())

    def _read(self) -> None:
        for raw, _ in self._socket.receive():
            packet = decode_packet(raw, from_client=False)
            port = int.from_bytes(packet.flow[6:8])
            flow = self._flows.get(port)
            if flow is not None:
                flow.take(packet)


class StandinFlow:
    """Hold one flow of the client."""

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
        self._came: asyncio.Queue[Packet] = asyncio.Queue()

    @property
    def source(self) -> Address:
        """Return the flow's address and port at the client."""
        return self._source

    @property
    def key(self) -> bytes:
        """Return the flow's key."""
        return pack_address(*self._destination) + pack_address(*self._source)

    def take(self, packet: Packet) -> None:
        """Take a packet of the upstream."""
        self._came.put_nowait(packet)

    async def open(self) -> None:
        """Send the opening packet and its copies."""
        attempt = 0
        while attempt < len(OPENING_PAUSES):
            self._write(flags=OPEN, acknowledged=attempt)
            answer = await self._wait(OPENING_PAUSES[attempt])
            if answer is not None and answer.accepts:
                self._acknowledged = answer.sequence + 1
                return
            attempt += 1
        raise TimeoutError('no upstream answered')

    async def ask(self, text: bytes) -> bytes:
        """Return the answer to one request, sent again until it comes."""
        async with asyncio.timeout(ANSWER_SECONDS):
            answer = None
            while answer is None or not _answers(answer, text):
                if answer is None:
                    self._write(
                        flags=ACKNOWLEDGE,
                        acknowledged=self._acknowledged,
                        payload=text,
                    )
                answer = await self._wait(RETRY_SECONDS)
        self._sequence += len(text)
        return answer.raw[-answer.payload_bytes :]

    def _write(self, **fields) -> None:
        self._send(
            write_packet(
                source=self._source,
                destination=self._destination,
                sequence=self._sequence,
                **fields,
            )
        )

    async def _wait(self, seconds: float) -> Packet | None:
        try:
            async with asyncio.timeout(seconds):
                packet = await self._came.get()
        except TimeoutError:
            return None
        if packet.resets:
            raise FlowResetError
        return packet


def _answers(packet: Packet, text: bytes) -> bool:
    return bool(packet.payload_bytes) and packet.raw.endswith(text)
