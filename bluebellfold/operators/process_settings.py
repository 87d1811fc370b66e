"""Load the settings of a process."""

from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

from configobj.validate import ValidateError

from bluebellfold.core import Endpoint, Process
from bluebellfold.ini.reading import (
    read_source,
    read_spec,
    validate_values,
)
from bluebellfold.ini.value_checks import check_endpoint
from bluebellfold.ini.violation import Violation, raise_first
from bluebellfold.operators.process_checks import (
    PROCESS,
    process_violation,
    validate_process,
)
from bluebellfold.operators.site_settings import SiteSettings

PROCESS_SPEC = 'process.spec.ini'
AGENT_KEYS = ('service', 'upstream', 'certificate', 'private_key')


def load_process(
    path: str | Path,
    settings: SiteSettings | None = None,
) -> Process:
    """Return the process, validated against its site if settings are given.

    Raise SettingsError for an unreadable file or an invalid value.
    """
    source = read_source(path)
    spec = read_spec(PROCESS_SPEC)
    source_of = partial(_source_name, source.name)
    raise_first(validate_values(source.parsed, spec), source_of)
    section = source.parsed[PROCESS].dict()
    raise_first(_validate_agent_keys(section), source_of)
    process = _make_process(section, Path(path))
    if settings is not None:
        raise_first(validate_process(process, settings), source_of)
    return process


def _validate_agent_keys(section: dict[str, Any]) -> Iterator[Violation]:
    given = [key for key in AGENT_KEYS if section[key]]
    if not given:
        return
    for key in AGENT_KEYS:
        if key not in given:
            yield process_violation(
                key,
                f'missing, but {given[0]} is given',
                'give all four keys of an agent, or none for a balancer',
            )
    try:
        check_endpoint(section['upstream'])
    except ValidateError as error:
        yield process_violation('upstream', str(error), 'give IP address:port')


def _source_name(name: str, _: Violation) -> str:
    return name


def _make_process(section: dict[str, Any], path: Path) -> Process:
    folder = path.parent
    certificate = section.pop('certificate')
    private_key = section.pop('private_key')
    section['keys_file'] = _resolve_path(folder, section['keys_file'])
    return Process(
        settings_file=str(path),
        upstream=_parse_upstream(section.pop('upstream')),
        tls_files=(
            _resolve_path(folder, certificate),
            _resolve_path(folder, private_key),
        ),
        **section,
    )


def _parse_upstream(text: str) -> Endpoint | None:
    return check_endpoint(text) if text else None


def _resolve_path(folder: Path, path: str) -> str:
    return str(folder / path) if path else ''
