"""Load the settings of one process."""

from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

from configobj.validate import ValidateError

from bluebellfold.core import Endpoint, Process
from bluebellfold.ini.complaint import Complaint, raise_first
from bluebellfold.ini.reading import (
    complaints_about_values,
    read_source,
    read_spec,
)
from bluebellfold.ini.value_checks import check_endpoint
from bluebellfold.operators.process_checks import (
    PROCESS,
    complaints_about_process,
    process_complaint,
)
from bluebellfold.operators.site_settings import SiteSettings

PROCESS_SPEC = 'process.spec.ini'
AGENT_KEYS = ('service', 'upstream', 'certificate', 'private_key')


def load_process(
    path: str | Path,
    settings: SiteSettings | None = None,
) -> Process:
    """Return the process, checked against its site where that is given.

    Raise SettingsError when the file or a value can't be used.
    """
    source = read_source(path)
    spec = read_spec(PROCESS_SPEC)
    source_of = partial(_only, source.name)
    raise_first(complaints_about_values(source.parsed, spec), source_of)
    section = source.parsed[PROCESS].dict()
    raise_first(_check_agent(section), source_of)
    process = _process_of(section, Path(path))
    if settings is not None:
        raise_first(complaints_about_process(process, settings), source_of)
    return process


def _check_agent(section: dict[str, Any]) -> Iterator[Complaint]:
    given = [key for key in AGENT_KEYS if section[key]]
    if not given:
        return
    for key in AGENT_KEYS:
        if key not in given:
            yield process_complaint(
                key,
                f'missing, but {given[0]} is given',
                'give all four for an agent, none for a balancer',
            )
    try:
        check_endpoint(section['upstream'])
    except ValidateError as error:
        yield process_complaint('upstream', str(error), 'write IP number:port')


def _only(name: str, _: Complaint) -> str:
    return name


def _process_of(section: dict[str, Any], path: Path) -> Process:
    folder = path.parent
    certificate = section.pop('certificate')
    private_key = section.pop('private_key')
    section['keys_file'] = _resolve(folder, section['keys_file'])
    return Process(
        settings_file=str(path),
        upstream=_upstream_of(section.pop('upstream')),
        tls_files=(
            _resolve(folder, certificate),
            _resolve(folder, private_key),
        ),
        **section,
    )


def _upstream_of(written: str) -> Endpoint | None:
    return check_endpoint(written) if written else None


def _resolve(folder: Path, written: str) -> str:
    return str(folder / written) if written else ''
