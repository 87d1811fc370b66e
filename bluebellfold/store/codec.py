"""Encode and decode objects with versioned texts as JSON."""

import json
from typing import Any

from bluebellfold.core import Record, read_only
from bluebellfold.core.platform_errors import PlatformResponseError
from bluebellfold.platform import StoredObject
from bluebellfold.store.messages import (
    HistoryEntry,
    ObjectWrite,
    StoredText,
)

COMPACT_SEPARATORS = (',', ':')
# Allows a write whose response was lost to be resolved after later writes.
MAX_HISTORY_ENTRIES = 16


class TextVersions(Record):
    """Hold a text with its recent versions, newest last.

    ``revision`` is the store's revision of the object, which conditional
    writes expect; 0 for an object that is not stored yet.
    """

    __slots__ = ('_history', '_name', '_revision', '_text')

    history: tuple[HistoryEntry, ...] = read_only('_history')
    name: str = read_only('_name')
    revision: int = read_only('_revision')
    text: str = read_only('_text')

    def __init__(
        self,
        *,
        name: str,
        text: str,
        history: tuple[HistoryEntry, ...],
        revision: int = 0,
    ) -> None:
        self._name = name
        self._text = text
        self._history = history
        self._revision = revision

    @classmethod
    def from_first_write(cls, write: ObjectWrite) -> 'TextVersions':
        """Return the versions after the first write of a text."""
        entry = HistoryEntry(version=1, operation=write.operation)
        return cls(name=write.name, text=write.text, history=(entry,))

    @property
    def version(self) -> int:
        """Return the newest version number."""
        return self._history[-1].version

    @property
    def newest(self) -> StoredText:
        """Return the text at its newest version."""
        return StoredText(
            name=self._name,
            version=self.version,
            text=self._text,
            operation=self._history[-1].operation,
        )

    def with_write(self, write: ObjectWrite) -> 'TextVersions':
        """Return the versions after a write to this one."""
        entry = HistoryEntry(
            version=self.version + 1, operation=write.operation
        )
        history = (*self._history, entry)[-MAX_HISTORY_ENTRIES:]
        return TextVersions(name=self._name, text=write.text, history=history)

    def spec(self) -> dict[str, Any]:
        """Return the spec of the stored object."""
        history = [[entry.version, entry.operation] for entry in self._history]
        return {'text': self._text, 'history': history}


def decode_versions(name: str, stored: StoredObject) -> TextVersions:
    """Return the versions in an object, or raise PlatformResponseError."""
    try:
        return TextVersions(
            name=name,
            text=_require_text(stored.spec['text']),
            history=tuple(
                HistoryEntry(version=int(version), operation=str(operation))
                for version, operation in stored.spec['history']
            ),
            revision=stored.revision,
        )
    except (ValueError, TypeError, KeyError) as error:
        raise malformed_response('a text with its history') from error


def _require_text(field: Any) -> str:
    if isinstance(field, str):
        return field
    raise TypeError('the text is not a string')


def compact_json(fields: Any) -> str:
    """Return compact JSON."""
    return json.dumps(fields, separators=COMPACT_SEPARATORS)


def malformed_response(expected: str) -> PlatformResponseError:
    """Return the error for a response that cannot be decoded."""
    return PlatformResponseError(
        problem=f'cannot decode {expected} in the response of the platform',
        remedy='check the address of the object API in the site file',
    )
