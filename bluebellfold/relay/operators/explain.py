"""Find the outcome of a request or a flow, and its cause, in logs."""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from bluebellfold.core import BluebellfoldError, Record, Registry, read_only

Fields = dict[str, Any]
# Fields common to all log lines. The other fields are inputs of a decision.
COMMON_FIELDS = frozenset(
    (
        'event',
        'flow',
        'level',
        'logger',
        'message',
        'process',
        'remedy',
        'request',
        'time',
    ),
)
MIN_FAILED_STATUS = 500

Cause = Callable[[Fields], str]
CAUSES: Registry[str, Cause] = Registry(name='causes by log event')


class NothingFoundError(BluebellfoldError):
    """Report that no log line contains an id."""

    __slots__ = ()


class Explanation(Record):
    """List the decisions about one flow, and the cause of its outcome."""

    __slots__ = ('_cause', '_steps')

    cause: str = read_only('_cause')
    steps: tuple[str, ...] = read_only('_steps')

    def __init__(self, *, steps: tuple[str, ...], cause: str) -> None:
        self._steps = steps
        self._cause = cause


def explain_file(wanted: str, path: str) -> Explanation:
    """Explain the outcome of a request or a flow from a log file.

    ``wanted`` is the id of a request, or of a flow as written in logs. Raise
    NothingFoundError if no line contains it, and OSError if the file cannot
    be read.
    """
    with Path(path).open(encoding='utf-8', errors='replace') as log:
        return explain(wanted, log)


def explain(wanted: str, lines: Iterable[str]) -> Explanation:
    """Explain the outcome of a request or a flow from log lines.

    Raise NothingFoundError if no line contains the id ``wanted``.
    """
    decisions = [fields for fields in map(_parse, lines) if fields]
    flows = {
        fields['flow']
        for fields in decisions
        if wanted in {fields.get('request'), fields.get('flow')}
        and 'flow' in fields
    }
    matching = [fields for fields in decisions if fields.get('flow') in flows]
    if not matching:
        raise NothingFoundError(
            problem=f'no log line contains {wanted}',
            remedy='give the logs of all balancers and agents of that time',
        )
    matching.sort(key=_time)
    return Explanation(
        steps=tuple(map(_format_line, matching)), cause=_find_cause(matching)
    )


def _time(fields: Fields) -> str:
    return str(fields.get('time', ''))


def _parse(line: str) -> Fields | None:
    # A log collector may add a prefix to each line.
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def _format_line(fields: Fields) -> str:
    inputs = ' '.join(
        f'{name}={fields[name]}' for name in fields if name not in COMMON_FIELDS
    )
    parts = (
        fields.get('time', ''),
        fields.get('process', ''),
        fields.get('event', ''),
        fields.get('message', ''),
        inputs,
    )
    return ' '.join(str(part) for part in parts if part)


def _find_cause(matching: list[Fields]) -> str:
    for fields in reversed(matching):
        describe = CAUSES.get(fields.get('event', ''))
        if describe is not None:
            return describe(fields)
    return 'the log lines contain no decision that ended the flow'


@CAUSES.add('BBF0703')
def _refused(fields: Fields) -> str:
    reason = fields.get('reason')
    version = fields.get('version')
    return f'refused: {reason}, with configuration {version} in force'


@CAUSES.add('BBF0706')
def _not_found(fields: Fields) -> str:
    denied = fields.get('denied')
    return (
        f'reset: all {denied} agents reported that no upstream holds the flow'
    )


@CAUSES.add('BBF0725')
def _lost_by_upstream(fields: Fields) -> str:
    process = fields.get('process')
    return f'reset: the upstream of {process} lost the flow'


@CAUSES.add('BBF0724')
def _answered(fields: Fields) -> str:
    status = int(fields.get('status', 0))
    outcome = 'failed' if status >= MIN_FAILED_STATUS else 'answered'
    milliseconds = fields.get('milliseconds')
    return f'{outcome} by the upstream: status {status} after {milliseconds} ms'


@CAUSES.add('BBF0723')
def _unanswered(fields: Fields) -> str:
    process = fields.get('process')
    return (
        f'unanswered: the upstream of {process} accepted it but sent no reply'
    )


@CAUSES.add('BBF0702')
def _waiting(fields: Fields) -> str:
    reason = fields.get('reason')
    return f'waited for an upstream until its client timed out: {reason}'


@CAUSES.add('BBF0701')
def _offered(fields: Fields) -> str:
    agent = fields.get('agent')
    return f'unanswered: offered to the agent at {agent}, which did not respond'
