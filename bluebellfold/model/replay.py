"""Replay one load pattern."""

from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.recorder import RunStatistics
from bluebellfold.model.world import ModelSite, SiteParameters

RUN_SECONDS = 12.0


class ReplayResult:
    """Hold the statistics and the invariant violations of a run."""

    __slots__ = ('statistics', 'violations')

    def __init__(
        self, *, statistics: RunStatistics, violations: list[str]
    ) -> None:
        self.statistics = statistics
        self.violations = violations


def replay(
    pattern: str,
    *,
    seed: int,
    site_parameters: SiteParameters,
    seconds: float = RUN_SECONDS,
) -> ReplayResult:
    """Replay a pattern; the result is the same for the same seed.

    Raise UnknownEntryError for a pattern that is not registered.
    """
    site = ModelSite(site_parameters=site_parameters, seed=seed)
    PATTERNS.find(pattern)(site)
    site.run(seconds)
    return ReplayResult(
        statistics=site.recorder.statistics(),
        violations=list(site.recorder.violations),
    )
