"""Detect that no upstream runs beside an agent that has just started.

Load pattern: an upstream has left while the store was away, so that its agent
stayed listed, and then all VMs lose power. The agent runs again without an
upstream, and lookups of thousands of lost flows wait for its answer.

A running upstream announces itself in each interval and is on the same VM.
Only the time in which the agent runs counts, since a VM that stands still stops
both.
"""

# Intervals between announcements that pass without one.
MAX_SILENT_INTERVALS = 3.0
# The agent observes 20 times a second. A longer gap counts as this much: the
# process or its VM stood still.
MAX_GAP_SECONDS = 0.2


class UpstreamSilence:
    """Measure for how long an agent has run without an announcement.

    ``announcement_seconds`` is the interval between announcements.
    """

    __slots__ = ('_limit_seconds', '_observed_at', '_silent_seconds')

    def __init__(self, *, announcement_seconds: float, now: float) -> None:
        self._limit_seconds = MAX_SILENT_INTERVALS * announcement_seconds
        self._observed_at = now
        self._silent_seconds = float(0)

    @property
    def is_long(self) -> bool:
        """Tell whether a running upstream would have announced itself."""
        return self._silent_seconds >= self._limit_seconds

    @property
    def seconds_left(self) -> float:
        """Return how much longer the silence has to last to be long."""
        return max(0, self._limit_seconds - self._silent_seconds)

    def observe(self, now: float) -> None:
        """Record that there has been no announcement yet."""
        gap = now - self._observed_at
        self._observed_at = now
        self._silent_seconds += min(gap, MAX_GAP_SECONDS)
