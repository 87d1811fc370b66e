"""Test the rate limit of the log and the count of suppressed lines."""

import logging

from bluebellfold.core import ManualClock, Message
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.collectors.journal import (
    LINES_SUPPRESSED,
    MAX_LINES_PER_SECOND,
)

EVENT = 'BBF0738'


def journal_and_clock():
    clock = ManualClock(start=0)
    logger = logging.getLogger('bluebellfold.test.journal')
    logger.setLevel(logging.DEBUG)
    return Journal(logger=logger, clock=clock), clock


def events(caplog):
    return [record.event for record in caplog.records]


def test_lines_above_the_rate_limit_are_suppressed_and_counted(caplog):
    journal, clock = journal_and_clock()
    for _ in range(int(MAX_LINES_PER_SECOND) + 5):
        journal.log(EVENT, state='sought')
    assert len(events(caplog)) == MAX_LINES_PER_SECOND
    clock.advance(1)
    journal.log(EVENT, state='sought')
    assert events(caplog)[-2:] == [LINES_SUPPRESSED, EVENT]
    assert caplog.records[-2].lines == 5


def test_line_has_the_fields_of_the_event(caplog):
    journal, _ = journal_and_clock()
    journal.log('BBF0741', paused_ms=900)
    assert caplog.records[-1].paused_ms == 900


class LoadReport(Message):
    __slots__ = ()


def test_datagrams_are_counted_by_their_message():
    journal, _ = journal_and_clock()
    journal.count_sent(LoadReport())
    journal.count_sent(LoadReport())
    assert journal.tally.times('sent-load-report') == 2
