"""Encode and decode the copies that balancers serve to each other.

The body is a JSON object that maps each kind to its era and revision, its age
and its objects as stored. Earlier releases tell no era. A body with any odd
part is rejected as a whole; a kind that the receiver doesn't know is no odd
part, since a newer release may serve more. The objects of a copy that isn't
newer than the one held aren't used, nor read.
"""

import json
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

from bluebellfold.core import (
    NO_ERA,
    NO_POSITION,
    BluebellfoldError,
    StorePosition,
)
from bluebellfold.platform import (
    MAX_ERA,
    StoredObject,
    is_integer,
    is_number,
    is_text,
    read_json,
)
from bluebellfold.relay.balancers.copies.copy_record import KindCopy
from bluebellfold.relay.balancers.copies.held_copies import HeldCopy

MS_PER_SECOND = 1000
MAX_AGE_MS = 86_400_000
MAX_REVISION = 0x7FFFFFFFFFFFFFFF
# The greatest configuration that the store takes, and 28,000 agents at 180
# bytes each; a tenth of a balancer's memory.
MAX_BODY_BYTES = 8_000_000
NONE_HELD: Mapping[str, StorePosition] = MappingProxyType({})


class UnusableCopyError(BluebellfoldError):
    """Report a body that is not a copy of the state."""

    __slots__ = ()


def unusable_copy(problem: str) -> UnusableCopyError:
    """Return the error for a body that can't be used, with its remedy."""
    return UnusableCopyError(
        problem=problem,
        remedy='compare the releases of both balancers; another seed is asked',
    )


def encode_object(stored: StoredObject) -> bytes:
    """Encode one object for the copies that contain it."""
    fields = {
        'name': stored.name,
        'revision': stored.revision,
        'spec': stored.spec,
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def encode_copies(copies: Iterable[HeldCopy], now: float) -> bytes:
    """Encode the body of a response from objects that are encoded already."""
    kinds = (
        b''.join(
            (
                json.dumps(copy.kind).encode(),
                b':{"era":%d,"revision":%d,"age_ms":%d,"objects":['
                % (
                    copy.position.era,
                    copy.position.revision,
                    copy.age_seconds(now) * MS_PER_SECOND,
                ),
                b','.join(copy.encoded_objects),
                b']}',
            )
        )
        for copy in copies
    )
    return b'{"kinds":{%s}}' % b','.join(kinds)


def decode_copies(
    body: bytes,
    kinds: Iterable[str],
    *,
    held: Mapping[str, StorePosition] = NONE_HELD,
) -> tuple[KindCopy, ...]:
    """Return the copies of the given kinds, or raise UnusableCopyError.

    ``held`` has the positions of the copies held, by kind. A copy that isn't
    newer is returned without its objects.
    """
    fields = read_json(body)
    copies = fields.get('kinds') if isinstance(fields, dict) else None
    if not isinstance(copies, dict):
        raise unusable_copy('the body has no table of kinds')
    return tuple(
        _decode_copy(kind, copies[kind], held.get(kind, NO_POSITION))
        for kind in kinds
        if kind in copies
    )


def _decode_copy(
    kind: str, fields: Any, held_position: StorePosition
) -> KindCopy:
    if not isinstance(fields, dict):
        raise unusable_copy(f'the copy of {kind} is no object')
    age_ms = fields.get('age_ms')
    if not is_number(age_ms, least=0, most=MAX_AGE_MS):
        raise unusable_copy(f'the copy of {kind} has no age')
    entries = fields.get('objects')
    if not isinstance(entries, list):
        raise unusable_copy(f'the copy of {kind} has no list of objects')
    position = StorePosition(
        era=_decode_era(kind, fields),
        revision=_decode_revision(kind, fields),
    )
    if position <= held_position:
        entries = []
    return KindCopy(
        kind=kind,
        position=position,
        age_seconds=age_ms / MS_PER_SECOND,
        stored_objects=tuple(_decode_object(kind, entry) for entry in entries),
    )


def _decode_object(kind: str, fields: Any) -> StoredObject:
    if not isinstance(fields, dict) or 'spec' not in fields:
        raise unusable_copy(f'an object of {kind} has no spec')
    if not is_text(fields.get('name')):
        raise unusable_copy(f'an object of {kind} has no name')
    return StoredObject(
        name=fields['name'],
        revision=_decode_revision(kind, fields),
        spec=fields['spec'],
    )


def _decode_era(kind: str, fields: dict[str, Any]) -> int:
    era = fields.get('era', NO_ERA)
    if is_integer(era, least=NO_ERA, most=MAX_ERA):
        return era
    raise unusable_copy(f'the era of {kind} is out of range')


def _decode_revision(kind: str, fields: dict[str, Any]) -> int:
    revision = fields.get('revision')
    if is_integer(revision, least=0, most=MAX_REVISION):
        return revision
    raise unusable_copy(f'a revision of {kind} is missing or out of range')
