"""Merge and remove rows of a shared object."""

from bluebellfold.core import Record, Sentinel, read_only

NOTHING_NEWER = Sentinel(
    name='nothing-newer',
    reason='the object already holds this state of the rows, or a newer one',
)


class Row(Record):
    """Hold one row of a shared object; ``text`` is JSON.

    ``version`` orders the states of a row across all writers.
    """

    __slots__ = ('_key', '_text', '_version')

    key: str = read_only('_key')
    text: str = read_only('_text')
    version: tuple[int, int] = read_only('_version')

    def __init__(
        self,
        *,
        key: str,
        version: tuple[int, int],
        text: str,
    ) -> None:
        self._key = key
        self._version = version
        self._text = text


def merge(
    *,
    stored: tuple[Row, ...],
    changes: tuple[Row, ...],
) -> tuple[Row, ...] | Sentinel:
    """Return all rows with the newest state of each, or NOTHING_NEWER.

    >>> old = Row(key='a', version=(1, 0), text='1')
    >>> new = Row(key='a', version=(1, 1), text='2')
    >>> merge(stored=(old,), changes=(new,)) == (new,)
    True
    >>> merge(stored=(new,), changes=(old,)).name
    'nothing-newer'
    """
    rows = {row.key: row for row in stored}
    for change in changes:
        current = rows.get(change.key)
        if current is None or current.version < change.version:
            rows[change.key] = change
    merged = tuple(rows[key] for key in sorted(rows))
    if set(merged) == set(stored):
        return NOTHING_NEWER
    return merged


def remove(
    *,
    stored: tuple[Row, ...],
    removed: tuple[Row, ...],
) -> tuple[Row, ...] | Sentinel:
    """Return the rows without those to remove, or NOTHING_NEWER.

    A row that has changed since it was read is kept.
    """
    kept = tuple(row for row in stored if row not in removed)
    if len(kept) == len(stored):
        return NOTHING_NEWER
    return kept
