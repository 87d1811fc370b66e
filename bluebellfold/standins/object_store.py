"""Store the objects of the platform stand-in in memory."""

import asyncio
import json
from typing import Any

from bluebellfold.core import Record, Sentinel, read_only
from bluebellfold.platform import MISSING_OBJECT, REVISION_CONFLICT

MAX_OBJECT_BYTES = 1_048_576

TOO_LARGE = Sentinel(
    name='too-large',
    reason='the object is larger than 1 MiB',
)

Fields = dict[str, Any]
Key = tuple[str, str]
# Revision, kind and what a watch returns.
Event = tuple[int, str, Fields]


class StoreCopy(Record):
    """Hold the state of a store at one moment."""

    __slots__ = ('_events', '_history_start', '_revision', '_stored')

    events: tuple[Event, ...] = read_only('_events')
    history_start: int = read_only('_history_start')
    revision: int = read_only('_revision')
    stored: dict[Key, Fields] = read_only('_stored')

    def __init__(
        self,
        *,
        stored: dict[Key, Fields],
        events: tuple[Event, ...],
        revision: int,
        history_start: int,
    ) -> None:
        self._stored = stored
        self._events = events
        self._revision = revision
        self._history_start = history_start


class ObjectStore:
    """Hold objects by kind and name, with revisions, a history and watches."""

    __slots__ = (
        '_changed',
        '_era',
        '_events',
        '_history_start',
        '_previous',
        '_revision',
        '_stored',
    )

    def __init__(self) -> None:
        self._stored: dict[Key, Fields] = {}
        self._previous: dict[Key, Fields] = {}
        self._events: list[Event] = []
        self._era = 1
        self._revision = 0
        self._history_start = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def era(self) -> int:
        """Return how often the store came back from a copy, and one."""
        return self._era

    def copy(self) -> StoreCopy:
        """Return a copy that ``restore`` can bring back."""
        return StoreCopy(
            stored=dict(self._stored),
            events=tuple(self._events),
            revision=self._revision,
            history_start=self._history_start,
        )

    def restore(self, copied: StoreCopy, *, ends_watches: bool = True) -> None:
        """Come back from a copy: all later writes and revisions are gone.

        Unless it ``ends_watches``, those that wait go on until their time ends.
        """
        self._stored = dict(copied.stored)
        self._previous.clear()
        self._events = list(copied.events)
        self._revision = copied.revision
        self._history_start = copied.history_start
        self._era += 1
        if ends_watches:
            self.wake()

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
        """Return whether the store lacks a revision or the changes since."""
        return not self._history_start <= revision <= self._revision

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
