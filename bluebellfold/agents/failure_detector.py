"""Detect agents that do not respond, and schedule probes to them."""

from collections.abc import Iterable

from bluebellfold.core import LEFT, Endpoint, Member, Record, read_only

RESPONSE_TIMEOUT_SECONDS = 0.75
# The interval between probes of one agent doubles from the minimum to the
# maximum.
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 8.0
BACKOFF_FACTOR = 2
# Limits for the probes to all agents together.
PROBES_PER_SECOND = 50
MAX_PROBE_BURST = 10


class Suspicion(Record):
    """Hold the time, in seconds, since which an agent has been suspected."""

    __slots__ = ('_endpoint', '_since')

    endpoint: Endpoint = read_only('_endpoint')
    since: float = read_only('_since')

    def __init__(self, *, endpoint: Endpoint, since: float) -> None:
        self._endpoint = endpoint
        self._since = since


class _Suspect:
    """Hold the probe schedule of a suspected agent, in seconds."""

    __slots__ = ('backoff', 'probe_at', 'since')

    def __init__(self, *, since: float) -> None:
        self.since = since
        self.probe_at = since
        self.backoff = MIN_BACKOFF_SECONDS


class _ProbeRateLimiter:
    """Limit the rate of probes to all agents with a token bucket."""

    __slots__ = ('_refilled_at', '_tokens')

    def __init__(self) -> None:
        self._tokens = float(MAX_PROBE_BURST)
        self._refilled_at: float | None = None

    def acquire(self, requested: int, now: float) -> int:
        """Return how many of the requested probes may be sent now."""
        if self._refilled_at is not None:
            self._tokens += (now - self._refilled_at) * PROBES_PER_SECOND
        self._tokens = min(self._tokens, MAX_PROBE_BURST)
        self._refilled_at = now
        granted = min(requested, int(self._tokens))
        self._tokens -= granted
        return granted


class FailureDetector:
    """Suspect agents that do not respond to first flights.

    A first flight is a datagram of a new flow, which carries no token yet.
    An agent is suspected if nothing arrives from it for
    ``RESPONSE_TIMEOUT_SECONDS`` after a first flight was sent to it. It stays
    suspected until a datagram arrives from it or it has a new incarnation.
    Only current members are tracked. Times are in seconds.
    """

    __slots__ = (
        '_incarnations',
        '_rate_limiter',
        '_suspected_endpoints',
        '_suspects',
        '_unanswered_since',
    )

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._rate_limiter = _ProbeRateLimiter()
        self._incarnations: dict[Endpoint, int] = {}
        self._suspects: dict[Endpoint, _Suspect] = {}
        # The time of the first flight that got no response so far. Ordered by
        # insertion, and therefore by time.
        self._unanswered_since: dict[Endpoint, float] = {}
        self._suspected_endpoints: frozenset[Endpoint] = frozenset()
        self.update_members(members)

    def update_members(self, members: Iterable[Member]) -> None:
        """Update the members of all services, and drop agents that left."""
        previous = self._incarnations
        self._incarnations = {
            member.endpoint: member.incarnation
            for member in members
            if member.state != LEFT
        }
        for endpoint in (*self._unanswered_since, *self._suspects):
            # A new incarnation has been announced, so the agent is alive.
            if self._incarnations.get(endpoint) != previous.get(endpoint):
                self._remove(endpoint)

    @property
    def has_pending(self) -> bool:
        """Return whether any agent is suspected or has yet to respond."""
        return bool(self._unanswered_since or self._suspects)

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Record that a first flight was sent to an agent."""
        if endpoint in self._incarnations and endpoint not in self._suspects:
            self._unanswered_since.setdefault(endpoint, now)

    def record_received(self, endpoint: Endpoint, now: float) -> None:
        """Record that a datagram arrived from an agent."""
        self._suspect_overdue(now)
        self._remove(endpoint)

    def suspected(self, now: float) -> frozenset[Endpoint]:
        """Return the endpoints that should get no first flights."""
        self._suspect_overdue(now)
        return self._suspected_endpoints

    def suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return the suspected agents, and since when each is suspected."""
        self._suspect_overdue(now)
        return tuple(
            Suspicion(endpoint=endpoint, since=suspect.since)
            for endpoint, suspect in self._suspects.items()
        )

    def probes_due(self, now: float) -> tuple[Endpoint, ...]:
        """Return the agents to probe now, and schedule their next probes.

        The number is limited by the rate of probes; the most overdue agents
        come first.
        """
        self._suspect_overdue(now)
        due = [
            endpoint
            for endpoint, suspect in self._suspects.items()
            if suspect.probe_at <= now
        ]
        due.sort(key=lambda endpoint: self._suspects[endpoint].probe_at)
        granted = due[: self._rate_limiter.acquire(len(due), now)]
        for endpoint in granted:
            self._schedule_next_probe(self._suspects[endpoint], now)
        return tuple(granted)

    def _schedule_next_probe(self, suspect: _Suspect, now: float) -> None:
        suspect.probe_at = now + suspect.backoff
        suspect.backoff = min(
            suspect.backoff * BACKOFF_FACTOR, MAX_BACKOFF_SECONDS
        )

    def _suspect_overdue(self, now: float) -> None:
        overdue = []
        for endpoint, since in self._unanswered_since.items():
            if now - since < RESPONSE_TIMEOUT_SECONDS:
                break
            overdue.append(endpoint)
        if not overdue:
            return
        for endpoint in overdue:
            self._unanswered_since.pop(endpoint)
            self._suspects[endpoint] = _Suspect(since=now)
        self._suspected_endpoints = frozenset(self._suspects)

    def _remove(self, endpoint: Endpoint) -> None:
        self._unanswered_since.pop(endpoint, None)
        if self._suspects.pop(endpoint, None) is not None:
            self._suspected_endpoints = frozenset(self._suspects)
