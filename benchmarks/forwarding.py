"""Measure the processor time of forwarding, relative to a bare relay loop.

Run ``python -m benchmarks.forwarding``.
"""

import asyncio
import os
import socket
import statistics
import sys
import time
from collections.abc import Callable

from bluebellfold.agents import (
    EnvelopeCodec,
    ReplyDatagram,
    Token,
    TokenSealer,
)
from bluebellfold.callers import (
    MAX_DATAGRAM_BYTES,
    AddressChanged,
    AddressTask,
)
from bluebellfold.collectors import NoTraces
from bluebellfold.core import (
    SERVING,
    SLOT,
    Endpoint,
    Key,
    Kind,
    Member,
    MonotonicClock,
)

HOST = '127.0.0.1'
DATAGRAM_BYTES = 1200
BURST = 50
ROUNDS = 200
MICROSECONDS = 1_000_000
KEYS = (Key(number=1, secret=bytes(16)),)
FLOWS = 100_000
MEMBERS = 7


def measure(fill: Callable[[], None], work: Callable[[], None]) -> float:
    """Return the median processor time per datagram, in microseconds."""
    spent = []
    for _ in range(ROUNDS):
        fill()
        started = time.process_time()
        work()
        spent.append(time.process_time() - started)
    return statistics.median(spent) / BURST * MICROSECONDS


def open_socket() -> socket.socket:
    """Return a bound UDP socket."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((HOST, 0))
    return opened


def empty_socket(sink: socket.socket) -> None:
    """Empty the receive buffer, so that the kernel can deliver to it."""
    for _ in range(BURST):
        try:
            sink.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return


class BareRelay:
    """Forward datagrams without processing them."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.receiving = open_socket()
        self.receiving.setblocking(False)
        self._sending = open_socket()
        self._target = target

    def relay(self) -> None:
        """Forward all datagrams that have arrived."""
        while True:
            try:
                datagram, _source = self.receiving.recvfrom(
                    MAX_DATAGRAM_BYTES,
                )
            except BlockingIOError:
                return
            self._sending.sendto(datagram, self._target)


def build_address(agent: Endpoint) -> AddressChanged:
    """Return an address whose service has MEMBERS members."""
    kind = Kind(
        name='order',
        number=1,
        service='counter',
        port=0,
        urgency=0,
        share=1,
        repeatable=False,
        holds=SLOT,
        queue_seconds=1,
        deadline_seconds=1,
        first_flights_per_second=1e9,
    )
    members = tuple(
        Member(
            name=f'counter-{number}',
            service=1,
            zone='wa-south-a',
            endpoint=agent.replace(port=agent.port + number),
            control_port=1,
            weight=1,
            state=SERVING,
            incarnation=1,
            sequence=1,
        )
        for number in range(MEMBERS)
    )
    return AddressChanged(
        kind=kind,
        service=1,
        members=members,
        candidates=2,
    )


def resident_kilobytes() -> int:
    """Return the resident memory of this process, in kilobytes."""
    with open('/proc/self/status', encoding='ascii') as status:
        for line in status:
            if line.startswith('VmRSS'):
                return int(line.split()[1])
    return 0


def print_figure(label: str, figure: object) -> None:
    """Print one figure."""
    sys.stdout.write(f'{label:58} {figure}\n')


async def run() -> None:
    """Measure all paths of a datagram in one process."""
    sink = open_socket()
    sink.setblocking(False)
    client = open_socket()
    agent = Endpoint(host=HOST, port=sink.getsockname()[1])
    relay = BareRelay(target=sink.getsockname())
    task = AddressTask(
        host=HOST,
        change=build_address(agent),
        token_keys=KEYS,
        envelope_keys=KEYS,
        traces=NoTraces(),
        clock=MonotonicClock(),
    )
    await task.open()
    client_side = task._client_socket.getsockname()
    agent_side = task._agent_socket.getsockname()
    sealer = TokenSealer(keys=KEYS)
    token = Token(agent=agent, address=1, service=1)

    def short(connection_id: bytes) -> bytes:
        padding = bytes(DATAGRAM_BYTES - 1 - len(connection_id))
        return b'\x40' + connection_id + padding

    def first_flight() -> bytes:
        padding = bytes(DATAGRAM_BYTES - 14)
        return b'\xc0\x00\x00\x00\x01\x08' + os.urandom(8) + padding

    def fill(target: tuple[str, int], make: Callable[[], bytes]) -> None:
        empty_socket(sink)
        for _ in range(BURST):
            client.sendto(make(), target)

    tokens = [short(sealer.seal(token)) for _ in range(BURST)]
    reply = EnvelopeCodec(keys=KEYS).encode(
        ReplyDatagram(
            address=1,
            client=agent,
            payload=bytes(DATAGRAM_BYTES),
        )
    )
    relay_address = relay.receiving.getsockname()
    bare = measure(
        lambda: fill(relay_address, lambda: tokens[0]),
        relay.relay,
    )
    by_token = measure(
        lambda: fill(client_side, lambda: tokens[0]),
        task._read_clients,
    )
    by_ranking = measure(
        lambda: fill(client_side, first_flight),
        task._read_clients,
    )
    by_reply = measure(
        lambda: fill(agent_side, lambda: reply),
        task._read_agents,
    )
    forged = measure(
        lambda: fill(client_side, lambda: short(os.urandom(20))),
        task._read_clients,
    )
    print_figure('bare relay, us a datagram', round(bare, 2))
    for label, figure in (
        ('by token', by_token),
        ('first flight, 7 members', by_ranking),
        ('answer', by_reply),
        ('forged token, dropped', forged),
    ):
        ratio = round(figure / bare, 2)
        print_figure(
            f'{label}, us a datagram', f'{figure:.2f} ({ratio} x bare)'
        )
    before = resident_kilobytes()
    for _ in range(FLOWS // BURST):
        fill(client_side, lambda: short(sealer.seal(token)))
        task._read_clients()
    print_figure('balancer resident before flows, KB', before)
    print_figure(
        f'balancer resident after {FLOWS} flows, KB', resident_kilobytes()
    )
    await task.close()


if __name__ == '__main__':
    asyncio.run(run())
