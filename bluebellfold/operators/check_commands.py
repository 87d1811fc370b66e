"""Check a configuration of routes before it is submitted."""

import asyncio
import json
from pathlib import Path
from typing import Any

from bluebellfold.core import (
    ANY_REGION,
    Endpoint,
    Record,
    Regions,
    SettingsError,
    read_only,
)
from bluebellfold.ini import InvalidValueError, check_endpoint
from bluebellfold.operators import (  # noqa: F401  Register their rules.
    limit_checks,
    routing_checks,
)
from bluebellfold.operators.check_rules import (
    CheckInput,
    check_configuration,
)
from bluebellfold.operators.exit_codes import SUCCEEDED
from bluebellfold.operators.findings import CodedFinding, Severity
from bluebellfold.operators.invocation import write_error, write_output
from bluebellfold.operators.routing_diff import (
    Difference,
    compare_configurations,
)
from bluebellfold.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    DOCUMENT_ROOT,
    MISSING_OBJECT,
    Configuration,
    ObjectStoreClient,
    StoreError,
    read_configuration,
    read_json,
)

WARNINGS_FOUND = 1
ERRORS_FOUND = 2
STORE_NOT_REACHED = 3
# The store responds in 4 ms; an operator at a terminal can wait for a retry of
# the network, and a check that hangs would hold up a submission.
READ_TIMEOUT_SECONDS = 5.0
JSON_START = (b'{', b'[')


class CheckOptions(Record):
    """Hold the options of one check; an empty text is an absent option."""

    __slots__ = (
        '_against',
        '_as_json',
        '_drain_seconds',
        '_regions',
        '_store',
        '_strict',
    )

    against: str = read_only('_against')
    as_json: bool = read_only('_as_json')
    drain_seconds: float | None = read_only('_drain_seconds')
    regions: Regions = read_only('_regions')
    store: str = read_only('_store')
    strict: bool = read_only('_strict')

    def __init__(
        self,
        *,
        against: str = '',
        store: str = '',
        regions: Regions = ANY_REGION,
        drain_seconds: float | None = None,
        as_json: bool = False,
        strict: bool = False,
    ) -> None:
        self._against = against
        self._store = store
        self._regions = regions
        self._drain_seconds = drain_seconds
        self._as_json = as_json
        self._strict = strict


def is_json_file(path: str) -> bool:
    """Return whether a file holds a JSON document by its first character.

    An INI file may begin with a section in brackets too, so that a bracket
    counts only if the whole file is JSON.
    """
    text = _read_file(path).lstrip()
    if text.startswith(b'{'):
        return True
    return text.startswith(JSON_START) and _is_whole_json(text)


def check_document(path: str, options: CheckOptions) -> int:
    """Write the findings and the differences, and return the exit code."""
    if options.against and options.store:
        raise SettingsError(
            problem='both --against and --store are given',
            remedy='name one version to compare with',
        )
    configuration = read_configuration(read_json(_read_file(path)))
    reached = True
    current = None
    try:
        current = _read_current(options)
    except StoreError as error:
        reached = False
        write_error(f'the store at {options.store} was not reached: {error}')
    findings = check_configuration(
        CheckInput(
            configuration=configuration,
            current=current,
            regions=options.regions,
            drain_seconds=options.drain_seconds,
        )
    )
    differences: tuple[Difference, ...] = ()
    if current is not None:
        differences = compare_configurations(current, configuration)
    _write_report(findings, differences, as_json=options.as_json)
    if not reached:
        return STORE_NOT_REACHED
    return _choose_exit_code(findings, strict=options.strict)


def _read_current(options: CheckOptions) -> Configuration | None:
    if options.against:
        return _read_given(options.against)
    if options.store:
        return asyncio.run(_read_stored(options.store))
    return None


def _read_given(path: str) -> Configuration:
    current = read_configuration(read_json(_read_file(path)))
    if any(problem.path == DOCUMENT_ROOT for problem in current.problems):
        # A stored document may be anything; a file is a wrong one.
        raise SettingsError(
            problem=f'--against {path}: not a JSON object',
            remedy='give the file that holds the version in force',
        )
    return current


async def _read_stored(address: str) -> Configuration | None:
    client = ObjectStoreClient(endpoint=_read_address(address))
    try:
        stored = await client.read(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            timeout_seconds=READ_TIMEOUT_SECONDS,
        )
    finally:
        client.close()
    if stored is MISSING_OBJECT:
        write_error('the store has no configuration yet: nothing to compare')
        return None
    return read_configuration(stored.spec)


def _read_address(text: str) -> Endpoint:
    try:
        return check_endpoint(text)
    except InvalidValueError as error:
        raise SettingsError(
            problem=f'--store: {error}',
            remedy='give an IP address and a port, such as 127.0.0.1:8400',
        ) from error


def _choose_exit_code(
    findings: tuple[CodedFinding, ...], *, strict: bool
) -> int:
    severities = {found.severity for found in findings}
    if Severity.error in severities:
        return ERRORS_FOUND
    return WARNINGS_FOUND if strict and severities else SUCCEEDED


def _write_report(
    findings: tuple[CodedFinding, ...],
    differences: tuple[Difference, ...],
    *,
    as_json: bool,
) -> None:
    if as_json:
        report = {
            'findings': list(map(_finding_fields, findings)),
            'differences': list(map(_difference_fields, differences)),
        }
        write_output(json.dumps(report))
        return
    for found in findings:
        write_output(_format_finding(found))
    for difference in differences:
        write_output(f'{difference.name} {difference.effect}')
    counts = (len(findings), len(differences))
    write_output('{0} findings, {1} differences'.format(*counts))


def _format_finding(found: CodedFinding) -> str:
    finding = found.finding
    heading = ' '.join((found.code, found.severity.value, finding.path))
    return f'{heading}: expected {finding.expected}; remedy: {finding.remedy}'


def _finding_fields(found: CodedFinding) -> dict[str, Any]:
    return {
        'code': found.code,
        'severity': found.severity.value,
        'path': found.finding.path,
        'expected': found.finding.expected,
        'remedy': found.finding.remedy,
    }


def _difference_fields(difference: Difference) -> dict[str, Any]:
    return {
        'risk': difference.risk.name,
        'name': difference.name,
        'effect': difference.effect,
    }


def _is_whole_json(text: bytes) -> bool:
    return isinstance(read_json(text), list)


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            problem=f'{path}: not readable: {error.strerror}',
            remedy='check the path and the permissions',
        ) from error
