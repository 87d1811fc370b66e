"""Load the settings of replays in the model."""

from pathlib import Path
from typing import Any

from bluebellfold.core import Record, SettingsError, read_only
from bluebellfold.ini import read_validated, use_one_of
from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.world import SiteParameters
from bluebellfold.relay.agents import POLICIES

PACKAGE = 'bluebellfold.model'
SPEC_FILE = 'model.spec.ini'
MS_PER_SECOND = 1000


class ModelSettings(Record):
    """State the patterns, policies and seeds to replay."""

    __slots__ = (
        '_patterns',
        '_policies',
        '_seconds',
        '_seeds',
        '_site_parameters',
    )

    patterns: tuple[str, ...] = read_only('_patterns')
    policies: tuple[str, ...] = read_only('_policies')
    seconds: float = read_only('_seconds')
    seeds: range = read_only('_seeds')

    def __init__(
        self,
        *,
        patterns: tuple[str, ...],
        policies: tuple[str, ...],
        seconds: float,
        seeds: range,
        site: dict[str, Any],
    ) -> None:
        self._patterns = patterns
        self._policies = policies
        self._seconds = seconds
        self._seeds = seeds
        self._site_parameters = site

    def site_parameters(self, policy: str) -> SiteParameters:
        """Return the parameters of the site with a selection policy."""
        return SiteParameters(policy=policy, **self._site_parameters)


def load_model_settings(path: str | Path) -> ModelSettings:
    """Load the settings of replays, or raise SettingsError."""
    sections = read_validated(path, SPEC_FILE, package=PACKAGE)
    run, site = sections['run'], sections['site']
    first = run['first_seed']
    site['work_seconds'] = site.pop('work_milliseconds') / MS_PER_SECOND
    return ModelSettings(
        patterns=_require_registered(
            run['patterns'] or list(PATTERNS), PATTERNS, path
        ),
        policies=_require_registered(run['rules'], POLICIES, path),
        seconds=run['seconds'],
        seeds=range(first, first + run['seeds']),
        site={**site, **sections['links']},
    )


def _require_registered(
    names: list[str], registry: Any, path: str | Path
) -> Any:
    for name in names:
        if name not in registry:
            raise SettingsError(
                problem=f'{path}: {registry.name}: unknown name {name!r}',
                remedy=use_one_of(tuple(registry)),
            )
    return tuple(names)
