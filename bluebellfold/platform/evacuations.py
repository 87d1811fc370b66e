"""Decode the evacuations of zones that the operator writes to the store."""

from bluebellfold.core import Sentinel
from bluebellfold.platform.json_reader import is_text
from bluebellfold.platform.stored_object import StoredObject

EVACUATIONS_KIND = 'evacuations'

UNUSABLE_ZONE = Sentinel(
    name='unusable-zone',
    reason='no zone can have the name of this object',
)


def decode_evacuated_zone(stored: StoredObject) -> str | Sentinel:
    """Return the zone that an object evacuates, or UNUSABLE_ZONE.

    The object exists for as long as the zone is evacuated. Its content is
    ignored.

    >>> decode_evacuated_zone(StoredObject(name='a', revision=1, spec=None))
    'a'
    """
    name = stored.name
    # Settings are read without the blanks around them.
    if is_text(name) and name == name.strip():
        return name
    return UNUSABLE_ZONE
