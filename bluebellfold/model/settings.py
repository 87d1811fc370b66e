"""Load the settings of replays in the model."""

from pathlib import Path
from typing import Any

from bluebellfold.core import Record, SettingsError, read_only
from bluebellfold.ini import read_checked, use_one_of
from bluebellfold.model.patterns import PATTERNS
from bluebellfold.model.world import Shape
from bluebellfold.relay.agents import POLICIES

PACKAGE = 'bluebellfold.model'
SPEC = 'model.spec.ini'
MILLISECONDS = 1000


class ModelSettings(Record):
    """State which patterns are replayed, with which rules and seeds."""

    __slots__ = ('_patterns', '_rules', '_seconds', '_seeds', '_site')

    patterns: tuple[str, ...] = read_only('_patterns')
    rules: tuple[str, ...] = read_only('_rules')
    seconds: float = read_only('_seconds')
    seeds: range = read_only('_seeds')

    def __init__(
        self,
        *,
        patterns: tuple[str, ...],
        rules: tuple[str, ...],
        seconds: float,
        seeds: range,
        site: dict[str, Any],
    ) -> None:
        self._patterns = patterns
        self._rules = rules
        self._seconds = seconds
        self._seeds = seeds
        self._site = site

    def shape_with(self, rule: str) -> Shape:
        """Return the site with a rule that places new flows."""
        return Shape(rule=rule, **self._site)


def load_model(path: str | Path) -> ModelSettings:
    """Return the settings of replays, or raise SettingsError."""
    sections = read_checked(path, SPEC, package=PACKAGE)
    run, site = sections['run'], sections['site']
    first = run['first_seed']
    site['work_seconds'] = site.pop('work_milliseconds') / MILLISECONDS
    return ModelSettings(
        patterns=_known(run['patterns'] or list(PATTERNS), PATTERNS, path),
        rules=_known(run['rules'], POLICIES, path),
        seconds=run['seconds'],
        seeds=range(first, first + run['seeds']),
        site={**site, **sections['links']},
    )


def _known(names: list[str], registry: Any, path: str | Path) -> Any:
    for name in names:
        if name not in registry:
            raise SettingsError(
                problem=f'{path}: {registry.name}: there is no {name!r}',
                remedy=use_one_of(tuple(registry)),
            )
    return tuple(names)
