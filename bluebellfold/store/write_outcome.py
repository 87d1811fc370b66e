"""Determine the outcome of a write from the object's history."""

from bluebellfold.core import Sentinel
from bluebellfold.store.messages import (
    HistoryEntry,
    ObjectWrite,
    StoredText,
)

CONFLICT = Sentinel(
    name='conflict',
    reason=(
        'another write took effect first and this one had no effect; '
        'read the object again, apply the change to it '
        'and write with the version that was read'
    ),
)
PENDING = Sentinel(
    name='pending',
    reason='the write has not taken effect yet; repeat the same operation',
)
OUTCOME_UNKNOWN = Sentinel(
    name='unsettled',
    reason=(
        'the history no longer covers this write; '
        'read the object again and check whether it holds the change'
    ),
)


def resolve_write(
    *,
    write: ObjectWrite,
    history: tuple[HistoryEntry, ...],
) -> StoredText | Sentinel:
    """Return the object as written, or CONFLICT, PENDING or OUTCOME_UNKNOWN.

    ``history`` is in order of version, newest last. After PENDING the write
    may still take effect. A retry is idempotent, because it has the same
    expected version and operation.
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
    # A conditional write can only create the version after the one it expects,
    # so the operation of that version determines the outcome.
    if history[0].version > write.expected_version + 1:
        return OUTCOME_UNKNOWN
    return CONFLICT
