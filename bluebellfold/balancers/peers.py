"""Select the peers with which a process exchanges rows."""

from bisect import insort
from collections.abc import Iterable

import xxhash

from bluebellfold.core import LEFT, Endpoint, Member, Record, read_only

MAX_SEED_PEERS = 6
MAX_MEMBER_PEERS = 8
MAX_RANKED_MEMBERS = 32
MAX_ANNOUNCEMENT_TARGETS = 16
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 10.0
MAX_BACKOFFS = 64


class Backoff(Record):
    """Store when a failing peer may be retried, and the backoff."""

    __slots__ = ('_retry_at', '_seconds')

    retry_at: float = read_only('_retry_at')
    seconds: float = read_only('_seconds')

    def __init__(self, *, retry_at: float, seconds: float) -> None:
        self._retry_at = retry_at
        self._seconds = seconds


class RankedMember(Record):
    """Store a member's control endpoint and rank; lower ranks come first."""

    __slots__ = ('_endpoint', '_name', '_rank')

    endpoint: Endpoint = read_only('_endpoint')
    name: str = read_only('_name')
    rank: int = read_only('_rank')

    def __init__(self, *, rank: int, name: str, endpoint: Endpoint) -> None:
        self._rank = rank
        self._name = name
        self._endpoint = endpoint


def control_endpoint(member: Member) -> Endpoint:
    """Return the endpoint of the member for control calls."""
    return Endpoint(host=member.endpoint.host, port=member.control_port)


class PeerSelector:
    """Select a bounded, stable set of peers from seeds and nearby members.

    Each process ranks the others by a hash of both endpoints, so that the
    selections are evenly distributed and rarely change. Nearby members are
    those of the same service or zone; ``service`` is None for a balancer.
    """

    __slots__ = (
        '_backoffs',
        '_own',
        '_ranked',
        '_seeds',
        '_service',
        '_truncated',
        '_zone',
    )

    def __init__(
        self,
        *,
        own: Endpoint,
        seeds: Iterable[Endpoint],
        zone: str,
        service: int | None = None,
    ) -> None:
        self._own = own
        self._zone = zone
        self._service = service
        others = (seed for seed in seeds if seed != own)
        self._seeds = tuple(sorted(others, key=self._rank))
        self._ranked: list[RankedMember] = []
        self._truncated = False
        self._backoffs: dict[Endpoint, Backoff] = {}

    @property
    def announcement_targets(self) -> tuple[Endpoint, ...]:
        """Return the seeds to which announcements are sent directly."""
        return self._seeds[:MAX_ANNOUNCEMENT_TARGETS]

    def update_members(
        self, changed: Iterable[Member], *, table: Iterable[Member]
    ) -> None:
        """Update the ranking of nearby members with changed rows.

        ``table`` is used if fewer than MAX_MEMBER_PEERS members remain in a
        ranking that was truncated.
        """
        for member in changed:
            self._update_member(member)
        if self._truncated and len(self._ranked) < MAX_MEMBER_PEERS:
            self._truncated = False
            for known in table:
                self._update_member(known)

    def available(self, *, now: float) -> tuple[Endpoint, ...]:
        """Return the selected peers without those in backoff."""
        seeds = [seed for seed in self._seeds if self._is_available(seed, now)]
        members = [
            ranked.endpoint
            for ranked in self._ranked
            if self._is_available(ranked.endpoint, now)
        ]
        chosen = seeds[:MAX_SEED_PEERS] + members[:MAX_MEMBER_PEERS]
        return tuple(dict.fromkeys(chosen))

    def record_failure(
        self, peer: Endpoint, *, jitter: float, now: float
    ) -> bool:
        """Start or extend the peer's backoff; return whether it had none.

        ``jitter`` is from 0 to 1.
        """
        last = self._backoffs.pop(peer, None)
        seconds = MIN_BACKOFF_SECONDS
        if last is not None:
            seconds = min(last.seconds * 2, MAX_BACKOFF_SECONDS)
        wait = seconds * (1 + jitter) / 2
        self._backoffs[peer] = Backoff(retry_at=now + wait, seconds=seconds)
        if len(self._backoffs) > MAX_BACKOFFS:
            self._backoffs.pop(next(iter(self._backoffs)))
        return last is None

    def record_success(self, peer: Endpoint) -> None:
        """Reset the peer's backoff."""
        self._backoffs.pop(peer, None)

    def _update_member(self, member: Member) -> None:
        self._ranked = [
            ranked for ranked in self._ranked if ranked.name != member.name
        ]
        endpoint = control_endpoint(member)
        nearby = member.zone == self._zone or member.service == self._service
        if member.state == LEFT or endpoint == self._own or not nearby:
            return
        ranked = RankedMember(
            rank=self._rank(endpoint),
            name=member.name,
            endpoint=endpoint,
        )
        insort(self._ranked, ranked, key=_rank_of)
        if len(self._ranked) > MAX_RANKED_MEMBERS:
            self._ranked.pop()
            self._truncated = True

    def _is_available(self, peer: Endpoint, now: float) -> bool:
        backoff = self._backoffs.get(peer)
        return backoff is None or backoff.retry_at <= now

    def _rank(self, peer: Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f'{self._own} {peer}'.encode())


def _rank_of(ranked: RankedMember) -> int:
    return ranked.rank
