"""Load the token and envelope keys; up to two of each are valid."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from bluebellfold.core import (
    Key,
    Record,
    read_only,
)
from bluebellfold.ini.reading import IniSource, read_source
from bluebellfold.ini.violation import Violation, raise_first

KEY_NUMBERS = 256
# A key number and a secret of 16 bytes.
KEY_PATTERN = re.compile('[0-9]{1,3}:[0-9a-f]{32}')
CURRENT = 'current'
PREVIOUS = 'previous'
NEXT = 'next'


class KeyRing(Record):
    """Hold the key to seal with and an optional second valid key.

    During a rotation the secondary key is the next key, not yet used to
    seal. After it, the secondary key is the previous key: tokens and
    envelopes that it sealed may still arrive.
    """

    __slots__ = ('_current', '_secondary')

    current: Key = read_only('_current')
    secondary: Key | None = read_only('_secondary')

    def __init__(self, *, current: Key, secondary: Key | None = None) -> None:
        self._current = current
        self._secondary = secondary

    @property
    def valid(self) -> tuple[Key, ...]:
        """Return the valid keys, the current one first."""
        if self._secondary is None:
            return (self._current,)
        return (self._current, self._secondary)


class Keys(Record):
    """Hold the key rings of tokens and envelopes."""

    __slots__ = ('_envelope', '_token')

    envelope: KeyRing = read_only('_envelope')
    token: KeyRing = read_only('_token')

    def __init__(self, *, token: KeyRing, envelope: KeyRing) -> None:
        self._token = token
        self._envelope = envelope


def load_keys(path: str | Path) -> Keys:
    """Return the keys in a file, or raise SettingsError."""
    source = read_source(path)
    return Keys(
        token=_read_ring(source, 'token'),
        envelope=_read_ring(source, 'envelope'),
    )


def _read_ring(source: IniSource, name: str) -> KeyRing:
    section = source.parsed.get(name)
    raise_first(_validate_ring(name, section), lambda _: source.name)
    secondary = NEXT if NEXT in section else PREVIOUS
    return KeyRing(
        current=parse_key(section[CURRENT]),
        secondary=parse_key(section[secondary])
        if secondary in section
        else None,
    )


def _validate_ring(name: str, section: Any) -> Iterator[Violation]:
    if not isinstance(section, dict) or CURRENT not in section:
        yield _violation(name, CURRENT, 'missing')
        return
    for key, text in section.items():
        if key not in {CURRENT, PREVIOUS, NEXT}:
            yield _violation(name, key, 'unknown key')
        # Never show the value: it may contain most of a secret.
        if not KEY_PATTERN.fullmatch(str(text)):
            yield _violation(
                name, key, 'not in the form number:32 hexadecimal digits'
            )
            return
    numbers = {parse_key(key_text).number for key_text in section.values()}
    if max(numbers) >= KEY_NUMBERS:
        yield _violation(name, CURRENT, 'a key number is above 255')
    if len(numbers) < len(section):
        yield _violation(name, CURRENT, 'two keys have the same number')
    if NEXT in section and PREVIOUS in section:
        yield _violation(
            name, PREVIOUS, 'previous and next must not both be present'
        )


def parse_key(text: str) -> Key:
    """Return the key in a text of the form number:hexadecimal."""
    number, _, secret = text.partition(':')
    return Key(number=int(number), secret=bytes.fromhex(secret))


def _violation(section: str, key: str, problem: str) -> Violation:
    return Violation(
        sections=(section,),
        key=key,
        problem=problem,
        remedy='correct it, or create a file: bluebellfold keys new FILE',
    )
