"""Queue new flows that no upstream can accept yet.

In a burst, after the loss of upstreams, and when all machines restart at once,
every upstream queue is full, or no agent has reported, for some tenths of a
second. A client retransmits its opening packet after 0.2 and 0.6 s and gives up
after 1.4 s, so the balancer can queue a flow until an upstream has capacity. If
an upstream rejected the flow instead, the client would use up one of its
retries.

Within a priority the newest flow is assigned first. Under overload, assigning
the oldest first would delay every flow until its client is about to give up,
and upstreams would work on requests whose clients have left.
"""

from collections.abc import Iterable
from operator import attrgetter

from bluebellfold.core import (
    ANY_REGION,
    Packet,
    Record,
    Regions,
    Route,
    read_only,
)

# A client gives up 1.4 s after its first opening packet. If the flow were
# assigned in the last 0.1 s, the reply would not reach the client in time.
QUEUE_TIMEOUT_SECONDS = 1.3
# Limits memory: each queued flow holds a packet of 32 bytes.
MAX_QUEUED_FLOWS = 10_000
# When a client sends each attempt of its opening packet, from the first on.
RETRANSMIT_SECONDS = (0, 0.2, 0.6)
# Allowed delay of a retransmission: a round trip through another zone and
# timer inaccuracy.
RETRANSMIT_SLACK_SECONDS = 0.15


class QueuedFlow(Record):
    """Hold the newest opening packet of a queued flow.

    ``route`` is None while no configuration is known. ``opened_at`` is when
    the client sent its first opening packet.
    """

    __slots__ = ('_opened_at', '_packet', '_route')

    packet: Packet = read_only('_packet')
    route: Route | None = read_only('_route')
    opened_at: float = read_only('_opened_at')

    def __init__(
        self, *, packet: Packet, route: Route | None, opened_at: float
    ) -> None:
        self._packet = packet
        self._route = route
        self._opened_at = opened_at

    @property
    def allowed_regions(self) -> Regions:
        """Return the regions of upstreams that may accept the flow."""
        return (
            ANY_REGION if self._route is None else self._route.allowed_regions
        )

    @property
    def sort_key(self) -> tuple[int, float]:
        """Return the key that orders by priority, then the newest first."""
        priority = 0 if self._route is None else self._route.priority
        return (priority, -self._opened_at)

    def is_abandoned(self, now: float) -> bool:
        """Return whether the client's next retransmission is overdue."""
        next_attempt = self._packet.attempt + 1
        if next_attempt >= len(RETRANSMIT_SECONDS):
            return False
        due = (
            self._opened_at
            + RETRANSMIT_SECONDS[next_attempt]
            + RETRANSMIT_SLACK_SECONDS
        )
        return now > due

    def matches_service(self, service: str) -> bool:
        """Return whether an upstream of the service may accept the flow."""
        if self._route is None:
            return True
        return any(share.service == service for share in self._route.shares)


class FlowQueue:
    """Hold queued flows, ordered by priority and then the newest first."""

    __slots__ = ('_by_flow',)

    def __init__(self) -> None:
        self._by_flow: dict[bytes, QueuedFlow] = {}

    def __len__(self) -> int:
        """Return the number of queued flows."""
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether the flow is queued."""
        return flow in self._by_flow

    @property
    def services(self) -> set[str]:
        """Return the services on the routes of queued flows."""
        routes = [queued.route for queued in self._by_flow.values()]
        return {
            share.service
            for route in routes
            if route is not None
            for share in route.shares
        }

    def add(
        self, packet: Packet, route: Route | None, opened_at: float
    ) -> bool:
        """Queue a flow, or replace its packet if it is queued already.

        Return false if the queue is full.
        """
        already_queued = packet.flow in self._by_flow
        if not already_queued and len(self._by_flow) >= MAX_QUEUED_FLOWS:
            return False
        self._by_flow[packet.flow] = QueuedFlow(
            packet=packet,
            route=route,
            opened_at=opened_at,
        )
        return True

    def remove(self, flow: bytes) -> None:
        """Remove a flow, if it is queued."""
        self._by_flow.pop(flow, None)

    def list_for_service(self, service: str) -> list[QueuedFlow]:
        """Return the flows queued for a service, in order of assignment."""
        queued_flows = [
            queued
            for queued in self._by_flow.values()
            if queued.matches_service(service)
        ]
        queued_flows.sort(key=attrgetter('sort_key'))
        return queued_flows

    def pop_expired(self, now: float) -> list[QueuedFlow]:
        """Remove and return the flows whose queue timeout has passed."""
        return self._pop_all(
            queued
            for queued in self._by_flow.values()
            if now - queued.opened_at >= QUEUE_TIMEOUT_SECONDS
        )

    def pop_abandoned(self, now: float) -> list[QueuedFlow]:
        """Remove and return the flows whose clients stopped retransmitting."""
        return self._pop_all(
            queued
            for queued in self._by_flow.values()
            if queued.is_abandoned(now)
        )

    def _pop_all(self, matching: Iterable[QueuedFlow]) -> list[QueuedFlow]:
        popped = list(matching)
        for queued in popped:
            self._by_flow.pop(queued.packet.flow)
        return popped
