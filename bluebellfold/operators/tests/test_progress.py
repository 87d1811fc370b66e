"""Test that progress is shown on terminals only, and not too often."""

import io

import pytest

from bluebellfold.core import ManualClock
from bluebellfold.operators.progress import ProgressBar, format_bar


class Terminal(io.StringIO):
    def isatty(self):
        return True


def show(stream):
    clock = ManualClock(start=1.0)
    progress = ProgressBar(stream=stream, clock=clock)
    progress.start('reading', 1000)
    for _ in range(100):
        progress.advance(10)
        clock.advance(0.01)
    progress.finish()
    return stream.getvalue()


def test_terminal_shows_the_share_and_is_left_clean():
    shown = show(Terminal())
    assert '51% reading' in shown
    assert shown.endswith('\r\x1b[K')
    # 1 s at ten drawings a second; each drawing costs a write.
    assert shown.count('reading') <= 11


def test_output_that_is_no_terminal_gets_nothing():
    assert not show(io.StringIO())


@pytest.mark.parametrize(
    ('done', 'total', 'bar'),
    [(0, 0, '[####] 100%'), (9, 4, '[####] 100%'), (0, 4, '[....]   0%')],
)
def test_empty_and_growing_logs_have_a_bar(done, total, bar):
    assert format_bar(done, total, width=4) == bar
