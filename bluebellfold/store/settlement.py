"""Decide from an object's history what became of a write."""

from bluebellfold.core import Sentinel
from bluebellfold.store.messages import (
    HistoryEntry,
    ObjectWrite,
    StoredText,
)

CONFLICT = Sentinel(
    name='conflict',
    reason=(
        'another write came first and this one changed nothing; '
        'read the object again, apply your change to it '
        'and write on the version you read'
    ),
)
PENDING = Sentinel(
    name='pending',
    reason='the write has not taken effect; repeat the same operation',
)
UNSETTLED = Sentinel(
    name='unsettled',
    reason=(
        'the history no longer reaches back to this write; '
        'read the object again and see whether it holds your change'
    ),
)


def settle(
    *,
    write: ObjectWrite,
    history: tuple[HistoryEntry, ...],
) -> StoredText | Sentinel:
    """Return the object as the write left it, or why there is none.

    ``history`` is in order of version, newest last. PENDING does not rule
    out that the write is still on its way; a repetition is safe, as both
    carry the same expected version and operation.
    """
    for entry in history:
        if entry.operation == write.operation:
            return StoredText(
                name=write.name,
                version=entry.version,
                text=write.text,
                operation=write.operation,
            )
    if not history or history[-1].version <= write.expected_version:
        return PENDING
    # A conditional write can only take the version right after the one it
    # expects, so that version's operation decides.
    if history[0].version > write.expected_version + 1:
        return UNSETTLED
    return CONFLICT
