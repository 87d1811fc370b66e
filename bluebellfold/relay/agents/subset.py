"""Select the agents of a service whose load a balancer follows.

Load pattern: each of many balancers follows each of many agents, and load
reports outnumber requests. A subset of fixed size per service keeps the number
of reports per process constant as the fleet grows. Each balancer ranks the
agents by a hash of its own identity, so subsets overlap evenly, and an agent
that joins or leaves changes at most one member of a subset.
"""

import zlib
from collections.abc import Iterable, Iterator
from itertools import chain, islice, zip_longest

from bluebellfold.relay.agents.agent_entry import Address, AgentEntry

# With the least loaded of this many agents, a balancer comes close to the
# choice among all agents, and small sites are followed as a whole.
SUBSET_SIZE = 8
_HASH_MASK = 0xFFFFFFFF
# An odd constant near 2**32 divided by the golden ratio, which spreads
# neighbouring values.
_MULTIPLIER = 0x9E3779B1
_SHIFT = 15


def hash_evenly(key: bytes) -> int:
    """Return a 32-bit hash, the same in each process.

    A CRC alone is linear: two balancers would rank the agents alike.

    >>> hash_evenly(b'a') == hash_evenly(b'a')
    True
    """
    mixed = zlib.crc32(key)
    for _ in range(2):
        mixed = (mixed ^ (mixed >> _SHIFT)) * _MULTIPLIER & _HASH_MASK
    return mixed ^ (mixed >> _SHIFT)


def hash_entry(entry: AgentEntry) -> int:
    """Return a 32-bit hash of all fields of an entry."""
    host, port = entry.address
    return hash_evenly(f'{host}:{port}|{entry.service}|{entry.zone}'.encode())


def rank_agent(identity: str, address: Address) -> int:
    """Return the rank of an agent at the balancer with an identity."""
    return hash_evenly(f'{identity}|{address[0]}:{address[1]}'.encode())


def select_subset(
    entries: Iterable[AgentEntry],
    *,
    identity: str,
    zone: str,
    size: int = SUBSET_SIZE,
) -> list[Address]:
    """Return the addresses of the subset of one service's agents.

    About half of them are in ``zone``, which is the balancer's own; the others
    alternate between the other zones.
    """
    ranked = sorted(
        (rank_agent(identity, entry.address), entry.address, entry.zone)
        for entry in entries
    )
    by_zone: dict[str, list[Address]] = {}
    for _, address, agent_zone in ranked:
        by_zone.setdefault(agent_zone, []).append(address)
    own = by_zone.pop(zone, [])
    # The zones come in the order of their first agents' ranks, which differs
    # between balancers.
    others = _alternate(by_zone.values())
    return list(islice(_alternate((own, others)), size))


def _alternate(groups: Iterable[Iterable[Address]]) -> Iterator[Address]:
    turns = zip_longest(*groups)
    return (address for address in chain.from_iterable(turns) if address)
