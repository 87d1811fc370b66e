"""Run arrivals against the admission of a small fleet, in virtual time."""

import heapq
import random
from itertools import count
from types import MappingProxyType

from hdrh.histogram import HdrHistogram

from bluebellfold.core import SLOT, Kind, Service
from bluebellfold.upstreams import Admission, Admitted, Queued, Refused, Request
from bluebellfold.upstreams.outcomes import DRAINING

UPSTREAMS = 7
LEAVING = 2
WARM_SECONDS = 5
END_SECONDS = 15
LEAVE_AT_SECONDS = 10
FLOOD_FACTOR = 10
MICROSECONDS = 1_000_000
MILLISECONDS = 1000
LONGEST_MICROSECONDS = 60 * MICROSECONDS
PERCENTILE = 99
ARRIVE, END, EXPIRE, LEAVE = range(4)


def kind_of(name: str, urgency: int, share: float) -> Kind:
    """Return a kind of work that takes slots."""
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


ORDER = kind_of('order', 0, 0.5)
STOCK = kind_of('stock', 1, 0.3)
BATCH = kind_of('batch', 2, 0.2)
KINDS = (ORDER, STOCK, BATCH)
# The parts of the fleet's slots that each kind needs without a flood.
NORMAL_PARTS = MappingProxyType({ORDER: 0.25, STOCK: 0.15, BATCH: 0.1})
SERVICE_SECONDS = MappingProxyType(
    {
        'equal': {ORDER: 0.05, STOCK: 0.05, BATCH: 0.05},
        'long batches': {ORDER: 0.02, STOCK: 0.05, BATCH: 0.2},
    }
)


class Tally:
    """Count what became of one kind of work."""

    def __init__(self) -> None:
        self.done = 0
        self.used_seconds = 0
        self.refused_at_once = 0
        self.refused_later = 0
        self.late = 0
        self.latencies = HdrHistogram(1, LONGEST_MICROSECONDS, 3)

    @property
    def p99_ms(self) -> float:
        """Return the 99th percentile from arrival to end."""
        latency = self.latencies.get_value_at_percentile(PERCENTILE)
        return latency * MILLISECONDS / MICROSECONDS


class Fleet:
    """Run one scenario; loads are known, so that only admission differs."""

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
        self.order = count()
        self.events = []
        self.flood = flood
        # Own streams of chance, so that a flood changes no other arrival.
        self.arrivals = {
            kind: random.Random(f'{seed} {kind.name}') for kind in KINDS
        }
        self.work = random.Random(seed)
        for kind in KINDS:
            self.push(self.gap(kind), ARRIVE, kind)
        if leaving:
            self.push(LEAVE_AT_SECONDS, LEAVE, None)

    def run(self) -> None:
        """Act on the events until the end."""
        acts = {
            ARRIVE: self.arrive,
            END: self.end,
            EXPIRE: self.expire,
            LEAVE: self.leave,
        }
        while self.events:
            now, _, event, subject = heapq.heappop(self.events)
            if now > END_SECONDS:
                return
            acts[event](subject, now)

    def push(self, moment: float, event: int, subject: object) -> None:
        """Plan an event."""
        heapq.heappush(
            self.events,
            (moment, next(self.order), event, subject),
        )

    def gap(self, kind: Kind) -> float:
        """Return the time to the kind's next arrival."""
        part = NORMAL_PARTS[kind]
        if kind in self.flood:
            part = FLOOD_FACTOR
        rate = part * UPSTREAMS * self.slots / self.seconds[kind]
        return self.arrivals[kind].expovariate(rate)

    def arrive(self, kind: Kind, now: float) -> None:
        """Give a request to the less loaded of two upstreams."""
        self.push(now + self.gap(kind), ARRIVE, kind)
        request = Request(
            key=next(self.order),
            kind=kind,
            method='POST',
            path='/',
            fields=(),
            arrived_at=now,
            deadline_at=now + kind.deadline_seconds,
        )
        two = self.work.sample(self.serving, 2)
        place = min(two, key=self.load)
        decision = self.admissions[place].admit(request, now)
        if isinstance(decision, Admitted):
            self.start(place, request, now)
        if isinstance(decision, Queued):
            self.watch(place)
        if isinstance(decision, Refused) and now > WARM_SECONDS:
            self.tallies[kind].refused_at_once += 1

    def load(self, place: int) -> int:
        """Return the slots in use of an upstream."""
        return self.admissions[place].slots_in_use

    def start(self, place: int, request: Request, now: float) -> None:
        """Run the request for a time with some spread."""
        spread = self.work.lognormvariate(0, 0.3)
        ends_at = now + self.seconds[request.kind] * spread
        self.push(ends_at, END, (place, request, now))

    def end(self, subject: tuple[int, Request, float], now: float) -> None:
        """Count the request and start what waits."""
        place, request, began = subject
        tally = self.tallies[request.kind]
        if request.arrived_at > WARM_SECONDS:
            tally.done += 1
            tally.late += now > request.deadline_at
            latency = now - request.arrived_at
            tally.latencies.record_value(round(latency * MICROSECONDS))
        if began > WARM_SECONDS:
            tally.used_seconds += now - began
        self.take(place, self.admissions[place].release(request.key, now), now)

    def expire(self, place: int, now: float) -> None:
        """Let the upstream refuse what waited for too long."""
        self.expiry_at[place] = float('inf')
        self.take(place, self.admissions[place].expire(now), now)
        self.watch(place)

    def leave(self, _: object, now: float) -> None:
        """Drain a third of the upstreams."""
        for place in range(LEAVING):
            self.serving.remove(place)
            self.take(place, self.admissions[place].drain(now), now)

    def watch(self, place: int) -> None:
        """Plan the next call of expire."""
        expiry = self.admissions[place].next_expiry
        if expiry < self.expiry_at[place]:
            self.expiry_at[place] = expiry
            self.push(expiry, EXPIRE, place)

    def take(self, place: int, changes: object, now: float) -> None:
        """Start and refuse as decided."""
        for request in changes.started:
            self.start(place, request, now)
        for refused in changes.refused:
            # What drains is handed on by the agent; here it counts as lost.
            kept = refused.reason is DRAINING or now <= WARM_SECONDS
            self.tallies[refused.request.kind].refused_later += not kept
