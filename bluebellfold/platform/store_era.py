"""Decode the era of the platform's store."""

from collections.abc import Mapping

from bluebellfold.core import Sentinel

# Rises each time that the store comes back from a copy without its last writes.
ERA_HEADER = 'store-era'
# Datagrams hold an era in 32 bits.
MAX_ERA = 0xFFFFFFFF

UNREADABLE_ERA = Sentinel(
    name='unreadable-era',
    reason='the response of the store names no era',
)


def decode_era(headers: Mapping[str, str]) -> int | Sentinel:
    """Return the era that a response names, or UNREADABLE_ERA.

    >>> decode_era({'store-era': '3'}), decode_era({'store-era': 'x'})
    (3, <unreadable-era: the response of the store names no era>)
    """
    text = headers.get(ERA_HEADER, '')
    # Also excludes signs, blanks and the digits of other scripts.
    if not text.isascii() or not text.isdecimal():
        return UNREADABLE_ERA
    if len(text) > len(str(MAX_ERA)):
        return UNREADABLE_ERA
    era = int(text)
    return era if 0 < era <= MAX_ERA else UNREADABLE_ERA
