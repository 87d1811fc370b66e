"""Open the output of an exporter: standard output or a bounded file."""

import logging
import sys
from collections.abc import Callable
from logging.handlers import RotatingFileHandler
from pathlib import Path
from typing import Protocol

from bluebellfold.collectors.settings import CollectorSettings
from bluebellfold.core import Registry, SettingsError

MAX_FILE_BYTES = 16_000_000
BACKUP_FILES = 1


class Output(Protocol):
    """Accept lines of text."""

    def write(self, text: str) -> None:
        """Write text that ends with a newline."""

    def flush(self) -> None:
        """Flush the buffer."""


class BoundedFile:
    """Write lines to a file that is rotated when it is full."""

    __slots__ = ('_rotating_handler',)

    def __init__(self, path: Path) -> None:
        self._rotating_handler = RotatingFileHandler(
            path,
            maxBytes=MAX_FILE_BYTES,
            backupCount=BACKUP_FILES,
        )

    def write(self, text: str) -> None:
        """Write text that ends with a newline."""
        self._rotating_handler.emit(
            logging.makeLogRecord({'msg': text.rstrip('\n')})
        )

    def flush(self) -> None:
        """Flush the buffer."""
        self._rotating_handler.flush()


OUTPUTS: Registry[str, Callable[[CollectorSettings, str], Output]] = Registry(
    name='exporters',
)


@OUTPUTS.add('console')
def open_console(_settings: CollectorSettings, _name: str) -> Output:
    """Return standard output."""
    return sys.stdout


@OUTPUTS.add('file')
def open_file(settings: CollectorSettings, name: str) -> Output:
    """Return a bounded file of this name, or raise SettingsError."""
    directory = Path(settings.directory)
    try:
        return _create_file(directory, name)
    except OSError as error:
        raise SettingsError(
            problem=f'[collectors] directory {directory}: {error}',
            remedy='set a directory that the process can write to',
        ) from None


def _create_file(directory: Path, name: str) -> BoundedFile:
    directory.mkdir(parents=True, exist_ok=True)
    return BoundedFile(directory / name)
