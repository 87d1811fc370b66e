"""Separate the parsing of a command line from its execution."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from bluebellfold.operators.exit_codes import SUCCEEDED


class Invocation:
    """Defer the work of a command until all its arguments are parsed.

    fire calls a command before it reports unknown arguments. The work is
    deferred so that a drain or an apply with a misspelt flag does not run.
    """

    __slots__ = ('_work',)

    def __init__(self, work: Callable[[], int | None]) -> None:
        self._work = work

    def run(self) -> int:
        """Run the command and return its exit code."""
        return self._work() or SUCCEEDED


def async_invocation(work: Callable[[], Awaitable[int | None]]) -> Invocation:
    """Return an invocation that runs a coroutine in an event loop."""
    return Invocation(lambda: asyncio.run(work()))


def write_output(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write a line to standard error."""
    sys.stderr.write(f'{text}\n')
