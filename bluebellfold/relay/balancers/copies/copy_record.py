"""Describe a copy of the objects of one kind in the store."""

from bluebellfold.core import Record, read_only
from bluebellfold.platform import StoredObject


class KindCopy(Record):
    """Hold the objects of a kind as stored, as of a revision of the store.

    ``age_seconds`` is the time since the store last confirmed the copy, as the
    balancer that served it states.
    """

    __slots__ = ('_age_seconds', '_kind', '_revision', '_stored_objects')

    age_seconds: float = read_only('_age_seconds')
    kind: str = read_only('_kind')
    revision: int = read_only('_revision')
    stored_objects: tuple[StoredObject, ...] = read_only('_stored_objects')

    def __init__(
        self,
        *,
        kind: str,
        revision: int,
        age_seconds: float,
        stored_objects: tuple[StoredObject, ...],
    ) -> None:
        self._kind = kind
        self._revision = revision
        self._age_seconds = age_seconds
        self._stored_objects = stored_objects
