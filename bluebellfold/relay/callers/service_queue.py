"""Decide in which order the queued flows of a service are assigned.

As long as the queue drains within the target latency, as after a brief loss of
upstreams, the order does not matter to clients, and urgent flows go first. If
it does not drain, the service is contended: its routes and clients then get
shares, and flows that cannot be assigned in time are refused.
"""

from collections.abc import Callable, Collection

from bluebellfold.core import Sentinel
from bluebellfold.relay.callers.assignment_rate import AssignmentRate
from bluebellfold.relay.callers.fair_queue import FairQueue
from bluebellfold.relay.callers.feasibility import select_refused
from bluebellfold.relay.callers.pending_offers import (
    OFFER_TIMEOUT_SECONDS,
)
from bluebellfold.relay.callers.queued_flow import QueuedFlow

# For services whose routes have no target latency. Clients notice a delay of a
# few tenths of a second.
DEFAULT_TARGET_SECONDS = 0.3
# No flow is refused for so long after all upstreams were away. A client tries
# three flows for 1.4 s each. While the flows of the outage are worked off, a
# refusal would only use up the client's tries sooner.
GRACE_SECONDS = 4.2
# Limits the cost of predictions: one takes 2 to 4 us per queued flow, and a
# queue of 1,000 flows is checked at each tick, one of 10,000 each 0.5 s.
CHECKED_FLOWS_PER_SECOND = 20_000

CONTENDED = Sentinel(
    name='contended',
    reason='flows of the service already wait for an upstream',
)


class ServiceQueue:
    """Hold the queued flows of one service from when the first one came.

    It is dropped once it has drained. ``now`` is in seconds of a monotonic
    clock.
    """

    __slots__ = (
        '_drained_at',
        '_flows',
        '_is_contended',
        '_name',
        '_rate',
        '_ready_agents',
        '_refuses_from',
        '_set_aside',
        '_started_at',
    )

    def __init__(self, *, name: str, now: float) -> None:
        self._name = name
        self._flows = FairQueue()
        self._rate = AssignmentRate(now=now)
        self._set_aside: list[QueuedFlow] = []
        self._started_at = now
        self._refuses_from = now
        self._is_contended = False
        self._ready_agents = 0
        self._drained_at: float | None = None

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows) + len(self._set_aside)

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return self._name

    @property
    def is_contended(self) -> bool:
        """Return whether the queue has not drained within the target."""
        return self._is_contended

    @property
    def rate(self) -> AssignmentRate:
        """Return the rate at which flows of the service are assigned."""
        return self._rate

    def add(self, queued: QueuedFlow) -> None:
        """Add a flow."""
        self._drained_at = None
        self._flows.add(queued)

    def remove(self, queued: QueuedFlow) -> None:
        """Remove a flow."""
        if queued in self._set_aside:
            self._set_aside.remove(queued)
            return
        self._flows.remove(queued)

    def next_flow(
        self, now: float, skipped: Collection[bytes]
    ) -> QueuedFlow | None:
        """Return the flow to assign next, None if there is none.

        Routes whose addresses are in ``skipped`` are left out.
        """
        if self._is_contended:
            return self._flows.next_by_share(now, skipped)
        return self._flows.next_by_priority(skipped)

    def charge(self, queued: QueuedFlow) -> None:
        """Count the assignment of a flow toward its route and client."""
        if self._is_contended:
            self._flows.charge(queued)

    def set_aside(self, queued: QueuedFlow) -> None:
        """Leave out a flow, which no agent with capacity may get, for now."""
        self._flows.remove(queued)
        self._set_aside.append(queued)

    def restore(self) -> None:
        """Add the flows again that were set aside."""
        for queued in self._set_aside:
            self._flows.add(queued)
        self._set_aside.clear()

    def observe_ready_agents(self, ready_agents: int, now: float) -> None:
        """Measure anew after a time without ready agents, or with fewer.

        What was assigned until then tells nothing of what can be.
        """
        if not ready_agents:
            self._is_contended = False
            self._started_at = now
            self._refuses_from = now + GRACE_SECONDS
        if not ready_agents or ready_agents > self._ready_agents:
            self._rate.restart(now)
        self._ready_agents = ready_agents

    def detect_drained(self, now: float) -> bool:
        """Tell whether the queue is empty, and stays so under contention.

        The last flows may only be on offer and come back.
        """
        if self:
            return False
        if self._drained_at is None:
            self._drained_at = now
        if not self._is_contended:
            return True
        return now - self._drained_at >= OFFER_TIMEOUT_SECONDS

    def detect_contention(self, now: float) -> bool:
        """Tell whether the queue has just become contended."""
        if self._is_contended:
            return False
        self._is_contended = now - self._started_at > self._target_seconds
        return self._is_contended

    def select_refused(
        self, now: float, has_not_run: Callable[[QueuedFlow], bool]
    ) -> list[QueuedFlow]:
        """Return the flows to refuse now, none without a measured rate.

        Only flows for which ``has_not_run`` is true are refused.
        """
        flows_per_second = self._rate.upper_bound(now)
        if not self._is_contended or not flows_per_second:
            return []
        if now < self._refuses_from:
            return []
        self._refuses_from = now + len(self) / CHECKED_FLOWS_PER_SECOND
        return select_refused(
            self._flows,
            flows_per_second=flows_per_second,
            now=now,
            has_not_run=has_not_run,
        )

    @property
    def _target_seconds(self) -> float:
        targets = [
            queue.route.target_seconds
            for queue in self._flows.routes
            if queue.route.target_seconds
        ]
        return min(targets, default=DEFAULT_TARGET_SECONDS)
