"""Compare the start of an agent with that of its upstream.

Both starts are times of day of one VM. Its clock may have been set back or
forth in between, so the comparison alone shows nothing: see ``unknown_flows``.
"""

from bluebellfold.core import Announcement, Record, read_only

MS_PER_SECOND = 1000


class AgentStart(Record):
    """Hold when an agent started.

    ``created_ms`` is when its process was created and ``ready_ms`` when it
    was ready for packets, both by the wall clock of its VM in ms.
    ``ready_at`` is the latter in seconds of a monotonic clock.
    """

    __slots__ = ('_created_ms', '_ready_at', '_ready_ms')

    created_ms: int = read_only('_created_ms')
    ready_at: float = read_only('_ready_at')
    ready_ms: int = read_only('_ready_ms')

    def __init__(
        self, *, created_ms: int, ready_ms: int, ready_at: float
    ) -> None:
        self._created_ms = created_ms
        self._ready_ms = ready_ms
        self._ready_at = ready_at

    def precedes(self, announcement: Announcement, now: float) -> bool:
        """Tell whether an upstream started after this agent.

        Return False for a start in the future: the wall clock was set back
        between the two starts.
        """
        up_seconds = now - self._ready_at
        latest_ms = self._ready_ms + up_seconds * MS_PER_SECOND
        return self._created_ms <= announcement.born <= latest_ms
