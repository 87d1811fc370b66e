"""Show what each process of the relay knows, and which of them disagree."""

import json
from collections.abc import Iterable
from operator import attrgetter
from pathlib import Path

from bluebellfold.core import Endpoint, SettingsError
from bluebellfold.ini import InvalidValueError, check_endpoint
from bluebellfold.operators.exit_codes import FAILED, SUCCEEDED
from bluebellfold.operators.invocation import write_error, write_output
from bluebellfold.operators.progress import ProgressBar
from bluebellfold.operators.tables import format_table
from bluebellfold.relay.operators.agreement import (
    Judgement,
    Majority,
    find_majorities,
    judge_processes,
)
from bluebellfold.relay.operators.metrics_client import (
    FetchFailure,
    MetricsClient,
)
from bluebellfold.relay.operators.process_state import (
    AGENT,
    BALANCER,
    ProcessState,
)

# Headings, and the gauges below them.
COLUMNS_OF_ROLE = (
    (
        BALANCER,
        (
            ('version', 'configuration_version'),
            ('agents', 'agents_listed'),
            ('revision', 'agents_revision'),
            ('checksum', 'agents_checksum'),
            ('followed', 'agents_followed'),
            ('live', 'agents_live'),
            ('oldest ms', 'oldest_report_milliseconds'),
            ('evacuated', 'evacuated_zones'),
            ('era', 'store_era'),
            ('flows', 'flows'),
            ('waiting', 'flows_waiting'),
        ),
    ),
    (
        AGENT,
        (
            ('version heard', 'newest_configuration_version'),
            ('revision heard', 'newest_agents_revision'),
            ('balancers', 'balancers'),
            ('evacuated', 'zone_evacuated'),
            ('era', 'store_era'),
            ('flows', 'flows'),
            ('requests', 'requests_in_progress'),
        ),
    ),
    ('', ()),
)
COMMENT = '#'


async def show_relay_status(
    processes: Iterable[str], *, as_json: bool, only_flagged: bool
) -> int:
    """Write the state of each process; fail if any is flagged or unknown."""
    client = MetricsClient(progress=ProgressBar())
    fetched = await client.fetch_all(read_endpoints(processes))
    failures = [one for one in fetched if isinstance(one, FetchFailure)]
    states = [one for one in fetched if isinstance(one, ProcessState)]
    majorities = find_majorities(states)
    judgements = judge_processes(states, majorities)
    flagged = [one for one in judgements if one.is_flagged]
    shown = sorted(judgements, key=attrgetter('is_flagged'))
    if only_flagged:
        shown = flagged
    if as_json:
        _write_json(shown, failures)
    else:
        _write_tables(shown, majorities)
        counts = (len(states), len(flagged), len(failures))
        write_output('{0} answered, {1} flagged, {2} silent'.format(*counts))
    for failure in failures:
        write_error(failure.reason)
    return FAILED if flagged or failures else SUCCEEDED


def read_endpoints(processes: Iterable[str]) -> tuple[Endpoint, ...]:
    """Return the endpoints that are given, or listed in files, each once.

    A file has one endpoint a line, and comments after ``#``.
    """
    endpoints: list[Endpoint] = []
    for text in processes:
        try:
            endpoints.append(check_endpoint(text))
        except InvalidValueError:
            endpoints.extend(_read_file(text))
    return tuple(dict.fromkeys(endpoints))


def _read_file(path: str) -> list[Endpoint]:
    try:
        lines = Path(path).read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            problem=f'{path} is neither host:port nor a readable file: {error}',
            remedy='give addresses of metrics pages, or a file with one a line',
        ) from error
    texts = (line.partition(COMMENT)[0].strip() for line in lines)
    try:
        return [check_endpoint(text) for text in texts if text]
    except InvalidValueError as error:
        raise SettingsError(
            problem=f'{path}: {error}',
            remedy='write one host:port a line, with an IP address',
        ) from error


def _write_tables(
    judgements: Iterable[Judgement], majorities: Iterable[Majority]
) -> None:
    listed = tuple(judgements)
    for role, columns in COLUMNS_OF_ROLE:
        of_role = [one for one in listed if one.state.role == role]
        if not of_role:
            continue
        headings = tuple(heading for heading, _ in columns)
        gauges = [gauge for _, gauge in columns]
        rows = [_table_row(one, gauges) for one in of_role]
        heading = role or 'other program'
        write_output(format_table((heading, *headings, 'remarks'), rows))
        write_output('')
    for majority in majorities:
        write_output(
            '{0} of {1} {2}s: {3} {4}'.format(
                majority.holders,
                majority.processes,
                majority.role,
                majority.gauge,
                majority.level,
            ),
        )


def _table_row(judgement: Judgement, gauges: Iterable[str]) -> list[str]:
    levels = judgement.state.gauges
    return [
        str(judgement.state.endpoint),
        *(str(levels.get(gauge, '')) for gauge in gauges),
        '; '.join(_list_remarks(judgement)),
    ]


def _list_remarks(judgement: Judgement) -> list[str]:
    differences = [
        f'{majority.gauge} differs' for majority in judgement.differences
    ]
    return [*differences, *judgement.warnings]


def _write_json(
    judgements: Iterable[Judgement], failures: Iterable[FetchFailure]
) -> None:
    for judgement in judgements:
        state = judgement.state
        fields = {
            'process': str(state.endpoint),
            'role': state.role,
            'state': state.gauges,
            'remarks': _list_remarks(judgement),
        }
        write_output(json.dumps(fields))
    for failure in failures:
        fields = {'process': str(failure.endpoint), 'error': failure.reason}
        write_output(json.dumps(fields))
