"""Measure the processor time per admitted request, idle and in a flood."""

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


def build_kind(urgency: int, share: float) -> Kind:
    """Return a kind of work that shares the slots."""
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


KINDS = (build_kind(0, 0.5), build_kind(1, 0.3), build_kind(2, 0.2))


def build_requests() -> list[Request]:
    """Return requests that alternate between the kinds."""
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
    """Complete each request before the next; return the processor time."""
    started = time.process_time()
    for request in arrivals:
        now = request.arrived_at
        admission.admit(request, now)
        admission.release(request.key, now + ARRIVAL_GAP_SECONDS / 2)
    return time.process_time() - started


def run_flood(admission: Admission, arrivals: list[Request]) -> float:
    """Complete one request per ten arrivals; return the processor time."""
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
    """Print the processor time per request."""
    for name, run in (('idle', run_idle), ('ten times', run_flood)):
        admission = Admission(service=SERVICE, kinds=KINDS, now=0)
        spent = run(admission, build_requests()) / DECISIONS
        print(f'{name}: {spent * MICROSECONDS:.1f} us a request')


if __name__ == '__main__':
    main()
