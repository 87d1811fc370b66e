"""Find the queued flows that cannot be assigned before they become useless.

Under overload some flows wait until their deadline and are then reset, though
it was clear long before that none of them would be assigned. If they are
refused as soon as that is clear, their clients can retry while a retry still
helps, and the queue stays as short as what the service can assign.
"""

import heapq
import math
from collections.abc import Callable, Iterator

from bluebellfold.core import Sentinel
from bluebellfold.relay.callers.fair_queue import FairQueue, by_share
from bluebellfold.relay.callers.queued_flow import (
    QUEUE_TIMEOUT_SECONDS,
    QueuedFlow,
)
from bluebellfold.relay.callers.route_queue import RouteQueue

# The share of the flows in excess that is refused in one call, up to 20 times a
# second. Clients retry at once: if all were refused in one call, they would
# return as one wave. With this share the retries spread over about 0.25 s,
# which is short compared to the queue timeout.
REFUSED_SHARE = 0.2

NOT_IN_TIME = Sentinel(
    name='not-in-time',
    reason='the service cannot accept the flow before its client gives up',
)


def select_refused(
    queue: FairQueue,
    *,
    flows_per_second: float,
    now: float,
    has_not_run: Callable[[QueuedFlow], bool],
) -> list[QueuedFlow]:
    """Return the flows of a contended service to refuse now.

    These are flows of routes that exceed their share, by the least time left,
    then those of the lowest priority. Only flows for which ``has_not_run`` is
    true are refused.
    """
    unservable = list_unservable(
        queue, flows_per_second=flows_per_second, now=now
    )
    if not unservable:
        return []
    exceeding = _exceeding_routes(queue, flows_per_second)
    refusable = [
        (_refusal_key(queued, exceeding), queued)
        for queued in unservable
        # Another balancer may have assigned the flow: a reset might be untrue.
        if not queued.awaits_retransmission(now) and has_not_run(queued)
    ]
    refusable.sort(key=_key)
    most = math.ceil(len(unservable) * REFUSED_SHARE)
    return [queued for _, queued in refusable[:most]]


def list_unservable(
    queue: FairQueue, *, flows_per_second: float, now: float
) -> list[QueuedFlow]:
    """Return the flows whose deadline passes before their predicted turn.

    The turn follows from the flows that are served before, in the order of
    ``FairQueue.next_by_share``. A flow that is not served delays no other.
    """
    unservable = []
    served = 0
    flows_by_route = {
        route_queue.route.address: _InTurn(queue, route_queue, now)
        for route_queue in queue.routes
    }
    upcoming = [by_share(route_queue) for route_queue in queue.routes]
    heapq.heapify(upcoming)
    while upcoming:
        start_tag, priority, address = upcoming[0]
        flows = flows_by_route[address]
        queued = next(flows.remaining, None)
        if queued is None:
            heapq.heappop(upcoming)
        elif now + served / flows_per_second > queued.deadline:
            unservable.append(queued)
        else:
            served += 1
            heapq.heapreplace(
                upcoming, (start_tag + flows.cost, priority, address)
            )
    return unservable


class _InTurn:
    """Hold the flows of a route that the prediction has not reached."""

    __slots__ = ('_cost', '_remaining')

    def __init__(
        self, queue: FairQueue, route_queue: RouteQueue, now: float
    ) -> None:
        self._cost = 1 / queue.weight(route_queue.route)
        self._remaining = iter(route_queue.list_in_turn(now))

    @property
    def cost(self) -> float:
        """Return the virtual time of an assignment."""
        return self._cost

    @property
    def remaining(self) -> Iterator[QueuedFlow]:
        """Return the iterator over the flows."""
        return self._remaining


def _exceeding_routes(queue: FairQueue, flows_per_second: float) -> set[bytes]:
    """Return the routes with more flows than their share of a queue timeout."""
    weights = {
        route_queue.route.address: queue.weight(route_queue.route)
        for route_queue in queue.routes
    }
    servable = flows_per_second * QUEUE_TIMEOUT_SECONDS / sum(weights.values())
    return {
        route_queue.route.address
        for route_queue in queue.routes
        if len(route_queue) > servable * weights[route_queue.route.address]
    }


def _refusal_key(
    queued: QueuedFlow, exceeding: set[bytes]
) -> tuple[bool, int, float]:
    if queued.known_route.address in exceeding:
        return (False, 0, queued.deadline)
    return (True, -queued.known_route.priority, queued.deadline)


def _key(refusable: tuple[tuple, QueuedFlow]) -> tuple:
    return refusable[0]
