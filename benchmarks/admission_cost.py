"""Measure what one decision of admission costs, idle and in a flood."""

import time

from bluebellfold.core import SLOT, Kind, Service
from bluebellfold.upstreams import Admission, Admitted, Request

DECISIONS = 50_000
MICROSECONDS = 1_000_000
ARRIVAL_GAP_SECONDS = 0.0001
SERVICE = Service(
    name='counter',
    number=1,
    upstreams=7,
    slots=3,
    connections=2000,
)


def kind_of(urgency: int, share: float) -> Kind:
    """Return one of the kinds that share the slots."""
    return Kind(
        name=f'kind-{urgency}',
        number=urgency + 1,
        service=SERVICE.name,
        port=7001 + urgency,
        urgency=urgency,
        share=share,
        repeatable=False,
        holds=SLOT,
        queue_seconds=0.5,
        deadline_seconds=2,
        first_flights_per_second=1000,
    )


KINDS = (kind_of(0, 0.5), kind_of(1, 0.3), kind_of(2, 0.2))


def requests() -> list[Request]:
    """Return the arrivals of all kinds in turn."""
    return [
        Request(
            key=number,
            kind=KINDS[number % len(KINDS)],
            method='POST',
            path='/',
            fields=(),
            arrived_at=number * ARRIVAL_GAP_SECONDS,
            deadline_at=number * ARRIVAL_GAP_SECONDS + 2,
        )
        for number in range(DECISIONS)
    ]


def run_idle(admission: Admission, arrivals: list[Request]) -> float:
    """Start and end each request before the next, return the seconds."""
    started = time.process_time()
    for request in arrivals:
        now = request.arrived_at
        admission.admit(request, now)
        admission.release(request.key, now + ARRIVAL_GAP_SECONDS / 2)
    return time.process_time() - started


def run_flood(admission: Admission, arrivals: list[Request]) -> float:
    """End one running request after each ten arrivals."""
    running = []
    started = time.process_time()
    for request in arrivals:
        now = request.arrived_at
        decision = admission.admit(request, now)
        if isinstance(decision, Admitted):
            running.append(request.key)
        if request.key % 10 == 0:
            changes = admission.release(running.pop(0), now)
            running.extend(started.key for started in changes.started)
    return time.process_time() - started


def main() -> None:
    """Print the processor time of a decision."""
    for name, run in (('idle', run_idle), ('ten times', run_flood)):
        admission = Admission(service=SERVICE, kinds=KINDS, now=0)
        spent = run(admission, requests()) / DECISIONS
        print(f'{name}: {spent * MICROSECONDS:.1f} us a request')


if __name__ == '__main__':
    main()
