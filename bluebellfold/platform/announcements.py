"""Decode the announcements of upstreams."""

import json
from typing import Any

from bluebellfold.core import Announcement, Sentinel

MS_PER_SECOND = 1000
DRAINING = 'draining'
STATES = ('ready', DRAINING)

UNREADABLE_ANNOUNCEMENT = Sentinel(
    name='unreadable-announcement',
    reason='a field is missing or has the wrong type, or the state is unknown',
)


def decode_announcement(name: str, body: bytes) -> Announcement | Sentinel:
    """Return the announcement, or UNREADABLE_ANNOUNCEMENT."""
    try:
        fields = json.loads(body)
    except ValueError:
        return UNREADABLE_ANNOUNCEMENT
    if (
        not name
        or not isinstance(fields, dict)
        or not _has_valid_fields(fields)
    ):
        return UNREADABLE_ANNOUNCEMENT
    return Announcement(
        name=name,
        service=fields['Service'],
        # The number of requests that the upstream serves concurrently.
        slots=max(1, fields['Concurrency']),
        draining=fields['State'] == DRAINING,
        warmup_seconds=max(0, fields['WarmupLeftMs']) / MS_PER_SECOND,
        born=fields['born'],
        sequence=fields['Sequence'],
    )


def _has_valid_fields(fields: dict[str, Any]) -> bool:
    # Older upstreams don't send their start time.
    fields.setdefault('born', 0)
    fields.setdefault('WarmupLeftMs', 0)
    integer_names = ('Concurrency', 'Sequence', 'born')
    if not all(_is_number(fields.get(name), int) for name in integer_names):
        return False
    if not _is_number(fields['WarmupLeftMs'], int | float):
        return False
    service = fields.get('Service')
    return isinstance(service, str) and fields.get('State') in STATES


def _is_number(entry: Any, number_type: Any) -> bool:
    # bool is a subclass of int, but true and false are not JSON numbers.
    return isinstance(entry, number_type) and not isinstance(entry, bool)
