"""Tell whether an upstream started after its agent.

Answers the return of all machines: clients then bring the packets of
thousands of flows that ended with the power. An agent that can't tell what
its upstream holds has each of them tried there, through every balancer, and
that kept new flows waiting for ten seconds. All flows of an upstream that
started after its agent have passed that agent, so it knows them.
"""

from bluebellfold.core import Announcement, Record, read_only

MILLISECONDS = 1000


class AgentStart(Record):
    """State when an agent started, by the time of day of its VM in ms.

    Its process existed from ``created_ms`` on, and at ``running_ms`` it was
    ready to take packets; ``running_at`` is the same moment in seconds of a
    clock that never goes back.
    """

    __slots__ = ('_created_ms', '_running_at', '_running_ms')

    created_ms: int = read_only('_created_ms')
    running_at: float = read_only('_running_at')
    running_ms: int = read_only('_running_ms')

    def __init__(
        self, *, created_ms: int, running_ms: int, running_at: float
    ) -> None:
        self._created_ms = created_ms
        self._running_ms = running_ms
        self._running_at = running_at

    def precedes(self, announcement: Announcement, now: float) -> bool:
        """Tell whether an upstream that announces itself started later.

        If the time of day was set back between both starts, the upstream's
        lies in the future.
        """
        up_seconds = now - self._running_at
        latest_ms = self._running_ms + up_seconds * MILLISECONDS
        return self._created_ms <= announcement.born <= latest_ms
