"""Test that log lines are written in batches and not lost at the end."""

import asyncio
import os

from bluebellfold.collectors import LineWriter
from bluebellfold.collectors.line_writer import MAX_BUFFERED_BYTES


def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    return reader, LineWriter(descriptor=writer)


def read(reader):
    try:
        return os.read(reader, 1_000_000)
    except BlockingIOError:
        return b''


def log(writer, text):
    writer.write(text)
    writer.flush()


def test_lines_of_a_running_loop_are_written_together():
    reader, writer = pipe()

    async def scenario():
        log(writer, 'one\n')
        log(writer, 'two\n')
        assert read(reader) == b''
        await asyncio.sleep(0.1)
        assert read(reader) == b'one\ntwo\n'

    asyncio.run(scenario())


def test_lines_without_a_loop_are_written_at_once():
    reader, writer = pipe()
    log(writer, 'one\n')
    assert read(reader) == b'one\n'


def test_lines_left_at_the_end_of_the_loop_are_written():
    reader, writer = pipe()

    async def scenario():
        log(writer, 'one\n')

    asyncio.run(scenario())
    log(writer, 'two\n')
    assert read(reader) == b'one\ntwo\n'


def test_whole_lines_are_dropped_while_the_reader_is_slow():
    reader, writer = pipe()
    line = 'x' * 9_999 + '\n'

    async def scenario():
        for _ in range(100):
            log(writer, line)
        await asyncio.sleep(0.1)

    asyncio.run(scenario())
    assert writer.dropped == 100 - MAX_BUFFERED_BYTES // len(line)
    # The pipe holds less than the buffer does.
    received = read(reader)
    writer.flush()
    received += read(reader)
    assert set(received.splitlines()) == {line.strip().encode()}
    assert received.endswith(b'\n')
