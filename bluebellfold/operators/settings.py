"""Load the settings of a site from a base file and an overlay."""

from functools import partial
from pathlib import Path

from configobj import ConfigObj

from bluebellfold.collectors import CollectorSettings
from bluebellfold.core import Kind, Service, Site
from bluebellfold.ini.reading import (
    IniSource,
    parse_ini,
    read_source,
    read_spec,
    validate_values,
)
from bluebellfold.ini.violation import Violation, raise_first
from bluebellfold.operators.settings_merge import (
    KIND_DEFAULTS,
    KINDS,
    SERVICE_DEFAULTS,
    SERVICES,
    merge_sources,
    subsections,
)
from bluebellfold.operators.site_checks import validate_site_settings
from bluebellfold.operators.site_settings import SiteSettings

SITE_SPEC = 'settings.spec.ini'
CONFIGURATION_NAME = 'configuration'


def load_site(base: str | Path, overlay: str | Path) -> SiteSettings:
    """Return the validated settings of two files, or raise SettingsError."""
    sources = (read_source(overlay), read_source(base))
    return _make_valid_settings(merge_sources(sources[1], sources[0]), sources)


def merge(base: str | Path, overlay: str | Path) -> str:
    """Return the merged text of two files, or raise SettingsError."""
    return merge_sources(read_source(base), read_source(overlay))


def parse_settings(text: str) -> SiteSettings:
    """Return the settings in a merged text, or raise SettingsError."""
    source = IniSource(name=CONFIGURATION_NAME, text=text)
    return _make_valid_settings(text, (source,))


def parse_site(text: str) -> Site:
    """Return the site in a merged text, or raise SettingsError."""
    return parse_settings(text).site


def _make_valid_settings(
    text: str, sources: tuple[IniSource, ...]
) -> SiteSettings:
    parsed = parse_ini(text)
    _fill_defaults(parsed, SERVICES, SERVICE_DEFAULTS)
    _fill_defaults(parsed, KINDS, KIND_DEFAULTS)
    source_of = partial(_find_source, sources=sources)
    spec = read_spec(SITE_SPEC)
    raise_first(validate_values(parsed, spec), source_of)
    settings = _make_settings(parsed, text)
    raise_first(validate_site_settings(settings), source_of)
    return settings


def _find_source(violation: Violation, sources: tuple[IniSource, ...]) -> str:
    for source in sources:
        if source.defines(violation.sections, violation.key):
            return source.name
    return sources[0].name


def _fill_defaults(parsed: ConfigObj, group: str, defaults: str) -> None:
    default_values = parsed.get(defaults)
    if not isinstance(default_values, dict):
        return
    for _, section in subsections(parsed, group):
        for key in default_values.scalars:
            section.setdefault(key, default_values[key])


def _make_settings(parsed: ConfigObj, text: str) -> SiteSettings:
    site_section = parsed['site'].dict()
    networks = site_section.pop('networks')
    return SiteSettings(
        site=Site(
            services=tuple(
                Service(name=name, **section)
                for name, section in subsections(parsed.dict(), SERVICES)
            ),
            kinds=tuple(
                Kind(name=name, **section)
                for name, section in subsections(parsed.dict(), KINDS)
            ),
            **site_section,
        ),
        text=text,
        networks=networks,
        collectors=CollectorSettings(**parsed['collectors'].dict()),
    )
