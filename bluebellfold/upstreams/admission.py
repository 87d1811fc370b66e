"""Control the admission of requests to one upstream."""

from collections.abc import Iterable

from bluebellfold.core import (
    CONNECTION,
    SLOT,
    BluebellfoldError,
    Kind,
    Record,
    Sentinel,
    Service,
    read_only,
)
from bluebellfold.upstreams.messages import Request, RequestKey
from bluebellfold.upstreams.outcomes import (
    DEADLINE_TOO_NEAR,
    DRAINING,
    NOT_SERVED,
    OVER_SHARE,
    QUEUE_TOO_LONG,
    WAITED_TOO_LONG,
)
from bluebellfold.upstreams.queues import KindQueue
from bluebellfold.upstreams.scheduler import Scheduler

# Queued requests may start for this long after a drain begins.
DRAIN_START_WINDOW_SECONDS = 2.0


class DuplicateRequestError(BluebellfoldError):
    """Report a request that has the key of an unfinished request."""

    __slots__ = ()


# Largest predicted wait, as a fraction of queue_seconds. The margin absorbs
# predictions that are too short: a client that is refused after waiting has
# little time left to use another upstream.
MAX_PREDICTED_WAIT_FRACTION = 0.6


class Admitted(Record):
    """Decide that the request starts now."""

    __slots__ = ()


class Queued(Record):
    """Decide that the request waits in its queue."""

    __slots__ = ()


class Refused(Record):
    """Decide that the request does not run, and give the reason."""

    __slots__ = ('_reason', '_request')

    reason: Sentinel = read_only('_reason')
    request: Request = read_only('_request')

    def __init__(self, *, request: Request, reason: Sentinel) -> None:
        self._request = request
        self._reason = reason


Decision = Admitted | Queued | Refused


class QueueChanges(Record):
    """List the queued requests that start and those that are refused."""

    __slots__ = ('_refused', '_started')

    refused: tuple[Refused, ...] = read_only('_refused')
    started: tuple[Request, ...] = read_only('_started')

    def __init__(
        self,
        *,
        started: Iterable[Request] = (),
        refused: Iterable[Refused] = (),
    ) -> None:
        self._started = tuple(started)
        self._refused = tuple(refused)


class Admission:
    """Control which requests start, wait or are refused at one upstream.

    Every ``now`` is in seconds of one monotonic clock. A request that was
    admitted or queued ends exactly once: it is released, or it is refused
    while it is queued.
    """

    __slots__ = ('_draining', '_queue_of', '_schedulers')

    def __init__(
        self,
        *,
        service: Service,
        kinds: Iterable[Kind],
        now: float,
        slot_discipline: str = 'shares',
        connection_discipline: str = 'reserved',
    ) -> None:
        kinds = tuple(kinds)
        self._schedulers = {
            SLOT: Scheduler(
                capacity=service.slots,
                kinds=_kinds_holding(SLOT, kinds),
                discipline=slot_discipline,
                now=now,
            ),
            CONNECTION: Scheduler(
                capacity=service.connections,
                kinds=_kinds_holding(CONNECTION, kinds),
                discipline=connection_discipline,
                now=now,
            ),
        }
        self._queue_of: dict[RequestKey, KindQueue] = {}
        self._draining = False

    @property
    def slots_in_use(self) -> int:
        """Return the number of slots in use."""
        return self._schedulers[SLOT].running

    @property
    def connections_in_use(self) -> int:
        """Return the number of connections that long streams hold."""
        return self._schedulers[CONNECTION].running

    @property
    def idle(self) -> bool:
        """Return whether no request is queued or running."""
        return not self._queue_of

    @property
    def next_expiry(self) -> float:
        """Return when ``expire`` must be called next; infinity if never."""
        return min(
            scheduler.next_expiry for scheduler in self._schedulers.values()
        )

    def admit(self, request: Request, now: float) -> Decision:
        """Start, queue or refuse a new request.

        Raises DuplicateRequestError if its key is already in use.
        """
        if request.key in self._queue_of:
            raise DuplicateRequestError(
                problem=f'request key {request.key} is already in use',
                remedy='use a unique key for each request',
            )
        scheduler = self._schedulers[request.kind.holds]
        queue = scheduler.queue_of(request.kind)
        if self._draining:
            return Refused(request=request, reason=DRAINING)
        if queue is None:
            return Refused(request=request, reason=NOT_SERVED)
        if request.deadline_at <= now + queue.expected_service_seconds:
            return Refused(request=request, reason=DEADLINE_TOO_NEAR)
        predicted_wait_seconds = queue.predicted_wait()
        queue.enqueue(request, now)
        # No other request can start here, since no capacity became free.
        if any(
            started.key == request.key
            for started in scheduler.start_queued(now)
        ):
            self._queue_of[request.key] = queue
            return Admitted()
        reason = _refusal_reason(request, queue, now + predicted_wait_seconds)
        if reason is not None:
            queue.remove(request.key)
            return Refused(request=request, reason=reason)
        self._queue_of[request.key] = queue
        return Queued()

    def release(self, key: RequestKey, now: float) -> QueueChanges:
        """Remove a request that ended or was cancelled in its queue."""
        queue = self._queue_of.pop(key, None)
        if queue is None:
            return QueueChanges()
        if queue.remove(key) is None:
            queue.finish(key, now)
        return self._expire_and_start(queue.kind.holds, now)

    def expire(self, now: float) -> QueueChanges:
        """Refuse overdue queued requests; start others if capacity is free."""
        changes = [
            self._expire_and_start(resource, now)
            for resource in self._schedulers
        ]
        return QueueChanges(
            started=[
                request for change in changes for request in change.started
            ],
            refused=[
                refused for change in changes for refused in change.refused
            ],
        )

    def drain(self, now: float) -> QueueChanges:
        """Refuse new requests.

        Queued requests may start for DRAIN_START_WINDOW_SECONDS.
        """
        self._draining = True
        for scheduler in self._schedulers.values():
            for queue in scheduler.queues:
                queue.limit_wait(now + DRAIN_START_WINDOW_SECONDS)
        return self.expire(now)

    def reconfigure(
        self,
        service: Service,
        kinds: Iterable[Kind],
        now: float,
    ) -> QueueChanges:
        """Apply new capacities of the service and new request kinds."""
        kinds = tuple(kinds)
        slot_kinds = _kinds_holding(SLOT, kinds)
        self._schedulers[SLOT].reconfigure(service.slots, slot_kinds, now)
        connection_kinds = _kinds_holding(CONNECTION, kinds)
        self._schedulers[CONNECTION].reconfigure(
            service.connections, connection_kinds, now
        )
        return self.expire(now)

    def _expire_and_start(self, resource: str, now: float) -> QueueChanges:
        scheduler = self._schedulers[resource]
        refused = [
            self._refuse(request, self._overdue_reason(request, now))
            for queue in scheduler.queues
            for request in queue.remove_overdue(now)
        ]
        return QueueChanges(
            started=scheduler.start_queued(now), refused=refused
        )

    def _overdue_reason(self, request: Request, now: float) -> Sentinel:
        if now >= request.arrived_at + request.kind.queue_seconds:
            return WAITED_TOO_LONG
        return DRAINING if self._draining else DEADLINE_TOO_NEAR

    def _refuse(self, request: Request, reason: Sentinel) -> Refused:
        self._queue_of.pop(request.key)
        return Refused(request=request, reason=reason)


def _kinds_holding(resource: str, kinds: Iterable[Kind]) -> list[Kind]:
    return [kind for kind in kinds if kind.holds == resource]


def _refusal_reason(
    request: Request,
    queue: KindQueue,
    predicted_start_at: float,
) -> Sentinel | None:
    if request.kind.queue_seconds <= 0:
        return OVER_SHARE
    max_wait_seconds = MAX_PREDICTED_WAIT_FRACTION * request.kind.queue_seconds
    if predicted_start_at >= request.arrived_at + max_wait_seconds:
        return QUEUE_TOO_LONG
    if predicted_start_at >= queue.latest_start(request):
        return DEADLINE_TOO_NEAR
    return None
