"""Unwrap optional values that the order of calls guarantees to be present."""

from typing import TypeVar

from bluebellfold.core.errors import BluebellfoldError

Present = TypeVar('Present')


class MissingValueError(BluebellfoldError):
    """Report that a value is read before it is known."""

    __slots__ = ()


def require(optional: Present | None, *, name: str) -> Present:
    """Return the value, or raise MissingValueError if it is None.

    >>> require(0, name='count of flows')
    0
    """
    if optional is None:
        raise MissingValueError(
            problem=f'there is no {name} yet',
            remedy='report this error, the order of calls rules it out',
        )
    return optional
