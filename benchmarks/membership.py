"""Measure the memory, processor time and traffic of the member table."""

import sys
import time
import tracemalloc
from collections.abc import Iterator
from random import Random

from bluebellfold.balancers import codec, swap_codec
from bluebellfold.balancers import control_pb2 as wire
from bluebellfold.balancers.membership import MemberTable
from bluebellfold.balancers.peers import PeerSelector
from bluebellfold.balancers.replica import Replica
from bluebellfold.balancers.rows import MemberRow
from bluebellfold.balancers.swaps import SwapRequest
from bluebellfold.core import SERVING, Endpoint, Member, Sentinel

SIZES = (1_000, 4_000, 12_000, 28_000)
CHANGES = (0, 1, 10, 100)
MICROSECONDS = 1e6
MS_PER_SECOND = 1e3
HOST = '127.0.0.1'


def build_members(count: int) -> Iterator[Member]:
    """Return members that were encoded and decoded as on the wire."""
    for number in range(count):
        octets = (number >> 16, number >> 8 & 255, number & 255)
        host = '10.{0}.{1}.{2}'.format(*octets)
        member = Member(
            name=f'upstream-{number}',
            service=number % 200,
            zone=f'wa-south-{number % 7}',
            endpoint=Endpoint(host=host, port=7000),
            control_port=8000,
            weight=1.0,
            state=SERVING,
            incarnation=1_700_000_000_000 + number,
            sequence=1,
        )
        encoded = codec.encode_row(MemberRow(member=member))
        read = wire.MemberRow.FromString(encoded.SerializeToString())
        yield codec.decode_row(read).member


def build_replica(members: tuple[Member, ...]) -> Replica:
    """Return a replica with the members."""
    own = Endpoint(host=HOST, port=1)
    peers = PeerSelector(own=own, seeds=(), zone='wa-south-0')
    replica = Replica(peers=peers, rng=Random(1), now=0)
    replica.merge([MemberRow(member=member) for member in members], now=0)
    return replica


def time_per_call(function, repeats: int) -> float:
    """Return the mean processor time per call, in seconds."""
    start = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - start) / repeats


def print_table_costs(count: int) -> None:
    """Print the memory and processor times of a table with count members."""
    tracemalloc.start()
    table = MemberTable()
    table.merge(
        (MemberRow(member=member) for member in build_members(count)),
        now=0,
    )
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    members = table.members()
    rows = [MemberRow(member=member) for member in members]
    merged = time_per_call(lambda: MemberTable().merge(rows, now=0), 1) / count
    again = time_per_call(lambda: table.merge(rows, now=0), 1) / count
    digest = time_per_call(lambda: table.rows.bucket_hashes, 100)
    listed = time_per_call(table.members, 10)
    summary = table.rows.summarize(1)
    delta = time_per_call(lambda: table.rows.rows_not_in(summary), 100)
    print(
        f'{count:>7} {held / 1e6:>8.2f} {held / count:>9.0f}'
        f' {merged * MICROSECONDS:>9.2f} {again * MICROSECONDS:>10.2f}'
        f' {digest * MICROSECONDS:>10.1f} {delta * MICROSECONDS:>9.1f}'
        f' {listed * MS_PER_SECOND:>10.2f}',
    )


def print_swap_costs(members: tuple[Member, ...], changed: int) -> None:
    """Print the cost of a swap with a replica that has changed rows."""
    rng = Random(changed)
    newer_rows = [
        MemberRow(member=member.replace(sequence=member.sequence + 1))
        for member in rng.sample(members, changed)
    ]
    newer_replica = build_replica(members)
    newer_replica.merge(newer_rows, now=0)
    swap = Swap(initiator=build_replica(members), responder=newer_replica)
    swap.print_costs(len(members), str(changed))


def print_full_swap_costs(members: tuple[Member, ...]) -> None:
    """Print the cost of a swap that starts with an empty replica."""
    swap = Swap(initiator=build_replica(()), responder=build_replica(members))
    swap.print_costs(len(members), 'all')


class Swap:
    """Measure the swaps until two replicas hold the same rows."""

    def __init__(self, *, initiator: Replica, responder: Replica) -> None:
        self._initiator = initiator
        self._responder = responder
        self._rounds = 0
        self._bytes = 0

    def print_costs(self, members: int, changed: str) -> None:
        """Print rounds, bytes in both directions and time of both ends."""
        start = time.process_time()
        request = self._initiator.begin_comparison(now=0)
        while request:
            request = self._call(request)
        seconds = time.process_time() - start
        print(
            f'{members:>7} {changed:>8} {self._rounds:>7} {self._bytes:>9}'
            f' {seconds * MS_PER_SECOND:>8.2f}',
        )

    def _call(self, request: SwapRequest) -> SwapRequest | Sentinel:
        encoded = swap_codec.encode_request(request, site='s')
        request_bytes = encoded.SerializeToString()
        received = swap_codec.decode_request(
            wire.SwapRequest.FromString(request_bytes)
        )
        self._responder.merge(received.rows, now=0)
        response = self._responder.respond(received, now=0)
        response_bytes = swap_codec.encode_response(
            response
        ).SerializeToString()
        received_response = swap_codec.decode_response(
            wire.SwapAnswer.FromString(response_bytes)
        )
        self._initiator.merge(received_response.rows, now=0)
        self._rounds += 1
        self._bytes += len(request_bytes) + len(response_bytes)
        return self._initiator.continue_comparison(received_response, now=0)


def main() -> None:
    """Print all figures."""
    print(f'CPython {sys.version.split()[0]}, processor time, one process')
    print()
    print('members       MB  B/member  merge µs  again µs', end='')
    print('  digest µs  delta µs   list ms')
    for count in SIZES:
        print_table_costs(count)
    print()
    print('members  changed  rounds     bytes  both ms')
    for count in SIZES:
        members = tuple(build_members(count))
        for changed in CHANGES:
            print_swap_costs(members, changed)
        print_full_swap_costs(members)


if __name__ == '__main__':
    main()
