"""Decode the announcements of upstreams."""

from typing import Any

from bluebellfold.core import Announcement, Sentinel
from bluebellfold.platform.json_reader import (
    is_integer,
    is_number,
    is_text,
    read_json,
)

MS_PER_SECOND = 1000
DRAINING = 'draining'
STATES = ('ready', DRAINING)
MAX_SLOTS = 65_535
# A sequence grows by one each second or so, over the life of an upstream.
MAX_SEQUENCE = 0xFFFFFFFF
# The year 9999, in milliseconds since the epoch.
MAX_BORN_MS = 253_402_300_799_999
MAX_WARMUP_MS = 86_400_000
_INTEGER_BOUNDS = (
    ('Concurrency', MAX_SLOTS),
    ('Sequence', MAX_SEQUENCE),
    ('born', MAX_BORN_MS),
)

UNREADABLE_ANNOUNCEMENT = Sentinel(
    name='unreadable-announcement',
    reason='a field is missing, of the wrong type or out of range',
)


def decode_announcement(name: str, body: bytes) -> Announcement | Sentinel:
    """Return the announcement, or UNREADABLE_ANNOUNCEMENT."""
    fields = read_json(body)
    if not isinstance(fields, dict) or not is_text(name):
        return UNREADABLE_ANNOUNCEMENT
    # Older upstreams don't send their start time.
    fields.setdefault('born', 0)
    fields.setdefault('WarmupLeftMs', 0)
    if not _has_valid_fields(fields):
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
    if not is_text(fields.get('Service')) or fields.get('State') not in STATES:
        return False
    # A warm-up that has ended may be given as a negative rest.
    warmup_ms = fields['WarmupLeftMs']
    if not is_number(warmup_ms, least=-MAX_WARMUP_MS, most=MAX_WARMUP_MS):
        return False
    return all(
        is_integer(fields.get(name), least=0, most=most)
        for name, most in _INTEGER_BOUNDS
    )
