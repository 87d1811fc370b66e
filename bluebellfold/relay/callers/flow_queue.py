"""Queue new flows that no upstream can accept yet.

In a burst, after the loss of upstreams, and when all machines restart at once,
every upstream queue is full, or no agent has reported, for some tenths of a
second. A client retransmits its opening packet after 0.2 and 0.6 s and gives up
after 1.4 s, so the balancer can queue a flow until an upstream has capacity. If
an upstream rejected the flow instead, the client would use up one of its
retries.

The order of assignment is decided for each service (see ``service_queue``).
"""

import heapq

from bluebellfold.core import Packet, Route
from bluebellfold.relay.callers.queued_flow import QueuedFlow
from bluebellfold.relay.callers.service_queue import ServiceQueue

# Limits memory: each queued flow holds a packet of 32 bytes.
MAX_QUEUED_FLOWS = 10_000


class FlowQueue:
    """Hold queued flows by their services."""

    __slots__ = (
        '_by_flow',
        '_by_service',
        '_checks',
        '_checks_added',
        '_unrouted',
    )

    def __init__(self) -> None:
        self._by_flow: dict[bytes, QueuedFlow] = {}
        self._by_service: dict[str, ServiceQueue] = {}
        self._unrouted: dict[bytes, QueuedFlow] = {}
        # When to check a flow for its deadline and for a retransmission.
        self._checks: list[tuple[float, int, QueuedFlow]] = []
        self._checks_added = 0

    def __len__(self) -> int:
        """Return the number of queued flows."""
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether the flow is queued."""
        return flow in self._by_flow

    @property
    def services(self) -> tuple[ServiceQueue, ...]:
        """Return the queues of all services that have not drained."""
        return tuple(self._by_service.values())

    def find_service(self, service: str) -> ServiceQueue | None:
        """Return the queue of a service, None if it has drained."""
        return self._by_service.get(service)

    def add(
        self,
        packet: Packet,
        route: Route | None,
        service: str | None,
        *,
        opened_at: float,
        now: float,
    ) -> bool:
        """Queue a flow, or replace its packet if it is queued already.

        ``route`` and ``service`` are None while no configuration is known.
        Return false if the queue is full.
        """
        queued = self._by_flow.get(packet.flow)
        if queued is None and len(self._by_flow) >= MAX_QUEUED_FLOWS:
            return False
        added = QueuedFlow(
            packet=packet, route=route, service=service, opened_at=opened_at
        )
        if queued is not None and queued.has_same_place(added):
            if packet.attempt > queued.packet.attempt:
                queued.update_packet(packet)
                self._schedule_check(queued)
            return True
        self.remove(packet.flow)
        self._by_flow[packet.flow] = added
        self._schedule_check(added)
        if service is None:
            self._unrouted[packet.flow] = added
            return True
        if service not in self._by_service:
            self._by_service[service] = ServiceQueue(name=service, now=now)
        self._by_service[service].add(added)
        return True

    def remove(self, flow: bytes) -> None:
        """Remove a flow, if it is queued."""
        queued = self._by_flow.pop(flow, None)
        if queued is None:
            return
        queued.mark_removed()
        if queued.service is None:
            self._unrouted.pop(flow)
            return
        self._by_service[queued.service].remove(queued)

    def list_unrouted(self) -> list[QueuedFlow]:
        """Return the flows that were queued before the configuration."""
        return list(self._unrouted.values())

    def list_routed(self) -> list[QueuedFlow]:
        """Return the flows whose routes are known."""
        return [
            queued
            for queued in self._by_flow.values()
            if queued.service is not None
        ]

    def pop_overdue(self, now: float) -> list[QueuedFlow]:
        """Remove and return the flows that have expired or are abandoned."""
        overdue = []
        while self._checks and self._checks[0][0] <= now:
            queued = heapq.heappop(self._checks)[-1]
            if queued.has_left:
                continue
            if queued.is_expired(now) or queued.is_abandoned(now):
                self.remove(queued.packet.flow)
                overdue.append(queued)
        return overdue

    def pop_drained(self, now: float) -> list[ServiceQueue]:
        """Remove and return the queues of services that have drained."""
        drained = [
            service_queue
            for service_queue in self._by_service.values()
            if service_queue.detect_drained(now)
        ]
        for service_queue in drained:
            self._by_service.pop(service_queue.name)
        return drained

    def _schedule_check(self, queued: QueuedFlow) -> None:
        self._checks_added += 1
        heapq.heappush(
            self._checks, (queued.next_check, self._checks_added, queued)
        )
