"""Choose the kind that gets the next free slot or connection."""

from collections.abc import Callable, Sequence

from bluebellfold.core import Record, Registry, read_only
from bluebellfold.upstreams.queues import KindQueue


class Selection(Record):
    """Name the queue whose head starts next.

    ``charged`` is true if the start is charged to the guaranteed share.
    """

    __slots__ = ('_charged', '_queue')

    charged: bool = read_only('_charged')
    queue: KindQueue = read_only('_queue')

    def __init__(self, *, queue: KindQueue, charged: bool = False) -> None:
        self._queue = queue
        self._charged = charged


Discipline = Callable[[Sequence[KindQueue], int], Selection | None]

disciplines: Registry[str, Discipline] = Registry(name='queue disciplines')


@disciplines.add('fifo')
def choose_oldest(queues: Sequence[KindQueue], free: int) -> Selection | None:
    """Choose the request that arrived first, regardless of its kind."""
    nonempty = _nonempty(queues)
    if not nonempty:
        return None
    return Selection(queue=min(nonempty, key=_head_arrived_at))


@disciplines.add('strict')
def choose_most_urgent(
    queues: Sequence[KindQueue], free: int
) -> Selection | None:
    """Choose the most urgent kind, regardless of guaranteed shares."""
    nonempty = _nonempty(queues)
    if not nonempty:
        return None
    return Selection(queue=min(nonempty, key=_urgency))


@disciplines.add('shares')
def choose_by_credit(
    queues: Sequence[KindQueue], free: int
) -> Selection | None:
    """Choose the kind with the most unused share, else the most urgent."""
    with_credit = [
        queue for queue in _nonempty(queues) if queue.credit.balance > 0
    ]
    if with_credit:
        return Selection(
            queue=max(with_credit, key=_balance_seconds), charged=True
        )
    return choose_most_urgent(queues, free)


@disciplines.add('reserved')
def choose_unreserved(
    queues: Sequence[KindQueue], free: int
) -> Selection | None:
    """Choose the most urgent kind that leaves other guarantees free.

    A long stream holds its connection until it ends, so guaranteed
    connections stay reserved and are not lent to other kinds.
    """
    eligible = [
        queue
        for queue in _nonempty(queues)
        if _leaves_guarantees(queue, queues, free)
    ]
    return choose_most_urgent(eligible, free)


def _nonempty(queues: Sequence[KindQueue]) -> list[KindQueue]:
    return [queue for queue in queues if queue.waiting]


def _head_arrived_at(queue: KindQueue) -> float:
    return queue.head.arrived_at


def _urgency(queue: KindQueue) -> int:
    return queue.kind.urgency


def _balance_seconds(queue: KindQueue) -> float:
    return queue.credit.balance_seconds


def _leaves_guarantees(
    candidate: KindQueue,
    queues: Sequence[KindQueue],
    free: int,
) -> bool:
    if candidate.running + 1 <= candidate.credit.guaranteed:
        return True
    reserved = sum(
        max(0, queue.credit.guaranteed - queue.running)
        for queue in queues
        if queue is not candidate
    )
    return free - reserved >= 1
