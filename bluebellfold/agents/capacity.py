"""Compute the usable fraction of an upstream's capacity."""

# A cold upstream is fully usable after this time.
RAMP_SECONDS = 30.0
RAMP_START_FRACTION = 0.1
# Each request that the upstream sheds lowers its usable capacity by a fifth.
SHED_FACTOR = 0.8
MIN_SHED_FACTOR = 0.25
SHED_RECOVERY_PER_SECOND = 0.1
# A hint loses its weight linearly over this time.
HINT_LIFETIME_SECONDS = 5.0
MIN_HINT_FACTOR = 0.5


class UsableCapacity:
    """Reduce the usable capacity while the upstream is cold or overloaded.

    The load that the upstream reports for itself is only a hint: it lowers
    the usable capacity by half at most, and counts less as it ages. A stale
    or wrong hint can therefore neither take all load from the upstream nor
    overload it. ``cold_at`` is the time at which the ramp of a cold
    upstream begins, or None for a warm one. Times are in seconds.
    """

    __slots__ = (
        '_cold_at',
        '_excess_load',
        '_factor_after_shed',
        '_hinted_at',
        '_shed_at',
    )

    def __init__(self, *, cold_at: float | None) -> None:
        self._cold_at = cold_at
        self._factor_after_shed: float = 1
        self._shed_at: float = 0
        self._excess_load: float = 0
        self._hinted_at: float = 0

    def record_shed(self, now: float) -> None:
        """Record that the upstream shed a request because of overload."""
        self._factor_after_shed = max(
            self._shed_factor(now) * SHED_FACTOR, MIN_SHED_FACTOR
        )
        self._shed_at = now

    def record_hint(
        self, *, upstream_load: float, agent_load: float, at: float
    ) -> None:
        """Record the load reported by the upstream and that seen by its agent.

        Both are fractions from 0 to 1; ``at`` is the time for which the
        upstream reported its load.
        """
        self._excess_load = max(upstream_load - agent_load, 0)
        self._hinted_at = at

    def usable(self, now: float) -> float:
        """Return the usable fraction of the weight, above 0 and up to 1."""
        return (
            self._ramp_factor(now)
            * self._shed_factor(now)
            * self._hint_factor(now)
        )

    def _ramp_factor(self, now: float) -> float:
        if self._cold_at is None:
            return 1
        progress = (now - self._cold_at) / RAMP_SECONDS
        return min(max(progress, RAMP_START_FRACTION), 1)

    def _shed_factor(self, now: float) -> float:
        recovered = (now - self._shed_at) * SHED_RECOVERY_PER_SECOND
        return min(self._factor_after_shed + recovered, 1)

    def _hint_factor(self, now: float) -> float:
        age = max(now - self._hinted_at, 0)
        weight = max(1 - age / HINT_LIFETIME_SECONDS, 0)
        return max(1 - weight * self._excess_load, MIN_HINT_FACTOR)
