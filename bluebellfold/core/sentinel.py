"""Define false values that give the reason of a missing result."""

from typing import Literal


class Sentinel:
    """Represent a missing result, with the reason.

    A sentinel is false, so that a result can be tested directly.

    >>> FORGED = Sentinel(name='forged', reason='the check bits do not match')
    >>> bool(FORGED), FORGED
    (False, <forged: the check bits do not match>)
    """

    __slots__ = ('_name', '_reason')

    def __init__(self, *, name: str, reason: str) -> None:
        self._name = name
        self._reason = reason

    def __bool__(self) -> Literal[False]:
        """Return false."""
        return False

    def __repr__(self) -> str:
        """Show the name and the reason."""
        return f'<{self._name}: {self._reason}>'

    @property
    def name(self) -> str:
        """Return the short name, as it appears in metrics."""
        return self._name

    @property
    def reason(self) -> str:
        """Return the reason, as it appears in logs."""
        return self._reason
