"""Schedule one upstream's slots or connections among the kinds."""

from collections.abc import Iterable

from bluebellfold.core import Kind
from bluebellfold.upstreams.disciplines import Discipline, disciplines
from bluebellfold.upstreams.messages import Request
from bluebellfold.upstreams.queues import NEVER, KindQueue


class Scheduler:
    """Assign slots, or connections, to the queued requests of all kinds."""

    __slots__ = ('_accepted_kinds', '_capacity', '_choose', '_queues')

    def __init__(
        self,
        *,
        capacity: int,
        kinds: Iterable[Kind],
        discipline: str,
        now: float,
    ) -> None:
        self._capacity = capacity
        self._choose: Discipline = disciplines.find(discipline)
        self._queues: dict[str, KindQueue] = {}
        self._accepted_kinds: dict[str, Kind] = {}
        self.reconfigure(capacity, kinds, now)

    @property
    def queues(self) -> tuple[KindQueue, ...]:
        """Return the queues of all kinds."""
        return tuple(self._queues.values())

    @property
    def free(self) -> int:
        """Return the number of free slots or connections."""
        return self._capacity - self.running

    @property
    def running(self) -> int:
        """Return the number of slots or connections in use."""
        return sum(queue.running for queue in self.queues)

    @property
    def next_expiry(self) -> float:
        """Return when the next queued request becomes overdue."""
        expiries = (queue.next_expiry() for queue in self.queues)
        return min(expiries, default=NEVER)

    def queue_of(self, kind: Kind) -> KindQueue | None:
        """Return the kind's queue; None if the service does not accept it."""
        if kind.name not in self._accepted_kinds:
            return None
        return self._queues[kind.name]

    def reconfigure(
        self, capacity: int, kinds: Iterable[Kind], now: float
    ) -> None:
        """Apply new settings; queued and running requests are kept.

        After a reduction of the capacity nothing starts until enough
        requests have ended. Open requests of a removed kind have no share.
        """
        self._capacity = capacity
        self._accepted_kinds = {kind.name: kind for kind in kinds}
        for removed in self._queues.keys() - self._accepted_kinds:
            self._retire_kind(removed, now)
        for name, kind in self._accepted_kinds.items():
            queue = self._queues.get(name)
            if queue is None:
                queue = KindQueue(kind=kind, capacity=capacity, now=now)
                self._queues[name] = queue
            queue.reconfigure(kind=kind, capacity=capacity, now=now)

    def start_queued(self, now: float) -> list[Request]:
        """Start the queued requests that the discipline and capacity allow."""
        for queue in self.queues:
            queue.credit.accrue(now)
        started: list[Request] = []
        while self.free > 0:
            selection = self._choose(self.queues, self.free)
            if selection is None:
                break
            started.append(
                selection.queue.start_head(now, charged=selection.charged)
            )
        return started

    def _retire_kind(self, name: str, now: float) -> None:
        queue = self._queues[name]
        if queue.empty:
            self._queues.pop(name)
            return
        without_share = queue.kind.replace(share=0)
        queue.reconfigure(kind=without_share, capacity=self._capacity, now=now)
