"""Draw a random schedule of faults from a seed."""

import random
from collections.abc import Sequence

from bluebellfold.core import Record, read_only

# Time of the first fault; the first flows open before it.
FIRST_FAULT_SECONDS = 2.0
# Faults overlap: on average one starts every 0.5 s and lasts 2 s.
MEAN_INTERVAL_SECONDS = 0.5
MIN_DURATION_SECONDS = 0.1
MAX_DURATION_SECONDS = 4.0


class ScheduledFault(Record):
    """State one fault of a run.

    ``target`` modulo the number of components is the index of the target.
    """

    __slots__ = ('_at', '_kind', '_seconds', '_target')

    at: float = read_only('_at')
    kind: str = read_only('_kind')
    seconds: float = read_only('_seconds')
    target: int = read_only('_target')

    def __init__(
        self, *, at: float, kind: str, target: int, seconds: float
    ) -> None:
        self._at = at
        self._kind = kind
        self._target = target
        self._seconds = seconds


def draw_plan(
    seed: int, *, seconds: float, kinds: Sequence[str]
) -> tuple[ScheduledFault, ...]:
    """Return the faults of a run in the order of their start.

    >>> first = draw_plan(7, seconds=10, kinds=('kill', 'pause'))
    >>> first == draw_plan(7, seconds=10, kinds=('kill', 'pause'))
    True
    """
    rng = random.Random(seed)
    faults = []
    at = FIRST_FAULT_SECONDS
    while at < seconds:
        faults.append(
            ScheduledFault(
                at=at,
                kind=rng.choice(kinds),
                target=rng.randrange(1000),
                seconds=rng.uniform(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS),
            )
        )
        at += rng.expovariate(1 / MEAN_INTERVAL_SECONDS)
    return tuple(faults)
