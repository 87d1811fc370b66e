"""Rank the agents of a service for a flow, identically on all balancers."""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate
from math import log
from operator import itemgetter

from xxhash import xxh3_64_intdigest

from bluebellfold.core import DRAINING, SERVING, Endpoint, Member

# Larger rankings use the trie instead of a score for each member.
MAX_SCORED_MEMBERS = 64
MAX_LEAF_MEMBERS = 8
# Draws beyond the number of wanted members, because a draw may repeat a member
# or find an excluded one.
EXTRA_DRAWS = 24
NO_ENDPOINTS: frozenset[Endpoint] = frozenset()

_HASH_BITS = 64
_HASH_MASK = (1 << _HASH_BITS) - 1
# A float has a 53-bit mantissa, so only the upper 53 bits of a hash are used.
_DROPPED_BITS = 11
_FLOAT_STEP = 1 / (1 << (_HASH_BITS - _DROPPED_BITS))
# 2**64 divided by the golden ratio, an odd number: the seeds for the draws of
# one flow are distinct and differ in high and low bits.
_DRAW_SEED_STEP = 0x9E3779B97F4A7C15


def _uniform(flow_key: bytes, seed: int) -> float:
    """Hash the key and the seed to a number in [0, 1)."""
    digest = xxh3_64_intdigest(flow_key, seed)
    return (digest >> _DROPPED_BITS) * _FLOAT_STEP


def _hash_of(member: Member) -> int:
    return xxh3_64_intdigest(str(member.endpoint).encode())


class _RendezvousRanking:
    """Rank members by weighted rendezvous hashing.

    Up to ``MAX_SCORED_MEMBERS`` members, each one is scored. Above that, a
    draw descends a binary trie over the hashes of the members: each node
    selects the left or right half by the weights below it, and the members
    of the leaf are scored. Further candidates are draws with other seeds. The
    trie is not stored: it is implied by the sorted hashes and the cumulative
    weights.
    """

    __slots__ = (
        '_cumulative_weights',
        '_excluded',
        '_excluded_positions',
        '_hashes',
        '_members',
    )

    def __init__(self, members: Iterable[Member]) -> None:
        hashed = [
            (_hash_of(member), member)
            for member in members
            if member.weight > 0
        ]
        hashed.sort(key=itemgetter(0))
        self._hashes = [digest for digest, _ in hashed]
        self._members = [member for _, member in hashed]
        weights = (member.weight for member in self._members)
        self._cumulative_weights = list(accumulate(weights, initial=0))
        self._excluded = NO_ENDPOINTS
        self._excluded_positions: frozenset[int] = frozenset()

    def rank(
        self, flow_key: bytes, count: int, excluded: frozenset[Endpoint]
    ) -> list[Member]:
        """Return up to ``count`` members that are not excluded, best first."""
        self._set_excluded(excluded)
        if len(self._members) <= MAX_SCORED_MEMBERS:
            chosen = self._rank_all(flow_key, count)
        else:
            chosen = self._rank_by_draws(flow_key, count)
        return [self._members[position] for position in chosen]

    def _set_excluded(self, excluded: frozenset[Endpoint]) -> None:
        # The positions are cached, because the set changes far less often than
        # flows arrive.
        if excluded is self._excluded:
            return
        self._excluded = excluded
        self._excluded_positions = frozenset(
            position
            for position, member in enumerate(self._members)
            if member.endpoint in excluded
        )

    def _rank_all(self, flow_key: bytes, count: int) -> list[int]:
        scored = sorted(
            (self._score(flow_key, position, 0), position)
            for position in range(len(self._members))
            if position not in self._excluded_positions
        )
        return [position for _, position in scored[:count]]

    def _rank_by_draws(self, flow_key: bytes, count: int) -> list[int]:
        chosen: list[int] = []
        position = 0
        for draw in range(count + EXTRA_DRAWS):
            if len(chosen) >= count:
                break
            position = self._draw(flow_key, draw)
            if position in chosen or position in self._excluded_positions:
                continue
            chosen.append(position)
        # If all draws found excluded members, take the next other member.
        return chosen or self._find_next(position)

    def _find_next(self, position: int) -> list[int]:
        total = len(self._members)
        for step in range(total):
            candidate = (position + step) % total
            if candidate not in self._excluded_positions:
                return [candidate]
        return []

    def _draw(self, flow_key: bytes, draw: int) -> int:
        seed = draw * _DRAW_SEED_STEP & _HASH_MASK
        cumulative_weights = self._cumulative_weights
        low = 0
        high = len(self._members)
        prefix = 0
        half = 1 << (_HASH_BITS - 1)
        while high - low > MAX_LEAF_MEMBERS and half:
            boundary = prefix + half
            middle = bisect_left(self._hashes, boundary, low, high)
            point = _uniform(flow_key, boundary ^ seed) * (
                cumulative_weights[high] - cumulative_weights[low]
            )
            if point < cumulative_weights[middle] - cumulative_weights[low]:
                high = middle
            else:
                low = middle
                prefix = boundary
            half >>= 1
        return min(
            range(low, high),
            key=lambda position: self._score(flow_key, position, seed),
        )

    def _score(self, flow_key: bytes, position: int, seed: int) -> float:
        uniform = 1 - _uniform(flow_key, self._hashes[position] ^ seed)
        return -log(uniform) / self._members[position].weight


class Ranking:
    """Rank the members of one service; each change needs a new ranking.

    Rankings of the same members are equal regardless of the order of the
    members, and a change of one member moves few flows of the others.
    """

    __slots__ = ('_draining', '_serving')

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._serving = _RendezvousRanking(
            member for member in members if member.state == SERVING
        )
        self._draining = _RendezvousRanking(
            member for member in members if member.state == DRAINING
        )

    def rank(
        self,
        flow_key: bytes,
        count: int,
        excluded: frozenset[Endpoint] = NO_ENDPOINTS,
    ) -> tuple[Member, ...]:
        """Return up to ``count`` serving members for a new flow.

        Excluded members are returned only if there are no others.
        """
        ranked = self._serving.rank(flow_key, count, excluded)
        if not ranked and excluded:
            ranked = self._serving.rank(flow_key, count, NO_ENDPOINTS)
        return tuple(ranked)

    def rank_with_draining(
        self,
        flow_key: bytes,
        count: int,
        excluded: frozenset[Endpoint] = NO_ENDPOINTS,
    ) -> tuple[Member, ...]:
        """Return the ranking for a flow whose packets carry no token.

        Up to ``count`` draining members follow the serving ones, because one
        of them may own the flow.
        """
        draining = self._draining.rank(flow_key, count, NO_ENDPOINTS)
        return (*self.rank(flow_key, count, excluded), *draining)
