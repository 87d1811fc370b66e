"""Compare methods to rank agents, by processor time and by flows moved.

Run ``python -m benchmarks.ranking``.
"""

import math
import operator
import time
from typing import Any

from xxhash import xxh3_64_intdigest

from bluebellfold.agents import Ranking
from bluebellfold.core import SERVING, Endpoint, Member, Registry

SIZES = (7, 64, 65, 1000, 28_000)
FLOWS = 2000
SCORED_FLOWS = 20
CANDIDATES = 2
ADDED_FRACTION = 0.02
SLOTS_PER_MEMBER = 4
HASH_RANGE = 1 << 64

METHODS: Registry[str, type[Any]] = Registry(name='ranking methods')


@METHODS.add('score every member')
class ScoreEveryMember:
    """Rank by weighted rendezvous hashing over all members."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._seeds = [
            (xxh3_64_intdigest(member.name.encode()), member)
            for member in members
        ]

    def rank(self, flow_key: bytes) -> list[str]:
        """Return the names of the best candidates."""
        scored = []
        for seed, member in self._seeds:
            uniform = (xxh3_64_intdigest(flow_key, seed) + 1) / HASH_RANGE
            scored.append((-math.log(uniform) / member.weight, member.name))
        scored.sort()
        return [name for _, name in scored[:CANDIDATES]]


@METHODS.add('slot table')
class SlotTable:
    """Rank by random probes of a sparse hash table, for equal weights."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._size = 1 << (len(members) * SLOTS_PER_MEMBER - 1).bit_length()
        self._names: dict[int, str] = {}
        for name in sorted(member.name for member in members):
            slot = xxh3_64_intdigest(name.encode()) % self._size
            while slot in self._names:
                slot = (slot + 1) % self._size
            self._names[slot] = name

    def rank(self, flow_key: bytes) -> list[str]:
        """Return the names of the first candidates found by the probes."""
        chosen: list[str] = []
        probe = 0
        while len(chosen) < CANDIDATES:
            slot = xxh3_64_intdigest(flow_key, probe) % self._size
            name = self._names.get(slot)
            probe += 1
            if name and name not in chosen:
                chosen.append(name)
        return chosen


@METHODS.add('Ranking')
class BalancerRanking:
    """Rank with the Ranking class of the balancers."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._ranking = Ranking(members)

    def rank(self, flow_key: bytes) -> list[str]:
        """Return the names of the best candidates."""
        ranked = self._ranking.rank(flow_key, CANDIDATES)
        return [member.name for member in ranked]


def compare_methods() -> None:
    """Print the processor time and the flows moved for each method."""
    print(
        '| way | members | build ms | rank µs | moved, in shares of the added |'
    )
    print('|---|---|---|---|---|')
    for method in METHODS:
        for size in SIZES:
            print(_row(method, size), flush=True)


def _row(name: str, size: int) -> str:
    method = METHODS.find(name)
    is_slow = method is ScoreEveryMember and size > 1000
    flows = SCORED_FLOWS if is_slow else FLOWS
    keys = [number.to_bytes(8, 'big') for number in range(flows)]
    members = _members(size)
    started = time.process_time()
    ranking = method(members)
    built = time.process_time()
    primaries = [ranking.rank(key)[0] for key in keys]
    ranked = time.process_time()
    added = math.ceil(size * ADDED_FRACTION)
    grown = method(_members(size + added))
    new_primaries = [grown.rank(key)[0] for key in keys]
    moved = sum(map(operator.ne, primaries, new_primaries)) / flows
    figures = (
        f'{(built - started) * 1000:.1f}',
        f'{(ranked - built) * 1_000_000 / flows:.1f}',
        '' if is_slow else f'{moved * (size + added) / added:.1f}',
    )
    return f'| {name} | {size} | {" | ".join(figures)} |'


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(
            name=f'agent-{number}',
            service=1,
            zone='a',
            endpoint=Endpoint(
                host=f'127.0.{number >> 8}.{number & 255}', port=7000
            ),
            control_port=7001,
            weight=1,
            state=SERVING,
            incarnation=1,
            sequence=1,
        )
        for number in range(count)
    )


if __name__ == '__main__':
    compare_methods()
