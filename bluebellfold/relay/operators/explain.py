"""Find the outcome of a request or a flow, and its cause, in logs."""

import json
from collections.abc import Iterable

from bluebellfold.core import BluebellfoldError, Record, read_only
from bluebellfold.relay.operators.causes import Fields, describe_cause

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


def find_flows(wanted: str, lines: Iterable[str]) -> frozenset[str]:
    """Return the flows of a request, or the flow itself, as in the lines."""
    return _flows_of(wanted, _parse_lines(lines))


def explain(wanted: str, lines: Iterable[str]) -> Explanation:
    """Explain the outcome of a request or a flow from log lines.

    ``wanted`` is the id of a request, or of a flow as written in logs. Raise
    NothingFoundError if no line contains it.
    """
    decisions = _parse_lines(lines)
    flows = _flows_of(wanted, decisions)
    matching = [
        fields for fields in decisions if str(fields.get('flow')) in flows
    ]
    if not matching:
        raise NothingFoundError(
            problem=f'no log line contains {wanted}',
            remedy='give the logs of all balancers and agents of that time, '
            + 'decompressed',
        )
    matching.sort(key=_time)
    return Explanation(
        steps=tuple(map(_format_line, matching)), cause=_find_cause(matching)
    )


def _parse_lines(lines: Iterable[str]) -> list[Fields]:
    return [fields for fields in map(_parse, lines) if fields]


def _flows_of(wanted: str, decisions: Iterable[Fields]) -> frozenset[str]:
    return frozenset(
        fields['flow']
        for fields in decisions
        if wanted in (fields.get('request'), fields.get('flow'))
        and isinstance(fields.get('flow'), str)
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
    except (ValueError, RecursionError):
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
        cause = describe_cause(fields, matching)
        if cause is not None:
            return cause
    return 'the log lines contain no decision that ended the flow'
