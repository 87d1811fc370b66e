"""Divide the capacity of a service between the routes with queued flows.

When one kind of route demands several times its usual load, strict priority
lets a burst of urgent flows starve all others, and within a priority a burst
takes whatever its number of flows claims. Under contention each route gets a
share by its priority instead, and what it leaves is lent to the others
(start-time fair queueing: a route's virtual time advances with each assignment
by the inverse of its weight, and the route that is furthest behind is next).
A route that had no queued flows starts at the current virtual time: it waits
for at most one round of the others, and has saved no share. An assignment that
an agent declines is not refunded: the route would fall behind the virtual time,
and a burst with many declined offers would go before the other routes.
"""

from collections.abc import Callable, Collection

from bluebellfold.core import Route
from bluebellfold.relay.callers.queued_flow import QueuedFlow
from bluebellfold.relay.callers.route_queue import RouteQueue

# A route gets twice the share of one of the next lower priority in use.
SHARE_PER_PRIORITY = 2.0
# Routes of still lower priorities get the same share, a 16th of the highest, so
# that none starves.
MAX_PRIORITY_STEPS = 4

Order = Callable[[RouteQueue], tuple]


class FairQueue:
    """Hold the queued flows of one service.

    The cost of a step grows with the number of routes that have queued flows,
    not with the number of flows.
    """

    __slots__ = (
        '_last_number',
        '_routes',
        '_size',
        '_virtual_time',
        '_weights',
    )

    def __init__(self) -> None:
        self._routes: dict[bytes, RouteQueue] = {}
        self._size = 0
        self._last_number = 0
        self._virtual_time = float(0)
        # By the priorities that routes have used since the queue was empty.
        self._weights: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return self._size

    @property
    def routes(self) -> tuple[RouteQueue, ...]:
        """Return the routes that have queued flows."""
        return tuple(queue for queue in self._routes.values() if queue)

    def add(self, queued: QueuedFlow) -> None:
        """Add a flow with a known route."""
        route_queue = self._find_or_add(queued.known_route)
        if not route_queue:
            route_queue.start_at(self._virtual_time)
        self._last_number += 1
        queued.take_number(self._last_number)
        route_queue.add(queued)
        self._size += 1

    def remove(self, queued: QueuedFlow) -> None:
        """Remove a flow that was added."""
        self._size -= 1
        queued.drop_number()
        self._routes[queued.known_route.address].count_removed(queued)

    def charge(self, queued: QueuedFlow) -> None:
        """Count the assignment of a flow toward its route and client."""
        route_queue = self._routes[queued.known_route.address]
        self._virtual_time = max(self._virtual_time, route_queue.start_tag)
        cost = 1 / self.weight(route_queue.route)
        route_queue.charge(queued, cost)

    def weight(self, route: Route) -> float:
        """Return the share of a route, relative to the others."""
        return self._weights[route.priority]

    def next_by_priority(self, skipped: Collection[bytes]) -> QueuedFlow | None:
        """Return the newest flow of the highest priority.

        Routes whose addresses are in ``skipped`` are left out.
        """
        route_queue = self._first(_by_priority, skipped)
        return None if route_queue is None else route_queue.newest()

    def next_by_share(
        self, now: float, skipped: Collection[bytes]
    ) -> QueuedFlow | None:
        """Return the next flow of the route that is furthest behind its share.

        Routes whose addresses are in ``skipped`` are left out.
        """
        route_queue = self._first(by_share, skipped)
        return None if route_queue is None else route_queue.next_in_turn(now)

    def _first(
        self, order: Order, skipped: Collection[bytes]
    ) -> RouteQueue | None:
        candidates = [
            queue
            for address, queue in self._routes.items()
            if queue and address not in skipped
        ]
        return min(candidates, key=order, default=None)

    def _find_or_add(self, route: Route) -> RouteQueue:
        route_queue = self._routes.get(route.address)
        if route_queue is None:
            route_queue = RouteQueue(route=route)
            self._routes[route.address] = route_queue
        else:
            route_queue.update_route(route)
        if route.priority not in self._weights:
            self._weights = _rank_weights({route.priority, *self._weights})
        return route_queue


def by_share(route_queue: RouteQueue) -> tuple[float, int, bytes]:
    """Return the key that orders routes by how far they are behind."""
    route = route_queue.route
    return (route_queue.start_tag, route.priority, route.address)


def _by_priority(route_queue: RouteQueue) -> tuple[int, float]:
    return (route_queue.route.priority, -route_queue.newest().opened_at)


def _rank_weights(priorities: Collection[int]) -> dict[int, float]:
    # By rank, since operators number priorities with or without gaps.
    return {
        priority: SHARE_PER_PRIORITY ** -min(rank, MAX_PRIORITY_STEPS)
        for rank, priority in enumerate(sorted(priorities))
    }
