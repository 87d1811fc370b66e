"""Read the logs of many processes in blocks of whole lines."""

from collections.abc import Collection, Iterable, Iterator
from itertools import chain
from pathlib import Path

from bluebellfold.core import BluebellfoldError
from bluebellfold.relay.operators.line_search import find_lines, split_block
from bluebellfold.relay.operators.progress import Progress

# Larger blocks are not read faster, and smaller ones cost a call each.
BLOCK_BYTES = 4 * 1024 * 1024
# A log line has some hundred bytes. What has more without a line break is no
# log, and is not kept in memory.
MAX_LINE_BYTES = 1024 * 1024


class LogReadError(BluebellfoldError):
    """Report a log that cannot be read."""

    __slots__ = ()


class LogReader:
    """Search files, and the files in folders, for lines."""

    __slots__ = ('_files', '_progress')

    def __init__(
        self, *, paths: Iterable[str], progress: Progress | None = None
    ) -> None:
        listed = chain.from_iterable(map(_list_files, paths))
        self._files = tuple(dict.fromkeys(listed))
        self._progress = progress

    @property
    def files(self) -> tuple[Path, ...]:
        """Return the files, each once."""
        return self._files

    def search(self, needles: Collection[bytes], label: str) -> Iterator[str]:
        """Yield the lines with one of the needles, or raise LogReadError.

        ``label`` names this search to the operator.
        """
        if self._progress is not None:
            self._progress.start(label, sum(map(_size_of, self._files)))
        try:
            for path in self._files:
                yield from self._search_file(path, needles)
        finally:
            if self._progress is not None:
                self._progress.finish()

    def _search_file(
        self, path: Path, needles: Collection[bytes]
    ) -> Iterator[str]:
        begun = b''
        for block in _read_blocks(path):
            whole, begun = split_block(begun + block)
            yield from find_lines(whole, needles)
            if len(begun) > MAX_LINE_BYTES:
                begun = b''
            if self._progress is not None:
                self._progress.advance(len(block))
        yield from find_lines(begun, needles)


def _list_files(path: str) -> list[Path]:
    named = Path(path)
    if named.is_dir():
        return sorted(found for found in named.rglob('*') if found.is_file())
    return [named]


def _size_of(path: Path) -> int:
    try:
        return path.stat().st_size
    except OSError as error:
        raise _read_error(path, error) from error


def _read_blocks(path: Path) -> Iterator[bytes]:
    try:
        with path.open('rb') as log:
            while block := log.read(BLOCK_BYTES):
                yield block
    except OSError as error:
        raise _read_error(path, error) from error


def _read_error(path: Path, error: OSError) -> LogReadError:
    return LogReadError(
        problem=f'{path}: not readable: {error.strerror}',
        remedy='check the path and the permissions',
    )
