"""Describe the cause that a log line shows, by the event of the line."""

from collections.abc import Callable, Collection, Iterable
from typing import Any

from bluebellfold.core import Registry

Fields = dict[str, Any]
MIN_FAILED_STATUS = 500
LOST = 'BBF0706'
OPENED = 'BBF0722'
DENIALS = frozenset(('BBF0725', 'BBF0744'))

Cause = Callable[[Fields], str]
CAUSES: Registry[str, Cause] = Registry(name='causes by log event')


def describe_cause(decision: Fields, decisions: Iterable[Fields]) -> str | None:
    """Return the cause that one of a flow's decisions shows, if it shows one.

    ``decisions`` are all decisions about the flow.
    """
    describe = CAUSES.get(str(decision.get('event')))
    if describe is None:
        return None
    cause = describe(decision)
    if decision['event'] != LOST:
        return cause
    listed = tuple(decisions)
    holders = _processes_of(listed, {OPENED}) - _processes_of(listed, DENIALS)
    if not holders:
        return cause
    names = ', '.join(sorted(holders))
    balancer = decision.get('process')
    return (
        f'{cause}; {names} opened it and did not deny it: it had ended, or '
        + f'the list of agents of {balancer} lacked it'
    )


def _processes_of(
    decisions: Iterable[Fields], events: Collection[str]
) -> set[str]:
    return {
        str(decision.get('process'))
        for decision in decisions
        if decision.get('event') in events
    }


@CAUSES.add('BBF0703')
def _refused(fields: Fields) -> str:
    reason = fields.get('reason')
    version = fields.get('version')
    return f'refused: {reason}, with configuration {version} in force'


@CAUSES.add(LOST)
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
