"""Test the catalogue of events, its page, and logging."""

import io
import json
import logging
import re
from pathlib import Path

import pytest

from bluebellfold.collectors import (
    EVENTS,
    CollectorSettings,
    DropLog,
    log_event,
    render_event_page,
    start_logging,
)
from bluebellfold.core import ManualClock

ROOT = Path(__file__).parents[3]
PACKAGE = ROOT / 'bluebellfold'
NUMBER = re.compile('BBF[0-9]{4}')
CATALOGUE_FILES = ('catalogue.py', 'events.py')


def numbers_in_code():
    return {
        number
        for path in PACKAGE.rglob('*.py')
        if 'tests' not in path.parts and path.name not in CATALOGUE_FILES
        for number in NUMBER.findall(path.read_text())
    }


@pytest.fixture(autouse=True)
def restore_logging():
    root = logging.getLogger()
    saved = (root.handlers, root.level)
    yield
    root.handlers, root.level = saved


def log_lines(write):
    stream = io.StringIO()
    start_logging(CollectorSettings(), process='b1', stream=stream)
    write(logging.getLogger('bluebellfold.test'))
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_catalogue_lists_the_events_that_code_logs():
    listed = set(EVENTS) - {'BBF0100'}
    assert numbers_in_code() - listed == set(), 'add to the catalogue'
    assert listed - numbers_in_code() == set(), 'no code logs these'


def test_event_page_matches_the_catalogue():
    page = (ROOT / 'docs' / 'EVENTS.md').read_text()
    assert page == render_event_page(), 'run: python -m scripts.pages'


def test_line_contains_event_process_and_remedy():
    line = log_lines(lambda log: log_event(log, 'BBF0104', name='x', port=1))[0]
    assert line['event'] == 'BBF0104'
    assert line['level'] == 'ERROR'
    assert line['process'] == 'b1'
    assert (line['name_'], line['port']) == ('x', 1)
    assert line['remedy']


def test_event_outside_the_catalogue_is_logged():
    extra = {'event': 'unlisted'}
    line = log_lines(lambda log: log.warning('odd', extra=extra))[0]
    assert 'catalogue' in line['remedy']


def test_drops_are_logged_once_a_second_for_each_reason():
    clock = ManualClock()

    def log_drops(log):
        drops = DropLog(logger=log, clock=clock)
        for _ in range(5):
            drops.log_drop('forged-token')
        drops.log_drop('too-short')
        clock.advance(1)
        drops.log_drop('forged-token')

    lines = log_lines(log_drops)
    assert [(line['reason'], line['suppressed']) for line in lines] == [
        ('forged-token', 0),
        ('too-short', 0),
        ('forged-token', 4),
    ]
