"""Draw from a seed which faults strike, when, where and for how long."""

import random
from collections.abc import Sequence

from bluebellfold.core import Record, read_only

# The first flows open before the first fault.
CALM_SECONDS = 2.0
# Faults overlap: one begins each half second in the mean, and lasts two.
MEAN_GAP_SECONDS = 0.5
SHORTEST_SECONDS = 0.1
LONGEST_SECONDS = 4.0


class Strike(Record):
    """State one fault; ``target`` picks among what it can strike."""

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
) -> tuple[Strike, ...]:
    """Return the strikes of a run, in their order.

    >>> first = draw_plan(7, seconds=10, kinds=('kill', 'pause'))
    >>> first == draw_plan(7, seconds=10, kinds=('kill', 'pause'))
    True
    """
    rng = random.Random(seed)
    strikes = []
    at = CALM_SECONDS
    while at < seconds:
        strikes.append(
            Strike(
                at=at,
                kind=rng.choice(kinds),
                target=rng.randrange(1000),
                seconds=rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS),
            )
        )
        at += rng.expovariate(1 / MEAN_GAP_SECONDS)
    return tuple(strikes)
