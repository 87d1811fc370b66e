"""Describe the cause that a log line shows, by the event of the line."""

from collections.abc import Callable
from typing import Any

from bluebellfold.core import Registry

Fields = dict[str, Any]
MIN_FAILED_STATUS = 500

Cause = Callable[[Fields], str]
CAUSES: Registry[str, Cause] = Registry(name='causes by log event')


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
