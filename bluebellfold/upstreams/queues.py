"""Keep the queued and running requests of one kind at one upstream."""

from collections import OrderedDict
from heapq import heappop, heappush

from bluebellfold.core import SLOT, Kind
from bluebellfold.upstreams.credit import Credit
from bluebellfold.upstreams.messages import Request, RequestKey
from bluebellfold.upstreams.moving_average import MovingAverage

NEVER = float('inf')
# Queue capacity until the first queued request has started: no wait can be
# predicted before that.
UNPREDICTED_QUEUE_CAPACITY = 16


class KindQueue:
    """Keep the queued and running requests of one kind, and its credit.

    A start that is charged to the guaranteed share reduces the credit by the
    expected service time. The charge is corrected when the request ends.
    """

    __slots__ = (
        '_charges',
        '_credit',
        '_expiries',
        '_kind',
        '_last_start_at',
        '_running_since',
        '_service_time',
        '_start_interval',
        '_waiting',
    )

    def __init__(self, *, kind: Kind, capacity: int, now: float) -> None:
        self._kind = kind
        self._credit = Credit(guaranteed=kind.share * capacity, now=now)
        self._waiting: OrderedDict[RequestKey, Request] = OrderedDict()
        self._expiries: list[tuple[float, RequestKey]] = []
        self._running_since: dict[RequestKey, float] = {}
        self._charges: dict[RequestKey, float] = {}
        self._service_time = MovingAverage()
        self._start_interval = MovingAverage()
        self._last_start_at = now

    @property
    def kind(self) -> Kind:
        """Return the request kind."""
        return self._kind

    @property
    def credit(self) -> Credit:
        """Return the credit that the kind earns from its share."""
        return self._credit

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running_since)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    @property
    def empty(self) -> bool:
        """Return whether no request is queued or running."""
        return not self._waiting and not self._running_since

    @property
    def head(self) -> Request:
        """Return the request that has waited longest."""
        return next(iter(self._waiting.values()))

    @property
    def expected_service_seconds(self) -> float:
        """Return the expected service time to subtract from a deadline.

        It is 0 for kinds that hold a connection: their streams last for
        hours, and the deadline applies to the response head only.
        """
        return self._service_time.seconds if self._kind.holds == SLOT else 0

    def reconfigure(self, *, kind: Kind, capacity: int, now: float) -> None:
        """Apply new settings; queued and running requests are kept."""
        self._kind = kind
        self._credit.update_guarantee(guaranteed=kind.share * capacity, now=now)

    def enqueue(self, request: Request, now: float) -> None:
        """Append the request to the queue."""
        if not self._waiting:
            # Start intervals are measured only while requests are queued.
            self._last_start_at = now
        self._waiting[request.key] = request
        heappush(self._expiries, (self.latest_start(request), request.key))

    def start_head(self, now: float, *, charged: bool) -> Request:
        """Start the first queued request."""
        key, request = self._waiting.popitem(last=False)
        # A request that starts on arrival was not queued.
        if request.arrived_at < now:
            self._start_interval.add(now - self._last_start_at)
        self._last_start_at = now
        self._running_since[key] = now
        if charged:
            self._charges[key] = self._service_time.seconds
            self._credit.spend(self._service_time.seconds)
        return request

    def remove(self, key: RequestKey) -> Request | None:
        """Remove a request from the queue; None if it is not queued."""
        return self._waiting.pop(key, None)

    def finish(self, key: RequestKey, now: float) -> None:
        """Remove a running request and record its service time."""
        ran_seconds = now - self._running_since.pop(key)
        charge = self._charges.pop(key, None)
        if charge is not None:
            self._credit.spend(ran_seconds - charge)
        self._service_time.add(ran_seconds)

    def predicted_wait(self) -> float:
        """Predict the wait at the end of the queue, in seconds."""
        if (
            self._start_interval.empty
            and self.waiting >= UNPREDICTED_QUEUE_CAPACITY
        ):
            return NEVER
        return self.waiting * self._start_interval.seconds

    def latest_start(self, request: Request) -> float:
        """Return when the request becomes overdue and can no longer start."""
        queue_time_ends = request.arrived_at + self._kind.queue_seconds
        return min(
            queue_time_ends, request.deadline_at - self.expected_service_seconds
        )

    def next_expiry(self) -> float:
        """Return when the next queued request becomes overdue."""
        while self._expiries:
            latest_start, key = self._expiries[0]
            if key in self._waiting:
                return latest_start
            heappop(self._expiries)
        return NEVER

    def remove_overdue(self, now: float) -> list[Request]:
        """Remove and return the overdue queued requests."""
        overdue = []
        while self.next_expiry() <= now:
            _, key = heappop(self._expiries)
            overdue.append(self._waiting.pop(key))
        return overdue

    def limit_wait(self, until: float) -> None:
        """Make the queued requests overdue at this time at the latest."""
        for key in self._waiting:
            heappush(self._expiries, (until, key))
