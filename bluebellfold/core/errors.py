"""Define the exceptions that all packages share."""


class BluebellfoldError(Exception):
    """Describe a problem and its remedy.

    >>> str(BluebellfoldError(problem='port 7001 is taken', remedy='free it'))
    'port 7001 is taken; remedy: free it'
    """

    __slots__ = ('_problem', '_remedy')

    def __init__(self, *, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}; remedy: {remedy}')
        self._problem = problem
        self._remedy = remedy

    @property
    def problem(self) -> str:
        """Return what went wrong."""
        return self._problem

    @property
    def remedy(self) -> str:
        """Return how the problem can be solved."""
        return self._remedy


class SettingsError(BluebellfoldError):
    """Report invalid settings."""

    __slots__ = ()


class UnknownEntryError(BluebellfoldError):
    """Report a key that is not in a registry."""

    __slots__ = ()


class InboxFullError(BluebellfoldError):
    """Report that the inbox of an actor is full."""

    __slots__ = ()
