"""Simulate request admission in a small fleet, in virtual time."""

import heapq
import random
from itertools import count
from types import MappingProxyType

from hdrh.histogram import HdrHistogram

from bluebellfold.core import SLOT, Kind, Service
from bluebellfold.upstreams import Admission, Admitted, Queued, Refused, Request
from bluebellfold.upstreams.outcomes import DRAINING

UPSTREAMS = 7
LEAVING_UPSTREAMS = 2
WARM_UP_SECONDS = 5
END_SECONDS = 15
LEAVE_AT_SECONDS = 10
FLOOD_FACTOR = 10
MICROSECONDS = 1_000_000
MS_PER_SECOND = 1000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS
PERCENTILE = 99
ARRIVE, END, EXPIRE, LEAVE = range(4)


def build_kind(name: str, urgency: int, share: float) -> Kind:
    """Return a kind of work that occupies slots."""
    return Kind(
        name=name,
        number=urgency + 1,
        service='counter',
        port=7001 + urgency,
        urgency=urgency,
        share=share,
        repeatable=False,
        holds=SLOT,
        queue_seconds=0.5,
        deadline_seconds=2.0,
        first_flights_per_second=1000,
    )


ORDER = build_kind('order', 0, 0.5)
STOCK = build_kind('stock', 1, 0.3)
BATCH = build_kind('batch', 2, 0.2)
KINDS = (ORDER, STOCK, BATCH)
# The fraction of the fleet's slots that each kind occupies without a flood.
NORMAL_SLOT_SHARES = MappingProxyType({ORDER: 0.25, STOCK: 0.15, BATCH: 0.1})
SERVICE_SECONDS = MappingProxyType(
    {
        'equal': {ORDER: 0.05, STOCK: 0.05, BATCH: 0.05},
        'long batches': {ORDER: 0.02, STOCK: 0.05, BATCH: 0.2},
    }
)


class Tally:
    """Count the outcomes of one kind of work after the warm-up."""

    def __init__(self) -> None:
        self.done = 0
        self.used_seconds = 0
        self.refused_at_once = 0
        self.refused_later = 0
        self.late = 0
        self.latencies = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)

    @property
    def p99_ms(self) -> float:
        """Return the 99th percentile of the time from arrival to completion."""
        latency = self.latencies.get_value_at_percentile(PERCENTILE)
        return latency * MS_PER_SECOND / MICROSECONDS


class Fleet:
    """Simulate one scenario in which the load of each upstream is known.

    Exact loads leave admission as the only difference between runs.
    """

    def __init__(
        self,
        *,
        slots: int,
        discipline: str,
        flood: tuple[Kind, ...],
        seconds: dict[Kind, float],
        leaving: bool,
        seed: int,
    ) -> None:
        self.slots = slots
        self.seconds = seconds
        service = Service(
            name='counter',
            number=1,
            upstreams=UPSTREAMS,
            slots=slots,
            connections=1,
        )
        self.admissions = [
            Admission(
                service=service,
                kinds=KINDS,
                now=0,
                slot_discipline=discipline,
            )
            for _ in range(UPSTREAMS)
        ]
        self.serving = list(range(UPSTREAMS))
        self.expiry_at = [float('inf') for _ in range(UPSTREAMS)]
        self.tallies = {kind: Tally() for kind in KINDS}
        self.event_numbers = count()
        self.events = []
        self.flood = flood
        # Each kind has its own generator, so that a flood of one kind does not
        # change the arrivals of the others.
        self.arrival_random = {
            kind: random.Random(f'{seed} {kind.name}') for kind in KINDS
        }
        self.random = random.Random(seed)
        for kind in KINDS:
            self.schedule(self.arrival_interval(kind), ARRIVE, kind)
        if leaving:
            self.schedule(LEAVE_AT_SECONDS, LEAVE, None)

    def run(self) -> None:
        """Process events until END_SECONDS."""
        handlers = {
            ARRIVE: self.arrive,
            END: self.end,
            EXPIRE: self.expire,
            LEAVE: self.leave,
        }
        while self.events:
            now, _, event, subject = heapq.heappop(self.events)
            if now > END_SECONDS:
                return
            handlers[event](subject, now)

    def schedule(self, at: float, event: int, subject: object) -> None:
        """Schedule an event."""
        heapq.heappush(
            self.events,
            (at, next(self.event_numbers), event, subject),
        )

    def arrival_interval(self, kind: Kind) -> float:
        """Return the random time until the next request of the kind."""
        slot_share = NORMAL_SLOT_SHARES[kind]
        if kind in self.flood:
            slot_share = FLOOD_FACTOR
        rate = slot_share * UPSTREAMS * self.slots / self.seconds[kind]
        return self.arrival_random[kind].expovariate(rate)

    def arrive(self, kind: Kind, now: float) -> None:
        """Submit a request to the less loaded of two random upstreams."""
        self.schedule(now + self.arrival_interval(kind), ARRIVE, kind)
        request = Request(
            key=next(self.event_numbers),
            kind=kind,
            method='POST',
            path='/',
            fields=(),
            arrived_at=now,
            deadline_at=now + kind.deadline_seconds,
        )
        sampled = self.random.sample(self.serving, 2)
        index = min(sampled, key=self.slots_in_use)
        decision = self.admissions[index].admit(request, now)
        if isinstance(decision, Admitted):
            self.start(index, request, now)
        if isinstance(decision, Queued):
            self.schedule_expiry(index)
        if isinstance(decision, Refused) and now > WARM_UP_SECONDS:
            self.tallies[kind].refused_at_once += 1

    def slots_in_use(self, index: int) -> int:
        """Return the number of slots that an upstream has in use."""
        return self.admissions[index].slots_in_use

    def start(self, index: int, request: Request, now: float) -> None:
        """Run the request for a log-normally distributed time."""
        duration_factor = self.random.lognormvariate(0, 0.3)
        ends_at = now + self.seconds[request.kind] * duration_factor
        self.schedule(ends_at, END, (index, request, now))

    def end(self, subject: tuple[int, Request, float], now: float) -> None:
        """Record the completed request and start queued ones."""
        index, request, started_at = subject
        tally = self.tallies[request.kind]
        if request.arrived_at > WARM_UP_SECONDS:
            tally.done += 1
            tally.late += now > request.deadline_at
            latency = now - request.arrived_at
            tally.latencies.record_value(round(latency * MICROSECONDS))
        if started_at > WARM_UP_SECONDS:
            tally.used_seconds += now - started_at
        self.apply_changes(
            index, self.admissions[index].release(request.key, now), now
        )

    def expire(self, index: int, now: float) -> None:
        """Refuse requests of an upstream that have waited too long."""
        self.expiry_at[index] = float('inf')
        self.apply_changes(index, self.admissions[index].expire(now), now)
        self.schedule_expiry(index)

    def leave(self, _: object, now: float) -> None:
        """Drain LEAVING_UPSTREAMS upstreams."""
        for index in range(LEAVING_UPSTREAMS):
            self.serving.remove(index)
            self.apply_changes(index, self.admissions[index].drain(now), now)

    def schedule_expiry(self, index: int) -> None:
        """Schedule the next queue expiry of an upstream."""
        expiry = self.admissions[index].next_expiry
        if expiry < self.expiry_at[index]:
            self.expiry_at[index] = expiry
            self.schedule(expiry, EXPIRE, index)

    def apply_changes(self, index: int, changes: object, now: float) -> None:
        """Start and refuse requests as admission decided."""
        for request in changes.started:
            self.start(index, request, now)
        for refused in changes.refused:
            # An agent forwards the queue of a draining upstream. Here those
            # requests are neither completed nor counted as refused.
            ignored = refused.reason is DRAINING or now <= WARM_UP_SECONDS
            self.tallies[refused.request.kind].refused_later += not ignored
