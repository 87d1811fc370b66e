"""Describe objects of the platform's store, and their changes."""

from typing import Any

from bluebellfold.core import Record, StorePosition, read_only


class StoredObject(Record):
    """Hold one object; ``spec`` is any decoded JSON."""

    __slots__ = ('_name', '_revision', '_spec')

    name: str = read_only('_name')
    revision: int = read_only('_revision')
    spec: Any = read_only('_spec')

    def __init__(self, *, name: str, revision: int, spec: Any) -> None:
        self._name = name
        self._revision = revision
        self._spec = spec


class Change(Record):
    """Describe the write or the deletion of an object."""

    __slots__ = ('_deleted', '_stored')

    deleted: bool = read_only('_deleted')
    stored: StoredObject = read_only('_stored')

    def __init__(self, *, stored: StoredObject, deleted: bool) -> None:
        self._stored = stored
        self._deleted = deleted


class Changes(Record):
    """List changes in order; ``position`` is where the next watch starts."""

    __slots__ = ('_changes', '_position')

    changes: tuple[Change, ...] = read_only('_changes')
    position: StorePosition = read_only('_position')

    def __init__(
        self, *, changes: tuple[Change, ...], position: StorePosition
    ) -> None:
        self._changes = changes
        self._position = position
