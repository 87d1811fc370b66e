"""Decide what state an upstream is in, from what was seen of it."""

from bluebellfold.core import Announcement, Sentinel
from bluebellfold.relay.agents import DOWN, DRAINING, READY, UNKNOWN

# An upstream announces itself at the interval of the settings. It is given
# up after this many missed announcements without any packet from it.
MISSED_ANNOUNCEMENTS = 2.5
# Until an upstream has told how many requests it works on at a time.
PRESUMED_SLOTS = 2

OLDER_ANNOUNCEMENT = Sentinel(
    name='older-announcement',
    reason='a newer one of this upstream or of a later start was taken',
)


class UpstreamHealth:
    """Hold what is known of one upstream.

    An agent that has just started presumes that its upstream lives and is
    ready: the first packet shows it, and the announcement follows within
    its interval.
    """

    __slots__ = (
        '_announced_at',
        '_announcement',
        '_heard_at',
        '_refused',
        '_service',
        '_silence_seconds',
        '_started_at',
        '_suspected',
        '_withdrawn',
    )

    def __init__(
        self,
        *,
        service: str,
        announcement_seconds: float,
        now: float,
    ) -> None:
        self._service = service
        self._silence_seconds = MISSED_ANNOUNCEMENTS * announcement_seconds
        self._announcement: Announcement | None = None
        self._announced_at = now
        self._started_at = now
        self._heard_at = now
        self._refused = False
        self._suspected = False
        self._withdrawn = False

    @property
    def is_announced(self) -> bool:
        """Tell whether the upstream has announced itself to this agent."""
        return self._announcement is not None

    @property
    def service(self) -> str:
        """Return the service that the upstream belongs to."""
        known = self._announcement
        return self._service if known is None else known.service

    @property
    def slots(self) -> int:
        """Return how many requests the upstream works on at a time."""
        known = self._announcement
        return PRESUMED_SLOTS if known is None else known.slots

    @property
    def withdrawn(self) -> bool:
        """Tell whether the upstream told that it ends."""
        return self._withdrawn

    def is_warming(self, now: float) -> bool:
        """Tell whether the upstream is still slow after its start.

        One that hasn't announced itself may have started with this agent.
        """
        known = self._announcement
        if known is None:
            return True
        return now - self._announced_at < known.warmup_seconds

    def state(self, now: float) -> int:
        """Return READY, DRAINING, DOWN or UNKNOWN."""
        if self._withdrawn or self._refused or self._suspected:
            return DOWN
        if now - self._heard_at > self._silence_seconds:
            return DOWN
        known = self._announcement
        if known is None:
            return UNKNOWN
        return DRAINING if known.draining else READY

    def announce(
        self, announcement: Announcement, now: float
    ) -> bool | Sentinel:
        """Take an announcement, and tell whether the upstream is a new start.

        Return OLDER_ANNOUNCEMENT for one that came late.
        """
        known = self._announcement
        if known is not None and announcement.version < known.version:
            return OLDER_ANNOUNCEMENT
        is_new_start = known is not None and (
            known.name != announcement.name or known.born != announcement.born
        )
        if is_new_start:
            self._withdrawn = False
        self._announcement = announcement
        self._announced_at = now
        self.hear(now)
        return is_new_start

    def withdraw(self, name: str) -> bool:
        """Take that the upstream ends, unless a later start is known."""
        known = self._announcement
        if known is not None and known.name != name:
            return False
        self._withdrawn = True
        return True

    def hear(self, now: float) -> None:
        """Note a sign of life."""
        self._heard_at = now
        self._refused = False
        self._suspected = False

    def refuse(self) -> None:
        """Note that nobody listens at the upstream's address."""
        self._refused = True

    def suspect(self) -> None:
        """Note that the upstream left a new flow unanswered."""
        self._suspected = True
