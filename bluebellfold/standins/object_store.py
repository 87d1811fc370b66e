"""Keep objects by kind and name in memory, for the store's stand-in."""

import asyncio
import json
from typing import Any

from bluebellfold.core import Sentinel
from bluebellfold.platform import MISSING_OBJECT, REVISION_CONFLICT

MAX_OBJECT_BYTES = 1_048_576

TOO_LARGE = Sentinel(
    name='too-large',
    reason='the object is over a megabyte',
)

Fields = dict[str, Any]
Key = tuple[str, str]


class ObjectStore:
    """Give objects revisions, keep their history, and wake who watches."""

    __slots__ = (
        '_changed',
        '_events',
        '_first_revision',
        '_previous',
        '_revision',
        '_stored',
    )

    def __init__(self) -> None:
        self._stored: dict[Key, Fields] = {}
        self._previous: dict[Key, Fields] = {}
        self._events: list[tuple[int, str, Fields]] = []
        self._revision = 0
        self._first_revision = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the number of the last change."""
        return self._revision

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(name for held, name in self._stored if held == kind)

    def read(self, kind: str, name: str) -> Fields | Sentinel:
        """Return the object or MISSING_OBJECT."""
        return self._stored.get((kind, name), MISSING_OBJECT)

    def read_stale(self, kind: str, name: str) -> Fields | Sentinel:
        """Return the object as it was one write ago."""
        return self._previous.get((kind, name)) or self.read(kind, name)

    def list_kind(self, kind: str) -> list[Fields]:
        """Return the objects of a kind in the order of their names."""
        return [self._stored[kind, name] for name in self.names(kind)]

    def put(self, kind: str, name: str, spec: Any) -> Fields | Sentinel:
        """Write an object whatever its revision, as the operator does."""
        if len(json.dumps(spec).encode()) > MAX_OBJECT_BYTES:
            return TOO_LARGE
        self._revision += 1
        known = self._stored.get((kind, name))
        if known is not None:
            self._previous[kind, name] = known
        meta = {
            'Name': name,
            'Revision': self._revision,
            'Created': known['meta']['Created'] if known else self._revision,
            'Finalizers': [],
            'Deleting': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self._stored[kind, name] = stored
        self._tell(kind, {'Object': stored, 'Deleted': False})
        return stored

    def create(self, kind: str, name: str, spec: Any) -> Fields | Sentinel:
        """Write an object that must not exist."""
        if (kind, name) in self._stored:
            return REVISION_CONFLICT
        return self.put(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: Any, *, revision: int
    ) -> Fields | Sentinel:
        """Write an object that must be at a revision."""
        stored = self.read(kind, name)
        if not stored:
            return stored
        if stored['meta']['Revision'] != revision:
            return REVISION_CONFLICT
        return self.put(kind, name, spec)

    def delete(
        self, kind: str, name: str, *, revision: int
    ) -> Fields | Sentinel:
        """Remove an object that must be at a revision."""
        stored = self.read(kind, name)
        if not stored:
            return stored
        if stored['meta']['Revision'] != revision:
            return REVISION_CONFLICT
        self._stored.pop((kind, name))
        self._revision += 1
        self._tell(kind, {'Object': stored, 'Deleted': True})
        return stored

    def events_since(self, kind: str, revision: int) -> list[Fields]:
        """Return what changed in a kind after a revision."""
        return [
            event
            for changed_at, held, event in self._events
            if changed_at > revision and held == kind
        ]

    def is_forgotten(self, revision: int) -> bool:
        """Tell whether the history since a revision is gone."""
        return revision < self._first_revision

    def forget(self) -> None:
        """Drop the history."""
        self._events.clear()
        self._revision += 1
        self._first_revision = self._revision
        self.wake()

    async def wait_for_change(self) -> None:
        """Return after the next change or call of ``wake``."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake everyone who waits."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _tell(self, kind: str, event: Fields) -> None:
        self._events.append((self._revision, kind, event))
        self.wake()
