"""Order the queued flows of one route.

A burst queues more flows than can be served within the target latency.
Serving the oldest first would delay all of them until each misses its target,
and in a mere order of time a client that opens many flows would take the
places of the others. So the newest flow is next, but in each round a client
gets a limited number of turns. A round ends when no client that has turns left
has a flow that can meet its target.
"""

import heapq
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from bluebellfold.core import Route
from bluebellfold.relay.callers.queued_flow import QueuedFlow

# Flows of a client that are assigned before those of clients without turns.
TURNS_PER_ROUND = 4
# Obsolete entries are dropped when there are this many more than twice the
# current ones, which keeps the cost of a removal constant.
_COMPACTION_SLACK = 16
# Number of a client that is not in the order of its route.
_NO_NUMBER = -1


class Numbered(Protocol):
    """Describe what is ordered by time under a number."""

    @property
    def number(self) -> int:
        """Return the number, which is new each time it is added."""
        ...

    @property
    def opened_at(self) -> float:
        """Return the time that orders it."""
        ...


Ordered = TypeVar('Ordered', bound=Numbered)


class NewestFirst(Generic[Ordered]):
    """Order flows, or clients by their newest flows, by the newest first.

    An entry is obsolete if its number differs from that of what it refers to.
    """

    __slots__ = ('_entries', '_size')

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Ordered]] = []
        self._size = 0

    def __len__(self) -> int:
        """Return the number of current entries."""
        return self._size

    def __iter__(self) -> Iterator[Ordered]:
        """Iterate over what is held, the newest first."""
        return (entry[-1] for entry in sorted(self._current_entries()))

    def add(self, ordered: Ordered) -> None:
        """Add what has just taken a number."""
        self._size += 1
        heapq.heappush(
            self._entries, (-ordered.opened_at, ordered.number, ordered)
        )

    def count_removed(self) -> None:
        """Count the removal of what has just dropped its number."""
        self._size -= 1
        if len(self._entries) > 2 * self._size + _COMPACTION_SLACK:
            self._entries = self._current_entries()
            heapq.heapify(self._entries)

    def peek(self) -> Ordered:
        """Return the newest; raise IndexError if there is none."""
        while _is_obsolete(self._entries[0]):
            heapq.heappop(self._entries)
        return self._entries[0][-1]

    def _current_entries(self) -> list[tuple[float, int, Ordered]]:
        return [entry for entry in self._entries if not _is_obsolete(entry)]


class ClientQueue:
    """Hold the queued flows of one client and route."""

    __slots__ = ('_flows', '_number', '_turns_left')

    def __init__(self) -> None:
        self._flows: NewestFirst[QueuedFlow] = NewestFirst()
        self._number = _NO_NUMBER
        self._turns_left = TURNS_PER_ROUND

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    @property
    def flows(self) -> NewestFirst[QueuedFlow]:
        """Return the flows."""
        return self._flows

    @property
    def number(self) -> int:
        """Return the number in the order of clients."""
        return self._number

    @property
    def opened_at(self) -> float:
        """Return when the newest flow was opened."""
        return self._flows.peek().opened_at

    @property
    def turns_left(self) -> int:
        """Return how many flows may be assigned in this round."""
        return self._turns_left

    def take_number(self, number: int) -> None:
        """Enter the order of clients under a new number."""
        self._number = number

    def drop_number(self) -> None:
        """Leave the order of clients."""
        self._number = _NO_NUMBER

    def use_turn(self) -> None:
        """Count an assignment."""
        self._turns_left -= 1

    def start_round(self) -> None:
        """Allow the assignments of a new round."""
        self._turns_left = TURNS_PER_ROUND


class RouteQueue:
    """Hold the queued flows of one route and service.

    ``start_tag`` is the virtual time at which the route is served next (see
    ``fair_queue``).
    """

    __slots__ = (
        '_clients',
        '_clients_in_turn',
        '_flows',
        '_last_number',
        '_out_of_turns',
        '_route',
        '_start_tag',
    )

    def __init__(self, *, route: Route) -> None:
        self._route = route
        self._flows: NewestFirst[QueuedFlow] = NewestFirst()
        self._clients: dict[str, ClientQueue] = {}
        self._clients_in_turn: NewestFirst[ClientQueue] = NewestFirst()
        # By client, and only those that have queued flows.
        self._out_of_turns: dict[str, ClientQueue] = {}
        self._last_number = 0
        self._start_tag = float(0)

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    @property
    def route(self) -> Route:
        """Return the route."""
        return self._route

    @property
    def start_tag(self) -> float:
        """Return the virtual time at which the route is served next."""
        return self._start_tag

    def update_route(self, route: Route) -> None:
        """Replace the route by that of a newer configuration."""
        self._route = route

    def start_at(self, virtual_time: float) -> None:
        """Claim no share for the time without queued flows."""
        self._start_tag = max(self._start_tag, virtual_time)

    def add(self, queued: QueuedFlow) -> None:
        """Add a flow that has just taken a number."""
        self._flows.add(queued)
        client = self._clients.get(queued.client)
        if client is None:
            client = ClientQueue()
            self._clients[queued.client] = client
        client.flows.add(queued)
        self._reorder(client)

    def count_removed(self, queued: QueuedFlow) -> None:
        """Count the removal of a flow that has just dropped its number."""
        self._flows.count_removed()
        client = self._clients[queued.client]
        client.flows.count_removed()
        self._reorder(client)
        if not client:
            self._clients.pop(queued.client)
            self._out_of_turns.pop(queued.client, None)

    def charge(self, queued: QueuedFlow, cost: float) -> None:
        """Count the assignment of a flow that has been removed."""
        self._start_tag += cost
        client = self._clients.get(queued.client)
        if client is None:
            return
        client.use_turn()
        self._reorder(client)
        if not client.turns_left:
            self._out_of_turns[queued.client] = client

    def newest(self) -> QueuedFlow:
        """Return the newest flow; raise IndexError if there is none."""
        return self._flows.peek()

    def next_in_turn(self, now: float) -> QueuedFlow:
        """Return the flow to assign next under contention.

        Raise IndexError if there is none.
        """
        if self._clients_in_turn:
            newest = self._clients_in_turn.peek().flows.peek()
            if newest.can_meet_target(now):
                return newest
        self._start_round()
        return self._clients_in_turn.peek().flows.peek()

    def list_in_turn(self, now: float) -> list[QueuedFlow]:
        """Return all flows in the order in which they would be assigned."""
        ranked = [
            (_rank(queued, turn, now), queued)
            for client in self._clients.values()
            for turn, queued in enumerate(client.flows)
        ]
        ranked.sort()
        return [entry[-1] for entry in ranked]

    def _reorder(self, client: ClientQueue) -> None:
        if client.number != _NO_NUMBER:
            client.drop_number()
            self._clients_in_turn.count_removed()
        if client and client.turns_left:
            self._last_number += 1
            client.take_number(self._last_number)
            self._clients_in_turn.add(client)

    def _start_round(self) -> None:
        for client in self._out_of_turns.values():
            client.start_round()
            self._reorder(client)
        self._out_of_turns.clear()


def _is_obsolete(entry: tuple[float, int, Numbered]) -> bool:
    return entry[1] != entry[-1].number


def _rank(
    queued: QueuedFlow, turn: int, now: float
) -> tuple[bool, int, float, int]:
    # Rounds are only for flows that can meet their target.
    is_late = not queued.can_meet_target(now)
    round_number = 0 if is_late else turn // TURNS_PER_ROUND
    return (is_late, round_number, -queued.opened_at, queued.number)
