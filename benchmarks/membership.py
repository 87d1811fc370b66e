"""Print what the member table costs in memory, time and bytes."""

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
MILLISECONDS = 1e3
HOST = '127.0.0.1'


def build_members(count: int) -> Iterator[Member]:
    """Return members as they come off the wire."""
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
    """Return a replica that holds the members."""
    own = Endpoint(host=HOST, port=1)
    peers = PeerSelector(own=own, seeds=(), zone='wa-south-0')
    replica = Replica(peers=peers, rng=Random(1), now=0)
    replica.merge([MemberRow(member=member) for member in members], now=0)
    return replica


def time_of(work, repeats: int) -> float:
    """Return the processor time of one call, in seconds."""
    start = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - start) / repeats


def print_table_costs(count: int) -> None:
    """Print memory and times of a table of this many members."""
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
    merged = time_of(lambda: MemberTable().merge(rows, now=0), 1) / count
    again = time_of(lambda: table.merge(rows, now=0), 1) / count
    digest = time_of(lambda: table.rows.bucket_hashes, 100)
    listed = time_of(table.members, 10)
    summary = table.rows.summarize(1)
    delta = time_of(lambda: table.rows.rows_not_in(summary), 100)
    print(
        f'{count:>7} {held / 1e6:>8.2f} {held / count:>9.0f}'
        f' {merged * MICROSECONDS:>9.2f} {again * MICROSECONDS:>10.2f}'
        f' {digest * MICROSECONDS:>10.1f} {delta * MICROSECONDS:>9.1f}'
        f' {listed * MILLISECONDS:>10.2f}',
    )


def print_swap_costs(members: tuple[Member, ...], changed: int) -> None:
    """Print bytes, rounds and time of a swap with changed rows."""
    rng = Random(changed)
    newer = [
        MemberRow(member=member.replace(sequence=member.sequence + 1))
        for member in rng.sample(members, changed)
    ]
    ahead = build_replica(members)
    ahead.merge(newer, now=0)
    swap = Swap(caller=build_replica(members), answerer=ahead)
    swap.print_costs(len(members), str(changed))


def print_relearning_costs(members: tuple[Member, ...]) -> None:
    """Print bytes, rounds and time of a swap that starts from nothing."""
    swap = Swap(caller=build_replica(()), answerer=build_replica(members))
    swap.print_costs(len(members), 'all')


class Swap:
    """Swap until two replicas are in step, and measure it."""

    def __init__(self, *, caller: Replica, answerer: Replica) -> None:
        self._caller = caller
        self._answerer = answerer
        self._rounds = 0
        self._bytes = 0

    def print_costs(self, members: int, changed: str) -> None:
        """Print bytes of both ways, rounds and time of both ends."""
        start = time.process_time()
        request = self._caller.compare(now=0)
        while request:
            request = self._call(request)
        seconds = time.process_time() - start
        print(
            f'{members:>7} {changed:>8} {self._rounds:>7} {self._bytes:>9}'
            f' {seconds * MILLISECONDS:>8.2f}',
        )

    def _call(self, request: SwapRequest) -> SwapRequest | Sentinel:
        encoded = swap_codec.encode_request(request, site='s')
        asked = encoded.SerializeToString()
        taken = swap_codec.decode_request(wire.SwapRequest.FromString(asked))
        self._answerer.merge(taken.rows, now=0)
        answer = self._answerer.respond(taken, now=0)
        told = swap_codec.encode_response(answer).SerializeToString()
        heard = swap_codec.decode_response(wire.SwapAnswer.FromString(told))
        self._caller.merge(heard.rows, now=0)
        self._rounds += 1
        self._bytes += len(asked) + len(told)
        return self._caller.continue_comparison(heard, now=0)


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
        print_relearning_costs(members)


if __name__ == '__main__':
    main()
