"""Replay one load pattern, and return what came of it."""

from bluebellfold.model.ledger import Figures
from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.world import ModelSite, Shape

RUN_SECONDS = 12.0


class Outcome:
    """Hold the figures of a run, and the promises that it broke."""

    __slots__ = ('broken', 'figures')

    def __init__(self, *, figures: Figures, broken: list[str]) -> None:
        self.figures = figures
        self.broken = broken


def replay(
    pattern: str,
    *,
    seed: int,
    shape: Shape,
    seconds: float = RUN_SECONDS,
) -> Outcome:
    """Return the outcome of a pattern: the same for the same seed.

    Raise UnknownEntryError for a pattern that is not registered.
    """
    site = ModelSite(shape=shape, seed=seed)
    PATTERNS.find(pattern)(site)
    site.run(seconds)
    return Outcome(
        figures=site.ledger.sum_up(), broken=list(site.ledger.broken)
    )
