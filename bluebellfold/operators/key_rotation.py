"""Create and rotate the token and envelope keys in a file."""

import os
import secrets
from pathlib import Path
from typing import Any

from configobj import ConfigObj

from bluebellfold.core import Key, SettingsError
from bluebellfold.ini.reading import read_source
from bluebellfold.operators.keys import (
    CURRENT,
    KEY_NUMBERS,
    NEXT,
    PREVIOUS,
    Keys,
    load_keys,
    parse_key,
)

SECRET_BYTES = 16
OWNER_ONLY = 0o600


def new_keys(path: str | Path) -> None:
    """Write a file of new keys; raise SettingsError if the file exists."""
    if Path(path).exists():
        raise SettingsError(
            problem=f'{path} already exists',
            remedy='rotate it with: bluebellfold keys rotate FILE',
        )
    key_file = ConfigObj(interpolation=False)
    for name in Keys.__slots__:
        key_file[name.lstrip('_')] = {CURRENT: _format_key(_new_key(0))}
    _write_file(Path(path), key_file)


def rotate_keys(path: str | Path) -> bool:
    """Perform the next step of a rotation and return whether it is complete.

    The first step adds a next key, which is valid but not yet used to seal,
    and removes the previous key. The second step makes the next key current
    and completes the rotation. Every process must have loaded the file of
    one step before the next step. Raise SettingsError for an invalid file.
    """
    load_keys(path)
    key_file = read_source(path).parsed
    finished = [_rotate_ring(key_file[name]) for name in key_file.sections]
    _write_file(Path(path), key_file)
    return all(finished)


def _rotate_ring(section: Any) -> bool:
    if NEXT in section:
        section[PREVIOUS] = section[CURRENT]
        section[CURRENT] = section.pop(NEXT)
        return True
    section.pop(PREVIOUS, None)
    number = parse_key(section[CURRENT]).number + 1
    section[NEXT] = _format_key(_new_key(number % KEY_NUMBERS))
    return False


def _new_key(number: int) -> Key:
    return Key(number=number, secret=secrets.token_bytes(SECRET_BYTES))


def _format_key(key: Key) -> str:
    secret = key.secret.hex()
    return f'{key.number}:{secret}'


def _write_file(path: Path, keys: ConfigObj) -> None:
    try:
        _replace_file(path, '{0}\n'.format('\n'.join(keys.write())))
    except OSError as error:
        raise SettingsError(
            problem=f'{path}: can not be written: {error.strerror}',
            remedy='give a path in a writable directory',
        ) from None


def _replace_file(path: Path, text: str) -> None:
    # Processes may read the file at any time, so it is replaced atomically.
    partial = path.with_name(f'{path.name}.partial')
    partial.unlink(missing_ok=True)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(partial, flags, OWNER_ONLY), 'w') as stream:
        stream.write(text)
    partial.replace(path)
