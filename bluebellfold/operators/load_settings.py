"""Load the settings of the load generator."""

from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

from bluebellfold.callers.load import (
    Flood,
    KindLoad,
    LoadPlan,
    UpstreamZone,
    Window,
)
from bluebellfold.core import Endpoint, Record, Site, read_only
from bluebellfold.ini.reading import (
    LOAD_SPEC,
    IniSource,
    read_source,
    read_spec,
    validate_values,
)
from bluebellfold.ini.violation import (
    Violation,
    raise_first,
    use_one_of,
)
from bluebellfold.operators.settings import load_site

LOAD = 'load'
KINDS = 'kinds'
FLOODS = 'floods'
WINDOWS = 'windows'
ZONES = 'zones'
WHOLE_RUN = 'run'


class LoadSettings(Record):
    """Hold a load plan and the output paths of its measurements and plot."""

    __slots__ = ('_measures', '_plan', '_plot')

    measures: Path | None = read_only('_measures')
    plan: LoadPlan = read_only('_plan')
    plot: Path | None = read_only('_plot')

    def __init__(
        self,
        *,
        plan: LoadPlan,
        measures: Path | None,
        plot: Path | None,
    ) -> None:
        self._plan = plan
        self._measures = measures
        self._plot = plot


def load_load_settings(path: str | Path) -> LoadSettings:
    """Return the validated settings of a load, or raise SettingsError."""
    source = read_source(path)
    spec = read_spec(LOAD_SPEC)
    source_of = partial(_source_name, source)
    raise_first(validate_values(source.parsed, spec), source_of)
    parsed = source.parsed.dict()
    folder = Path(path).parent
    load = parsed[LOAD]
    site = load_site(folder / load['base'], folder / load['site']).site
    raise_first(_validate_load(parsed, site), source_of)
    return LoadSettings(
        plan=_make_plan(parsed, site),
        measures=_resolve_path(folder, load['measures']),
        plot=_resolve_path(folder, load['plot']),
    )


def _source_name(source: IniSource, _: Violation) -> str:
    return source.name


def _resolve_path(folder: Path, path: str) -> Path | None:
    return folder / path if path else None


def _validate_load(parsed: dict[str, Any], site: Site) -> Iterator[Violation]:
    site_kinds = tuple(kind.name for kind in site.kinds)
    for name, kind in parsed[KINDS].items():
        if name not in site_kinds:
            yield _unknown_kind((KINDS, name), '', name, site_kinds)
        if kind['rate'] and kind['streams']:
            yield Violation(
                sections=(KINDS, name),
                key='streams',
                problem='a kind must have either a rate or streams',
                remedy='remove one of them',
            )
    plan_kinds = tuple(parsed[KINDS])
    for name, flood in parsed[FLOODS].items():
        if flood['kind'] not in plan_kinds:
            yield _unknown_kind(
                (FLOODS, name), 'kind', flood['kind'], plan_kinds
            )
    for section in (FLOODS, WINDOWS):
        yield from _validate_times(parsed, section)


def _validate_times(
    parsed: dict[str, Any],
    section: str,
) -> Iterator[Violation]:
    seconds = parsed[LOAD]['seconds']
    for name, window in parsed[section].items():
        if window['begins'] < window['ends'] <= seconds:
            continue
        yield Violation(
            sections=(section, name),
            key='ends',
            problem=f'it must be after begins and at most {seconds} s',
            remedy='give begins < ends <= the seconds of the load',
        )


def _unknown_kind(
    sections: tuple[str, ...],
    key: str,
    name: str,
    known_names: tuple[str, ...],
) -> Violation:
    return Violation(
        sections=sections,
        key=key,
        problem=f'unknown kind of work {name}',
        remedy=use_one_of(known_names),
    )


def _make_plan(parsed: dict[str, Any], site: Site) -> LoadPlan:
    load = parsed[LOAD]
    windows = tuple(
        Window(name=name, **window) for name, window in parsed[WINDOWS].items()
    )
    whole_run = Window(name=WHOLE_RUN, begins=0, ends=load['seconds'])
    return LoadPlan(
        seed=load['seed'],
        seconds=load['seconds'],
        workers=load['workers'],
        upstream_field=load['upstream_field'],
        kinds=tuple(
            KindLoad(
                name=name, balancers=_balancer_endpoints(site, name), **kind
            )
            for name, kind in parsed[KINDS].items()
        ),
        floods=tuple(
            _make_flood(name, flood) for name, flood in parsed[FLOODS].items()
        ),
        windows=windows or (whole_run,),
        upstream_zones=tuple(
            UpstreamZone(name=name, zone=zone)
            for name, zone in parsed[ZONES].items()
        ),
    )


def _make_flood(name: str, flood: dict[str, Any]) -> Flood:
    return Flood(
        kind=flood['kind'],
        rate=flood['rate'],
        window=Window(
            name=name,
            begins=flood['begins'],
            ends=flood['ends'],
        ),
    )


def _balancer_endpoints(site: Site, kind: str) -> tuple[Endpoint, ...]:
    port = site.kind_named(kind).port
    return tuple(
        Endpoint(host=balancer.host, port=port) for balancer in site.balancers
    )
