"""Describe a copy of the objects of one kind in the store."""

from bluebellfold.core import Record, StorePosition, read_only
from bluebellfold.platform import StoredObject


class KindCopy(Record):
    """Hold the objects of a kind as stored, as of a position of the store.

    ``age_seconds`` is the time since the store last confirmed the copy, as the
    balancer that served it states.
    """

    __slots__ = ('_age_seconds', '_kind', '_position', '_stored_objects')

    age_seconds: float = read_only('_age_seconds')
    kind: str = read_only('_kind')
    position: StorePosition = read_only('_position')
    stored_objects: tuple[StoredObject, ...] = read_only('_stored_objects')

    def __init__(
        self,
        *,
        kind: str,
        position: StorePosition,
        age_seconds: float,
        stored_objects: tuple[StoredObject, ...],
    ) -> None:
        self._kind = kind
        self._position = position
        self._age_seconds = age_seconds
        self._stored_objects = stored_objects
