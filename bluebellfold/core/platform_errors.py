"""Define the exceptions that requests to the platform raise."""

from bluebellfold.core.errors import BluebellfoldError


class PlatformError(BluebellfoldError):
    """Report a request to the platform without a usable response."""

    __slots__ = ()


class PlatformUnavailableError(PlatformError):
    """Report a platform that is unreachable, timed out or hung up."""

    __slots__ = ()


class PlatformResponseError(PlatformError):
    """Report a response that the platform's API does not specify."""

    __slots__ = ()


class RowConflictError(PlatformError):
    """Report a row that had a write conflict at every attempt."""

    __slots__ = ()
