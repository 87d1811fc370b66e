"""Encode and decode the objects that hold texts: JSON."""

import json
from typing import Any

from bluebellfold.core import Record, read_only
from bluebellfold.core.platform_errors import PlatformAnswerError
from bluebellfold.platform import StoredObject
from bluebellfold.store.messages import (
    HistoryEntry,
    ObjectWrite,
    StoredText,
)

COMPACT = (',', ':')
# Settles writes whose answers were lost, also when others followed.
HISTORY_ENTRIES = 16


class TextVersions(Record):
    """Hold a text with its late versions, newest last.

    ``revision`` is the store's number for the object, on which a write is
    conditional; 0 for one that isn't stored yet.
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
    def first(cls, write: ObjectWrite) -> 'TextVersions':
        """Return what the first write of a text stores."""
        entry = HistoryEntry(version=1, operation=write.operation)
        return cls(name=write.name, text=write.text, history=(entry,))

    @property
    def version(self) -> int:
        """Return the version, which grows by one with each write."""
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

    def after(self, write: ObjectWrite) -> 'TextVersions':
        """Return what a write on this version stores."""
        entry = HistoryEntry(
            version=self.version + 1, operation=write.operation
        )
        history = (*self._history, entry)[-HISTORY_ENTRIES:]
        return TextVersions(name=self._name, text=write.text, history=history)

    def spec(self) -> dict[str, Any]:
        """Return what the object holds."""
        history = [[entry.version, entry.operation] for entry in self._history]
        return {'text': self._text, 'history': history}


def decode_versions(name: str, stored: StoredObject) -> TextVersions:
    """Return the text that an object holds, or raise PlatformAnswerError."""
    try:
        return TextVersions(
            name=name,
            text=_text_of(stored.spec['text']),
            history=tuple(
                HistoryEntry(version=int(version), operation=str(operation))
                for version, operation in stored.spec['history']
            ),
            revision=stored.revision,
        )
    except (ValueError, TypeError, KeyError) as error:
        raise unreadable('a text with its history') from error


def _text_of(written: Any) -> str:
    if isinstance(written, str):
        return written
    raise TypeError('the text is not a string')


def compact_json(fields: Any) -> str:
    """Return compact JSON."""
    return json.dumps(fields, separators=COMPACT)


def unreadable(expected: str) -> PlatformAnswerError:
    """Return the error for an answer that holds something else."""
    return PlatformAnswerError(
        problem=f'the platform sent something else than {expected}',
        remedy='check that the site names the address of the object API',
    )
