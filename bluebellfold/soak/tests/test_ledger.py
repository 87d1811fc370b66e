"""Test that the ledger of a soak finds what breaks a promise."""

import pytest

from bluebellfold.soak.ledger import Ledger

FLOW = {'upstream': 'upstream-1', 'agent': '127.1.2.1'}


def test_request_that_ran_twice_is_found():
    ledger = Ledger()
    ledger.note_run(b'request 1.', 'upstream-1')
    assert not ledger.broken
    ledger.note_run(b'request 1.', 'upstream-2')
    assert len(ledger.broken) == 1


@pytest.mark.parametrize(
    'answer', [b'upstream-2:request 1.', b'upstream-1:request 2.', b'upstream']
)
def test_answer_of_another_request_or_upstream_is_found(answer):
    ledger = Ledger()
    ledger.note_answer(b'upstream-1:request 1.', b'request 1.', 'upstream-1')
    assert not ledger.broken
    ledger.note_answer(answer, b'request 1.', 'upstream-1')
    assert len(ledger.broken) == 1


def test_reset_of_a_flow_that_its_upstream_holds_is_found():
    ledger = Ledger()
    ledger.note_reset('flow', holds=False, at=1, **FLOW)
    assert not ledger.broken
    ledger.note_reset('flow', holds=True, at=1, **FLOW)
    assert len(ledger.broken) == 1


def test_reset_is_allowed_while_the_agent_is_in_trouble():
    ledger = Ledger()
    ledger.note_trouble(FLOW['agent'], began=1, ended=2)
    ledger.note_reset('flow', holds=True, at=5.9, **FLOW)
    assert not ledger.broken
    ledger.note_reset('flow', holds=True, at=6.1, **FLOW)
    assert len(ledger.broken) == 1


def test_route_that_is_not_as_configured_is_found():
    ledger = Ledger()
    ledger.note_probe('127.1.1.0', is_open=True, wanted=True, at=9)
    assert not ledger.broken
    ledger.note_probe('127.1.1.0', is_open=True, wanted=False, at=9)
    assert len(ledger.broken) == 1


def test_process_that_outlives_its_grace_is_found():
    ledger = Ledger()
    ledger.note_end('agent', 0)
    assert not ledger.broken
    ledger.note_end('agent', None)
    assert len(ledger.broken) == 1


def test_flow_that_opens_late_in_a_drain_is_found():
    ledger = Ledger()
    ledger.note_drained('upstream-1', opened=0)
    assert not ledger.broken
    ledger.note_drained('upstream-1', opened=1)
    assert len(ledger.broken) == 1
