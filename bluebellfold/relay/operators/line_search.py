"""Find the log lines that may contain an id, without decoding the others.

The logs of hundreds of processes have millions of lines, and few of them
concern one request. To decode all of them takes about twenty times as long as
to search them for bytes.
"""

import re
from collections.abc import Collection, Iterable, Iterator

# JSON encoders write these characters as they are. Others, such as `>`, some
# of them escape.
_PLAIN_RUN = re.compile('[0-9A-Za-z.:_-]+')
NEWLINE = b'\n'


def find_needle(wanted: str) -> bytes:
    """Return the longest part of an id that each encoder writes alike.

    It is empty if the id has no such part.

    >>> find_needle('100.64.0.7:40001>198.18.0.1:443')
    b'100.64.0.7:40001'
    """
    runs = _PLAIN_RUN.findall(wanted)
    return max(runs, key=len, default='').encode()


def find_lines(block: bytes, needles: Collection[bytes]) -> Iterator[str]:
    """Yield the lines of a block that contain one of the needles, in order.

    Each line contains an empty needle.
    """
    if b'' in needles:
        yield from _decode_lines(block.splitlines())
        return
    starts = {
        start for needle in needles for start in _find_starts(block, needle)
    }
    yield from _decode_lines(
        block[start : _line_end(block, start)] for start in sorted(starts)
    )


def split_block(block: bytes) -> tuple[bytes, bytes]:
    """Return the whole lines of a block, and the beginning of the last one."""
    end = block.rfind(NEWLINE) + 1
    return block[:end], block[end:]


def _find_starts(block: bytes, needle: bytes) -> Iterator[int]:
    position = block.find(needle)
    while position >= 0:
        yield block.rfind(NEWLINE, 0, position) + 1
        position = block.find(needle, _line_end(block, position))


def _line_end(block: bytes, position: int) -> int:
    end = block.find(NEWLINE, position)
    return len(block) if end < 0 else end


def _decode_lines(lines: Iterable[bytes]) -> Iterator[str]:
    return (line.decode(errors='replace') for line in lines)
