"""Store the objects of the platform stand-in in memory."""

import asyncio
import json
from typing import Any

from bluebellfold.core import Sentinel
from bluebellfold.platform import MISSING_OBJECT, REVISION_CONFLICT

MAX_OBJECT_BYTES = 1_048_576

TOO_LARGE = Sentinel(
    name='too-large',
    reason='the object is larger than 1 MiB',
)

Fields = dict[str, Any]
Key = tuple[str, str]


class ObjectStore:
    """Hold objects by kind and name, with revisions, a history and watches."""

    __slots__ = (
        '_changed',
        '_events',
        '_history_start',
        '_previous',
        '_revision',
        '_stored',
    )

    def __init__(self) -> None:
        self._stored: dict[Key, Fields] = {}
        self._previous: dict[Key, Fields] = {}
        self._events: list[tuple[int, str, Fields]] = []
        self._revision = 0
        self._history_start = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the objects of a kind."""
        return sorted(
            name for stored_kind, name in self._stored if stored_kind == kind
        )

    def read(self, kind: str, name: str) -> Fields | Sentinel:
        """Return the object or MISSING_OBJECT."""
        return self._stored.get((kind, name), MISSING_OBJECT)

    def read_stale(self, kind: str, name: str) -> Fields | Sentinel:
        """Return the object as it was before the last write."""
        return self._previous.get((kind, name)) or self.read(kind, name)

    def list_kind(self, kind: str) -> list[Fields]:
        """Return the objects of a kind, sorted by name."""
        return [self._stored[kind, name] for name in self.names(kind)]

    def put(self, kind: str, name: str, spec: Any) -> Fields | Sentinel:
        """Write an object regardless of its revision, as an operator does."""
        if len(json.dumps(spec).encode()) > MAX_OBJECT_BYTES:
            return TOO_LARGE
        self._revision += 1
        old = self._stored.get((kind, name))
        if old is not None:
            self._previous[kind, name] = old
        meta = {
            'Name': name,
            'Revision': self._revision,
            'Created': old['meta']['Created'] if old else self._revision,
            'Finalizers': [],
            'Deleting': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self._stored[kind, name] = stored
        self._add_event(kind, {'Object': stored, 'Deleted': False})
        return stored

    def create(self, kind: str, name: str, spec: Any) -> Fields | Sentinel:
        """Create an object, or return REVISION_CONFLICT if it exists."""
        if (kind, name) in self._stored:
            return REVISION_CONFLICT
        return self.put(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: Any, *, revision: int
    ) -> Fields | Sentinel:
        """Replace an object if it has the given revision."""
        stored = self.read(kind, name)
        if not stored:
            return stored
        if stored['meta']['Revision'] != revision:
            return REVISION_CONFLICT
        return self.put(kind, name, spec)

    def delete(
        self, kind: str, name: str, *, revision: int
    ) -> Fields | Sentinel:
        """Delete an object if it has the given revision."""
        stored = self.read(kind, name)
        if not stored:
            return stored
        if stored['meta']['Revision'] != revision:
            return REVISION_CONFLICT
        self._stored.pop((kind, name))
        self._revision += 1
        self._add_event(kind, {'Object': stored, 'Deleted': True})
        return stored

    def events_since(self, kind: str, revision: int) -> list[Fields]:
        """Return the changes to objects of a kind after a revision."""
        return [
            event
            for changed_at, event_kind, event in self._events
            if changed_at > revision and event_kind == kind
        ]

    def is_history_gone(self, revision: int) -> bool:
        """Return whether the changes since a revision are no longer kept."""
        return revision < self._history_start

    def clear_history(self) -> None:
        """Discard the history of changes."""
        self._events.clear()
        self._revision += 1
        self._history_start = self._revision
        self.wake()

    async def wait_for_change(self) -> None:
        """Wait for the next change or call of ``wake``."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake all that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _add_event(self, kind: str, event: Fields) -> None:
        self._events.append((self._revision, kind, event))
        self.wake()
