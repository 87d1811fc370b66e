"""Read JSON that any writer may have left, within bounds.

One odd part of a document must not hide the others: numbers that no field can
hold and parts that are nested too deeply are read as null, and bytes that are
no UTF-8 as replacement characters. The fields that need them are then missing,
so that only the entry with the odd part is unreadable.
"""

import json
import math
import re
from typing import Any, TypeGuard

from bluebellfold.core import Sentinel

# No document of the platform is nested half as deeply.
MAX_DEPTH = 32
# Digits of the greatest number that a field holds: 64 bits.
MAX_DIGITS = 19
# Longest name of an object, an upstream or a service.
MAX_TEXT = 253

UNREADABLE_JSON = Sentinel(
    name='unreadable-json',
    reason='the text is no JSON document',
)

# A string without an end reaches to the end of the text. If it didn't match,
# the search would go on at each of its quotes, in quadratic time.
_STRUCTURE = re.compile(r'"(?:[^"\\]|\\.?)*+"?|[\[\]{}]', re.DOTALL)
_OPENING = '[{'


def read_json(body: bytes) -> Any:
    """Return the decoded document, or UNREADABLE_JSON."""
    text = body.decode('utf-8', 'replace')
    try:
        return _load(text)
    except RecursionError:
        text = _cut_deep_parts(text)
    except ValueError:
        return UNREADABLE_JSON
    try:
        return _load(text)
    except (RecursionError, ValueError):
        return UNREADABLE_JSON


def is_integer(field: Any, *, least: int, most: int) -> TypeGuard[int]:
    """Return whether a field is a whole number within bounds.

    >>> is_integer(True, least=0, most=9), is_integer(9, least=0, most=9)
    (False, True)
    """
    # bool is a subclass of int, but true and false are not JSON numbers.
    if isinstance(field, bool) or not isinstance(field, int):
        return False
    return least <= field <= most


def is_number(
    field: Any, *, least: float, most: float
) -> TypeGuard[int | float]:
    """Return whether a field is a finite number within bounds."""
    if isinstance(field, bool) or not isinstance(field, int | float):
        return False
    return least <= field <= most


def is_text(field: Any) -> TypeGuard[str]:
    """Return whether a field is a short text of printable characters.

    >>> is_text('counter'), is_text(''), is_text('a' * 300)
    (True, False, False)
    """
    if not isinstance(field, str) or not 0 < len(field) <= MAX_TEXT:
        return False
    return field.isprintable()


def _load(text: str) -> Any:
    return json.loads(
        text,
        parse_int=_read_integer,
        parse_float=_read_float,
        parse_constant=_read_constant,
        strict=False,
    )


def _read_integer(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_DIGITS + 1 else None


def _read_float(digits: str) -> float | None:
    number = float(digits)
    return number if math.isfinite(number) else None


def _read_constant(_: str) -> None:
    """Read NaN and the infinities, which are no JSON, as null."""


def _cut_deep_parts(text: str) -> str:
    kept = []
    depth = 0
    kept_until = 0
    for token in _STRUCTURE.finditer(text):
        if token[0][0] == '"':
            continue
        if token[0] in _OPENING:
            depth += 1
            if depth == MAX_DEPTH:
                kept.extend((text[kept_until : token.start()], 'null'))
            continue
        if depth == MAX_DEPTH:
            kept_until = token.end()
        depth -= 1
    kept.append(text[kept_until:])
    return ''.join(kept)
