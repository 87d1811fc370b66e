"""Select functions and classes by key, registered with decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from bluebellfold.core.errors import UnknownEntryError

Key = TypeVar('Key')
Entry = TypeVar('Entry')


class Registry(Generic[Key, Entry]):
    """Map keys to the functions or classes registered for them.

    A registry starts with a copy of the entries of its ``base``.

    >>> policies = Registry(name='selection policies')
    >>> @policies.add('first')
    ... def select_first(candidates):
    ...     return candidates[0]
    >>> policies.find('first')([3, 4])
    3
    """

    __slots__ = ('_entries', '_name')

    def __init__(
        self,
        *,
        name: str,
        base: 'Registry[Key, Entry] | None' = None,
    ) -> None:
        self._name = name
        self._entries: dict[Key, Entry] = {}
        if base is not None:
            self._entries.update(base._entries)  # noqa: WPS437

    def __iter__(self) -> Iterator[Key]:
        """Iterate over the keys in order of registration."""
        return iter(self._entries)

    def __contains__(self, key: object) -> bool:
        """Return whether the key is registered."""
        return key in self._entries

    @property
    def name(self) -> str:
        """Return a description of the entries, for error messages."""
        return self._name

    def get(self, key: Key) -> Entry | None:
        """Return the entry for the key, or None."""
        return self._entries.get(key)

    def add(self, key: Key) -> Callable[[Entry], Entry]:
        """Return a decorator that registers an entry under the key."""

        def decorate(entry: Entry) -> Entry:  # noqa: WPS430
            self._entries[key] = entry
            return entry

        return decorate

    def find(self, key: Key) -> Entry:
        """Return the entry for the key, or raise UnknownEntryError."""
        entry = self._entries.get(key)
        if entry is not None:
            return entry
        known = ', '.join(str(known_key) for known_key in self._entries)
        raise UnknownEntryError(
            problem=f'{self._name} has no entry {key!r}',
            remedy=f'use one of: {known}',
        )
