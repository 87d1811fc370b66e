"""Decide which balancer is asked for a copy of the state, and when.

Load pattern: a balancer starts while the store doesn't answer it, often with
many others that know the same few seeds. It asks one seed at a time in turn,
from the moment at which a usual start has read the store. As long as no seed
has a usable copy, each round waits longer; with a copy, a slow round is enough
to follow changes.
"""

from random import Random

from bluebellfold.core.backoff import Backoff

# A store that works answers both lists within 0.1 s of the start.
FIRST_QUERY_DELAY_SECONDS = 0.3
# A peer of the same region answers in milliseconds; a hung one must not take
# more than a third of the 1.4 s after which a client gives up.
QUERY_TIMEOUT_SECONDS = 0.5
MIN_INTERVAL_SECONDS = 0.2
MAX_INTERVAL_SECONDS = 1.0
# A usable copy is at most 30 s old: several seeds can fail before it expires.
REFRESH_INTERVAL_SECONDS = 5.0


class QueryPlan:
    """Ask seeds in turn, and space the queries.

    Methods take ``now`` in seconds of a monotonic clock. ``has_copy`` tells
    whether usable copies of all that is missing are held.

    >>> plan = QueryPlan(seeds=('a', 'b'), now=5, randomness=Random(1))
    >>> round(plan.delay_seconds(5, has_copy=False), 3)
    0.3
    >>> [plan.begin_query(now) for now in (5.3, 5.8, 6.3)]
    ['a', 'b', 'a']
    """

    __slots__ = ('_asked_at', '_backoff', '_due', '_queries', '_seeds')

    def __init__(
        self, *, seeds: tuple[str, ...], now: float, randomness: Random
    ) -> None:
        self._seeds = seeds
        self._asked_at = now
        self._due = now + FIRST_QUERY_DELAY_SECONDS
        self._queries = 0
        # A delay is drawn from the upper half of its range, so that none is
        # shorter than the interval.
        self._backoff = Backoff(
            randomness=randomness,
            base_seconds=2 * MIN_INTERVAL_SECONDS,
            cap_seconds=MAX_INTERVAL_SECONDS,
        )

    def delay_seconds(self, now: float, *, has_copy: bool) -> float:
        """Return the time until the next query is due, 0 if it is."""
        due = self._due
        # Until all seeds were asked, one of them may have a newer copy.
        if has_copy and self._queries >= len(self._seeds):
            due = self._asked_at + REFRESH_INTERVAL_SECONDS
        return max(0, due - now)

    def begin_query(self, now: float) -> str:
        """Return the seed to ask, and schedule the query after it."""
        rounds, index = divmod(self._queries, len(self._seeds))
        self._queries += 1
        self._asked_at = now
        self._due = now + self._backoff.delay_seconds(rounds)
        return self._seeds[index]
