"""Merge a base file with an overlay that must not repeat its values."""

from collections.abc import Iterator
from itertools import chain
from typing import Any

from configobj import ConfigObj

from bluebellfold.ini.reading import IniSource
from bluebellfold.ini.violation import Violation, raise_first

SERVICES = 'services'
KINDS = 'kinds'
SERVICE_DEFAULTS = 'service_defaults'
KIND_DEFAULTS = 'kind_defaults'


def merge_sources(base: IniSource, overlay: IniSource) -> str:
    """Return the merged text; raise SettingsError for a repeated value."""
    violations = chain(
        _find_repeated(base.parsed, overlay.parsed, ()),
        _find_repeated_defaults(base.parsed, overlay.parsed),
    )
    raise_first(violations, lambda _: overlay.name)
    merged = ConfigObj(interpolation=False)
    merged.merge(base.parsed.dict())
    merged.merge(overlay.parsed.dict())
    return '{0}\n'.format('\n'.join(merged.write()))


def _find_repeated(
    base: dict[str, Any],
    overlay: dict[str, Any],
    sections: tuple[str, ...],
) -> Iterator[Violation]:
    for key, overlay_value in overlay.items():
        base_value = base.get(key)
        if isinstance(overlay_value, dict) and isinstance(base_value, dict):
            yield from _find_repeated(
                base_value, overlay_value, (*sections, key)
            )
        elif _normalize(overlay_value) == _normalize(base_value):
            yield _repeated_violation(sections, key)


def _find_repeated_defaults(
    base: dict[str, Any],
    overlay: dict[str, Any],
) -> Iterator[Violation]:
    for group, defaults in (
        (SERVICES, SERVICE_DEFAULTS),
        (KINDS, KIND_DEFAULTS),
    ):
        for name, section in subsections(overlay, group):
            default_values = base.get(defaults, {})
            yield from _find_repeated(default_values, section, (group, name))


def _normalize(text: Any) -> Any:
    try:
        return float(text)
    except (TypeError, ValueError):
        return text


def _repeated_violation(sections: tuple[str, ...], key: str) -> Violation:
    return Violation(
        sections=sections,
        key=key,
        problem='repeats the value of the base',
        remedy='remove it: an overlay contains only values that differ',
    )


def subsections(parsed: Any, group: str) -> Iterator[tuple[str, Any]]:
    """Yield the name and the content of each section in a group."""
    sections = parsed.get(group)
    if not isinstance(sections, dict):
        return
    for name, section in sections.items():
        if isinstance(section, dict):
            yield name, section
