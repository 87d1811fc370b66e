"""Derive the state of an upstream from its packets and announcements."""

from bluebellfold.core import Announcement, Sentinel
from bluebellfold.relay.agents import DOWN, DRAINING, READY, UNKNOWN

# An upstream announces itself at the interval of the settings. It counts as
# down after this many intervals without any packet from it.
MAX_MISSED_ANNOUNCEMENTS = 2.5
# Used until the upstream has announced its slots.
DEFAULT_SLOTS = 2

OLDER_ANNOUNCEMENT = Sentinel(
    name='older-announcement',
    reason='a newer one, or one of a later start, was already applied',
)


class UpstreamHealth:
    """Track the announcements of one upstream, and whether it responds.

    An agent that has just started assumes that its upstream is ready: the
    first packet shows whether it is, and the announcement follows within its
    interval.
    """

    __slots__ = (
        '_announced_at',
        '_announcement',
        '_deregistered',
        '_last_seen_at',
        '_refused',
        '_service',
        '_started_at',
        '_suspected',
        '_timeout_seconds',
    )

    def __init__(
        self,
        *,
        service: str,
        announcement_seconds: float,
        now: float,
    ) -> None:
        self._service = service
        self._timeout_seconds = MAX_MISSED_ANNOUNCEMENTS * announcement_seconds
        self._announcement: Announcement | None = None
        self._announced_at = now
        self._started_at = now
        self._last_seen_at = now
        self._refused = False
        self._suspected = False
        self._deregistered = False

    @property
    def is_announced(self) -> bool:
        """Tell whether the upstream has announced itself to this agent."""
        return self._announcement is not None

    @property
    def service(self) -> str:
        """Return the service of the upstream."""
        known = self._announcement
        return self._service if known is None else known.service

    @property
    def slots(self) -> int:
        """Return how many requests the upstream works on at a time."""
        known = self._announcement
        return DEFAULT_SLOTS if known is None else known.slots

    @property
    def deregistered(self) -> bool:
        """Tell whether the upstream has deregistered."""
        return self._deregistered

    def is_warming(self, now: float) -> bool:
        """Tell whether the upstream is warming up.

        An upstream that hasn't announced itself may have just started, like
        its agent.
        """
        known = self._announcement
        if known is None:
            return True
        return now - self._announced_at < known.warmup_seconds

    def state(self, now: float) -> int:
        """Return READY, DRAINING, DOWN or UNKNOWN."""
        if self._deregistered or self._refused or self._suspected:
            return DOWN
        if now - self._last_seen_at > self._timeout_seconds:
            return DOWN
        known = self._announcement
        if known is None:
            return UNKNOWN
        return DRAINING if known.draining else READY

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> bool | Sentinel:
        """Apply an announcement, and return whether the upstream restarted.

        Ignore one older than the last, and return OLDER_ANNOUNCEMENT.
        """
        known = self._announcement
        if known is not None and announcement.version < known.version:
            return OLDER_ANNOUNCEMENT
        restarted = known is not None and (
            known.name != announcement.name or known.born != announcement.born
        )
        if restarted:
            self._deregistered = False
        self._announcement = announcement
        self._announced_at = now
        self.mark_alive(now)
        return restarted

    def apply_deregistration(self, name: str) -> bool:
        """Record that the upstream has deregistered.

        Ignore the name of an earlier start, and return False.
        """
        known = self._announcement
        if known is not None and known.name != name:
            return False
        self._deregistered = True
        return True

    def mark_alive(self, now: float) -> None:
        """Record that the upstream has sent something."""
        self._last_seen_at = now
        self._refused = False
        self._suspected = False

    def mark_refused(self) -> None:
        """Record that the upstream's port is closed."""
        self._refused = True

    def mark_suspected(self) -> None:
        """Record that the upstream left an opening packet unanswered."""
        self._suspected = True
