"""Define the base class of plain classes with slots."""

from operator import attrgetter
from typing import Any


def read_only(attribute: str) -> Any:
    """Return a property that reads a private attribute."""
    return property(attrgetter(attribute))


class Record:
    """Compare and show objects by the values of their slots.

    >>> class Endpoint(Record):
    ...     __slots__ = ('_host', '_port')
    ...     host: str = read_only('_host')
    ...     port: int = read_only('_port')
    ...     def __init__(self, *, host: str, port: int) -> None:
    ...         self._host = host
    ...         self._port = port
    >>> Endpoint(host='127.0.0.1', port=1)
    Endpoint(host='127.0.0.1', port=1)
    >>> Endpoint(host='a', port=1) == Endpoint(host='a', port=2)
    False
    """

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        """Return whether the other record has the same type and values."""
        if not isinstance(other, self.__class__):
            return NotImplemented
        return self._slot_values() == other._slot_values()

    def __hash__(self) -> int:
        """Hash the type and the values."""
        return hash((type(self), self._slot_values()))

    def __repr__(self) -> str:
        """Show the class and its fields."""
        fields = ', '.join(
            f'{slot.lstrip("_")}={getattr(self, slot)!r}'
            for slot in self.__slots__
        )
        return f'{type(self).__name__}({fields})'

    def replace(self, **changes: Any) -> Any:
        """Return a copy with some fields changed."""
        fields = {
            slot.lstrip('_'): getattr(self, slot) for slot in self.__slots__
        }
        return type(self)(**{**fields, **changes})

    def _slot_values(self) -> tuple[Any, ...]:
        return tuple(getattr(self, slot) for slot in self.__slots__)
