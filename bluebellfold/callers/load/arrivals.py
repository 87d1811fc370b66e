"""Schedule the requests of a load run."""

import random
from collections.abc import Iterator

from bluebellfold.callers.load.plan import KindLoad, LoadPlan, Window
from bluebellfold.core import Record, read_only


class Arrival(Record):
    """Hold the due time of a request, in seconds from the start of the run."""

    __slots__ = ('_due_at', '_kind', '_number')

    due_at: float = read_only('_due_at')
    kind: KindLoad = read_only('_kind')
    number: int = read_only('_number')

    def __init__(
        self,
        *,
        due_at: float,
        kind: KindLoad,
        number: int,
    ) -> None:
        self._due_at = due_at
        self._kind = kind
        self._number = number


def schedule(plan: LoadPlan) -> tuple[Arrival, ...]:
    """Return the Poisson arrivals of a run, ordered by due time."""
    rng = random.Random(plan.seed)
    due = [
        (due_at, kind)
        for kind in plan.kinds
        for due_at in _due_times(plan, kind, rng)
    ]
    due.sort(key=lambda pair: pair[0])
    return tuple(
        Arrival(due_at=due_at, kind=kind, number=number)
        for number, (due_at, kind) in enumerate(due)
    )


def _due_times(
    plan: LoadPlan,
    kind: KindLoad,
    rng: random.Random,
) -> Iterator[float]:
    whole_run = Window(name='run', begins=0, ends=plan.seconds)
    yield from _poisson(whole_run, kind.rate, rng)
    for flood in plan.floods:
        if flood.kind == kind.name:
            yield from _poisson(flood.window, flood.rate, rng)


def _poisson(
    window: Window,
    rate: float,
    rng: random.Random,
) -> Iterator[float]:
    if rate <= 0:
        return
    due_at = window.begins + rng.expovariate(rate)
    while due_at < window.ends:
        yield due_at
        due_at += rng.expovariate(rate)
