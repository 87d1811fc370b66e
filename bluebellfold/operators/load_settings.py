"""Load the settings of a load that a caller puts on balancers."""

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
from bluebellfold.ini.complaint import (
    Complaint,
    raise_first,
    use_one_of,
)
from bluebellfold.ini.reading import (
    LOAD_SPEC,
    IniSource,
    complaints_about_values,
    read_source,
    read_spec,
)
from bluebellfold.operators.settings import load_site

LOAD = 'load'
KINDS = 'kinds'
FLOODS = 'floods'
WINDOWS = 'windows'
ZONES = 'zones'
WHOLE_RUN = 'run'


class LoadSettings(Record):
    """Carry a plan, and where its measures and its plot go."""

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


def load_load(path: str | Path) -> LoadSettings:
    """Return the checked settings of a load, or raise SettingsError."""
    source = read_source(path)
    spec = read_spec(LOAD_SPEC)
    source_of = partial(_name_of, source)
    raise_first(complaints_about_values(source.parsed, spec), source_of)
    parsed = source.parsed.dict()
    folder = Path(path).parent
    load = parsed[LOAD]
    site = load_site(folder / load['base'], folder / load['site']).site
    raise_first(_complaints(parsed, site), source_of)
    return LoadSettings(
        plan=_plan_of(parsed, site),
        measures=_path_of(folder, load['measures']),
        plot=_path_of(folder, load['plot']),
    )


def _name_of(source: IniSource, _: Complaint) -> str:
    return source.name


def _path_of(folder: Path, written: str) -> Path | None:
    return folder / written if written else None


def _complaints(parsed: dict[str, Any], site: Site) -> Iterator[Complaint]:
    known = tuple(kind.name for kind in site.kinds)
    for name, kind in parsed[KINDS].items():
        if name not in known:
            yield _unknown_kind((KINDS, name), '', name, known)
        if kind['rate'] and kind['streams']:
            yield Complaint(
                sections=(KINDS, name),
                key='streams',
                problem='a kind has either a rate or streams',
                remedy='leave one of them out',
            )
    loaded = tuple(parsed[KINDS])
    for name, flood in parsed[FLOODS].items():
        if flood['kind'] not in loaded:
            yield _unknown_kind((FLOODS, name), 'kind', flood['kind'], loaded)
    for section in (FLOODS, WINDOWS):
        yield from _complaints_about_times(parsed, section)


def _complaints_about_times(
    parsed: dict[str, Any],
    section: str,
) -> Iterator[Complaint]:
    seconds = parsed[LOAD]['seconds']
    for name, stretch in parsed[section].items():
        if stretch['begins'] < stretch['ends'] <= seconds:
            continue
        yield Complaint(
            sections=(section, name),
            key='ends',
            problem=f'it does not lie after begins and within {seconds} s',
            remedy='give times in order, within the seconds of the load',
        )


def _unknown_kind(
    sections: tuple[str, ...],
    key: str,
    name: str,
    known: tuple[str, ...],
) -> Complaint:
    return Complaint(
        sections=sections,
        key=key,
        problem=f'there is no kind of work {name}',
        remedy=use_one_of(known),
    )


def _plan_of(parsed: dict[str, Any], site: Site) -> LoadPlan:
    load = parsed[LOAD]
    windows = tuple(
        Window(name=name, **stretch)
        for name, stretch in parsed[WINDOWS].items()
    )
    whole = Window(name=WHOLE_RUN, begins=0, ends=load['seconds'])
    return LoadPlan(
        seed=load['seed'],
        seconds=load['seconds'],
        workers=load['workers'],
        upstream_field=load['upstream_field'],
        kinds=tuple(
            KindLoad(name=name, balancers=_addresses(site, name), **kind)
            for name, kind in parsed[KINDS].items()
        ),
        floods=tuple(
            _flood_of(name, flood) for name, flood in parsed[FLOODS].items()
        ),
        windows=windows or (whole,),
        upstream_zones=tuple(
            UpstreamZone(name=name, zone=zone)
            for name, zone in parsed[ZONES].items()
        ),
    )


def _flood_of(name: str, flood: dict[str, Any]) -> Flood:
    return Flood(
        kind=flood['kind'],
        rate=flood['rate'],
        window=Window(
            name=name,
            begins=flood['begins'],
            ends=flood['ends'],
        ),
    )


def _addresses(site: Site, kind: str) -> tuple[Endpoint, ...]:
    port = site.kind_named(kind).port
    return tuple(
        Endpoint(host=balancer.host, port=port) for balancer in site.balancers
    )
