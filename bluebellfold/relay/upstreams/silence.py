"""Detect that no upstream runs beside an agent that has just started.

Load pattern: an upstream has left while the store was away, so that its agent
stayed listed, and then all VMs lose power. The agent runs again without an
upstream, and lookups of thousands of lost flows wait for its answer.

A running upstream announces itself in each interval and is on the same VM.
Only the time in which the agent runs counts, since a VM that stands still stops
both.
"""

# Intervals between announcements without a sign of the upstream.
MAX_SILENT_INTERVALS = 3.0
# The agent observes 20 times a second. A longer gap counts as this much: the
# process or its VM stood still.
MAX_GAP_SECONDS = 0.2


class UpstreamSilence:
    """Measure for how long an agent has run without hearing its upstream.

    ``announcement_seconds`` is the interval between announcements.
    """

    __slots__ = ('_limit_seconds', '_observed_at', '_silent_seconds')

    def __init__(self, *, announcement_seconds: float, now: float) -> None:
        self._limit_seconds = MAX_SILENT_INTERVALS * announcement_seconds
        self._observed_at = now
        self._silent_seconds = float(0)

    def observe(self, now: float) -> bool:
        """Record that nothing has been heard yet; tell whether that is long."""
        gap = now - self._observed_at
        self._observed_at = now
        self._silent_seconds += min(gap, MAX_GAP_SECONDS)
        return self._silent_seconds >= self._limit_seconds
