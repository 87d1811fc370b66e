"""Select the agent that accepts a new flow received by its primary."""

from collections.abc import Callable, Iterable
from itertools import accumulate

from xxhash import xxh3_64_intdigest

from bluebellfold.agents.loads import UNKNOWN_LOAD, LoadTable
from bluebellfold.core import (
    SERVING,
    Endpoint,
    Load,
    Member,
    Record,
    Registry,
    Sentinel,
    read_only,
)

DEFAULT_POLICY = 'below-level'
# A warm primary keeps a flow while it holds at most this many flows more than
# the mean load gives it.
MAX_EXCESS_FLOWS = 0.5
# Fraction of connections in use from which a member is full.
FULL_FRACTION = 1.0
# Sent by a primary that accepts no flows, so that any agent that accepts flows
# is less full.
UNLIMITED_FILL = float('inf')
NO_ENDPOINTS: frozenset[Endpoint] = frozenset()

# Makes the draw differ from the hashes of the same flow key in a ranking.
_DRAW_SEED = 0x706C6163
_HASH_BITS = 64
_HASH_RANGE = 1 << _HASH_BITS

NO_CANDIDATE = Sentinel(
    name='no-candidate',
    reason='no agent of the service accepts new flows',
)


class Candidate(Record):
    """Describe a member that can accept a flow, and its known load.

    ``capacity`` is the usable part of the member's weight; ``load`` includes
    the flows assigned to the member since its last report.
    """

    __slots__ = ('_capacity', '_is_primary', '_load', '_member')

    capacity: float = read_only('_capacity')
    is_primary: bool = read_only('_is_primary')
    load: Load | Sentinel = read_only('_load')
    member: Member = read_only('_member')

    def __init__(
        self, *, member: Member, load: Load | Sentinel, is_primary: bool
    ) -> None:
        self._member = member
        self._load = load
        self._is_primary = is_primary
        usable = load.usable if load else 1
        self._capacity = member.weight * usable

    @property
    def fill(self) -> float:
        """Return the flows per unit of capacity after one more flow.

        The new flow is counted, because it takes a larger part of a small
        capacity.
        """
        return (self.flows + 1) / self._capacity

    @property
    def flows(self) -> int:
        """Return the number of flows, or 0 if the load is unknown."""
        return self._load.flows if self._load else 0

    def headroom(self, mean_load: float) -> float:
        """Return how many flows the member is below the mean load.

        The result is negative above the mean load.
        """
        return mean_load * self._capacity - self.flows

    @property
    def allowed_excess(self) -> float:
        """Return how many flows above the mean load a primary may hold.

        It is smaller for a cold member, where one flow is a large part of
        its share.
        """
        return MAX_EXCESS_FLOWS * self._capacity / self._member.weight

    @property
    def is_full(self) -> bool:
        """Return whether the last report shows all connections in use."""
        return bool(self._load) and self._load.connections >= FULL_FRACTION


class SelectionQuery(Record):
    """Hold the inputs of a selection policy for one new flow.

    If the primary is a candidate, it comes first. ``draw`` is a
    pseudo-random number in [0, 1) that is the same for retransmissions of the
    flow; ``assigned_count`` counts the flows assigned by this agent before.
    """

    __slots__ = ('_assigned_count', '_candidates', '_draw')

    candidates: tuple[Candidate, ...] = read_only('_candidates')
    draw: float = read_only('_draw')
    assigned_count: int = read_only('_assigned_count')

    def __init__(
        self,
        *,
        candidates: tuple[Candidate, ...],
        draw: float,
        assigned_count: int,
    ) -> None:
        self._candidates = candidates
        self._draw = draw
        self._assigned_count = assigned_count


Policy = Callable[[SelectionQuery], Candidate]

POLICIES: Registry[str, Policy] = Registry(name='selection policies')


class SelectionContext(Record):
    """Describe what an agent knows of its service when a flow arrives.

    ``peers`` are the members to which the agent may forward the flow;
    ``suspected`` are the endpoints that did not respond to an earlier flow.
    """

    __slots__ = ('_loads', '_own_member', '_peers', '_suspected')

    own_member: Member = read_only('_own_member')
    loads: LoadTable = read_only('_loads')
    peers: tuple[Member, ...] = read_only('_peers')
    suspected: frozenset[Endpoint] = read_only('_suspected')

    def __init__(
        self,
        *,
        own_member: Member,
        peers: tuple[Member, ...],
        loads: LoadTable,
        suspected: frozenset[Endpoint] = NO_ENDPOINTS,
    ) -> None:
        self._own_member = own_member
        self._peers = peers
        self._loads = loads
        self._suspected = suspected

    def candidates(self, now: float) -> tuple[Candidate, ...]:
        """Return the serving members that are neither full nor suspected.

        If there are none, return all serving members.
        """
        serving = [
            self._build_candidate(member, now)
            for member in (self._own_member, *self._peers)
            if member.state == SERVING
        ]
        eligible = tuple(
            candidate
            for candidate in serving
            if not candidate.is_full
            and candidate.member.endpoint not in self._suspected
        )
        return eligible or tuple(serving)

    def own_fill(self, now: float) -> float:
        """Return the agent's own fill, or UNLIMITED_FILL if it accepts no flow.

        The fill counts the new flow, and is sent with a forwarded flow.
        """
        own = self._build_candidate(self._own_member, now)
        accepts_flows = self._own_member.state == SERVING and not own.is_full
        return own.fill if accepts_flows else UNLIMITED_FILL

    def accepts(self, offered_fill: float, now: float) -> bool:
        """Return whether this agent accepts a flow forwarded by its primary.

        Load reports may be seconds old. An agent that is now at least as full
        as the primary declines, and the primary keeps the flow.
        """
        return self.own_fill(now) < offered_fill

    def _build_candidate(self, member: Member, now: float) -> Candidate:
        return Candidate(
            member=member,
            load=self._loads.find(member.endpoint, now),
            is_primary=member is self._own_member,
        )


def select_agent(
    context: SelectionContext,
    flow_key: bytes,
    now: float,
    *,
    policy: str = DEFAULT_POLICY,
) -> Member | Sentinel:
    """Return the member selected for the flow, or NO_CANDIDATE.

    Raise UnknownEntryError if the policy is not registered.
    """
    candidates = context.candidates(now)
    if not candidates:
        return NO_CANDIDATE
    query = SelectionQuery(
        candidates=candidates,
        draw=xxh3_64_intdigest(flow_key, _DRAW_SEED) / _HASH_RANGE,
        assigned_count=context.loads.assigned_count,
    )
    return POLICIES.find(policy)(query).member


@POLICIES.add('home')
def select_primary(query: SelectionQuery) -> Candidate:
    """Select the primary, or draw by capacity if it is not a candidate."""
    first = query.candidates[0]
    return first if first.is_primary else _draw_by_capacity(query)


@POLICIES.add('round-robin')
def select_round_robin(query: SelectionQuery) -> Candidate:
    """Select each candidate in turn."""
    return query.candidates[query.assigned_count % len(query.candidates)]


@POLICIES.add('least-of-two')
def select_least_of_two(query: SelectionQuery) -> Candidate:
    """Select the less loaded of the first and one other candidate."""
    first = query.candidates[0]
    others = query.candidates[1:]
    if not others:
        return first
    capacities = [candidate.capacity for candidate in others]
    other = _draw_weighted(others, capacities, query.draw)
    return other if other.load and other.fill < first.fill else first


@POLICIES.add('least-of-n')
def select_least_of_all(query: SelectionQuery) -> Candidate:
    """Select the least loaded of the candidates with a known load."""
    known = _with_known_load(query)
    return min(known or query.candidates, key=lambda candidate: candidate.fill)


@POLICIES.add(DEFAULT_POLICY)
def select_below_mean_load(query: SelectionQuery) -> Candidate:
    """Select the primary up to the mean load, else draw by headroom.

    The mean load is the number of flows per unit of capacity if the flows of
    all candidates with a known load were spread evenly. Only the primary
    decides whether it is above the mean, because it knows its own load
    exactly. Headroom is the number of flows below the mean load. Drawing by
    headroom keeps primaries with the same reports from all selecting the same
    member.
    """
    first = query.candidates[0]
    known = _with_known_load(query)
    if not known:
        return select_primary(query)
    flows = sum(candidate.flows for candidate in known)
    mean_load = flows / sum(candidate.capacity for candidate in known)
    if first.is_primary and first.headroom(mean_load) >= -first.allowed_excess:
        return first
    headrooms = [max(candidate.headroom(mean_load), 0) for candidate in known]
    if sum(headrooms) > 0:
        return _draw_weighted(known, headrooms, query.draw)
    return select_primary(query)


def _with_known_load(query: SelectionQuery) -> tuple[Candidate, ...]:
    return tuple(
        candidate
        for candidate in query.candidates
        if candidate.load is not UNKNOWN_LOAD
    )


def _draw_by_capacity(query: SelectionQuery) -> Candidate:
    capacities = [candidate.capacity for candidate in query.candidates]
    return _draw_weighted(query.candidates, capacities, query.draw)


def _draw_weighted(
    candidates: tuple[Candidate, ...], weights: Iterable[float], draw: float
) -> Candidate:
    cumulative = tuple(accumulate(weights))
    point = draw * cumulative[-1]
    for candidate, bound in zip(candidates, cumulative, strict=True):
        if point < bound:
            return candidate
    return candidates[-1]
