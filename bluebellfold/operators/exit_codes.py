"""Map error classes to exit codes of the command line."""

from bluebellfold.core import BluebellfoldError, Registry, SettingsError
from bluebellfold.operators.apply import ConfigurationConflictError
from bluebellfold.store import PlatformUnavailableError

SUCCEEDED = 0
FAILED = 1
INVALID_SETTINGS = 2
CONFLICT = 3
PLATFORM_UNAVAILABLE = 4

EXIT_CODES: Registry[type[Exception], int] = Registry(name='exit codes')
EXIT_CODES.add(BluebellfoldError)(FAILED)
EXIT_CODES.add(SettingsError)(INVALID_SETTINGS)
EXIT_CODES.add(ConfigurationConflictError)(CONFLICT)
EXIT_CODES.add(PlatformUnavailableError)(PLATFORM_UNAVAILABLE)


def exit_code_of(error: BluebellfoldError) -> int:
    """Return the exit code of the error's nearest registered class.

    >>> exit_code_of(SettingsError(problem='wrong', remedy='correct it'))
    2
    """
    for error_class in type(error).__mro__:
        if error_class in EXIT_CODES:
            return EXIT_CODES.find(error_class)
    return FAILED
