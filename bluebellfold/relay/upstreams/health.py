"""Derive the state of an upstream from its packets and announcements."""

from bluebellfold.core import Announcement
from bluebellfold.relay.agents import DOWN, DRAINING, READY, UNKNOWN
from bluebellfold.relay.upstreams.start_order import (
    MAX_MISSED_INTERVALS,
    OTHER_SERVICE,
    StartOrder,
    StartVerdict,
)

# Used until the upstream has announced its slots.
DEFAULT_SLOTS = 2


class UpstreamHealth:
    """Track the announcements of one upstream, and whether it responds.

    An agent that has just started assumes that its upstream is ready: the
    first packet shows whether it is, and the announcement follows within its
    interval.

    Signs of life, each stronger than the one before: the upstream is *heard*
    when any packet or announcement comes from it, also a packet that it gives
    back. It has *served* when it has sent a packet of a flow that it holds. It
    is *announced* when an announcement was applied.

    It counts as down when it is silent for too long, or one of these signs came
    last: it *refused* a packet, since its port is closed; it is *suspected*,
    since an opening packet went unanswered; or it *rejects flows*, and hasn't
    shown that it is merely full.
    """

    __slots__ = (
        '_announcement_seconds',
        '_is_heard',
        '_last_seen_at',
        '_order',
        '_refused',
        '_rejects_flows',
        '_served_at',
        '_service',
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
        self._announcement_seconds = announcement_seconds
        self._timeout_seconds = MAX_MISSED_INTERVALS * announcement_seconds
        self._order = StartOrder(interval_seconds=announcement_seconds)
        self._last_seen_at = now
        self._is_heard = False
        self._served_at: float | None = None
        self._refused = False
        self._rejects_flows = False
        self._suspected = False

    @property
    def announcement_seconds(self) -> float:
        """Return the interval between announcements of the upstream."""
        return self._announcement_seconds

    @property
    def is_heard(self) -> bool:
        """Tell whether this agent has heard its upstream at all."""
        return self._is_heard

    @property
    def has_served(self) -> bool:
        """Tell whether the upstream has sent a packet of a flow it holds."""
        return self._served_at is not None

    @property
    def is_announced(self) -> bool:
        """Tell whether the upstream has announced itself to this agent."""
        return self.announcement is not None

    @property
    def announcement(self) -> Announcement | None:
        """Return the announcement in force, None before the first."""
        return self._order.announcement

    @property
    def service(self) -> str:
        """Return the service of the upstream, as the settings name it."""
        return self._service

    @property
    def slots(self) -> int:
        """Return how many requests the upstream works on at a time."""
        known = self.announcement
        return DEFAULT_SLOTS if known is None else known.slots

    @property
    def deregistered(self) -> bool:
        """Tell whether the upstream has deregistered."""
        return self._order.deregistered

    def is_warming(self, now: float) -> bool:
        """Tell whether the upstream is warming up.

        An upstream that hasn't announced itself may have just started, like
        its agent.
        """
        known = self.announcement
        if known is None:
            return True
        return now - self._order.announced_at < known.warmup_seconds

    def may_be_cold(self, now: float) -> bool:
        """Tell whether the upstream is warming up, or may have restarted.

        After a restart it may send packets before it announces itself.
        """
        return self._order.may_have_restarted or self.is_warming(now)

    def state(self, now: float) -> int:
        """Return READY, DRAINING, DOWN or UNKNOWN."""
        if self.deregistered or self._refused or self._suspected:
            return DOWN
        if self._rejects_flows:
            return DOWN
        if now - self._last_seen_at > self._timeout_seconds:
            return DOWN
        known = self.announcement
        if known is None:
            return UNKNOWN
        return DRAINING if known.draining else READY

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> StartVerdict:
        """Apply an announcement, unless another start is the current one.

        The upstream that had the address before may have belonged to another
        service, and an announcement of it may arrive late.
        """
        if announcement.service != self._service:
            return OTHER_SERVICE
        verdict = self._order.judge(announcement, now)
        if verdict.accepted:
            self._rejects_flows = False
            self.mark_alive(now)
        return verdict

    def apply_deregistration(self, name: str) -> bool:
        """Record that the upstream has deregistered.

        Ignore the name of an earlier start, and return False.
        """
        return self._order.mark_deregistered(name)

    def mark_alive(self, now: float) -> None:
        """Record that the upstream has sent something."""
        self._is_heard = True
        self._last_seen_at = now
        self._refused = False
        self._suspected = False

    def mark_served(self, now: float) -> None:
        """Record that the upstream has sent a packet of a flow it holds.

        Unlike one that it returns or resets, it shows that the upstream runs.
        """
        self._served_at = now
        self._rejects_flows = False

    def mark_refused(self) -> None:
        """Record that the upstream's port is closed."""
        self._refused = True
        self._order.mark_port_closed()

    def mark_rejected(self, now: float) -> None:
        """Record that the upstream has rejected a new flow.

        One that hasn't announced itself to this agent may have left before the
        agent started. It then rejects each flow, so it is offered none until
        its announcement. One that serves other flows is full.
        """
        self._rejects_flows = not (self.is_announced or self._is_serving(now))

    def mark_suspected(self) -> None:
        """Record that the upstream left an opening packet unanswered."""
        self._suspected = True

    def _is_serving(self, now: float) -> bool:
        if self._served_at is None:
            return False
        return now - self._served_at <= self._timeout_seconds
