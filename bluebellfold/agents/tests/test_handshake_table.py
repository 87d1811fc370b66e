"""Test the table of flow owners during handshakes."""

from bluebellfold.agents.handshake_table import (
    CONFIRM_TIMEOUT_SECONDS,
    HANDSHAKE_TIMEOUT_SECONDS,
    UNKNOWN_HANDSHAKE,
    HandshakeTable,
)
from bluebellfold.agents.tests.test_ranking import member

ONE = member(1).endpoint
TWO = member(2).endpoint
KEY = b'flow'


def test_confirmed_owner_is_found_until_the_handshake_times_out():
    table = HandshakeTable()
    table.add(KEY, ONE, 0)
    table.confirm(KEY, ONE)
    assert table.find_owner(KEY, HANDSHAKE_TIMEOUT_SECONDS - 1) == ONE
    assert table.find_owner(KEY, HANDSHAKE_TIMEOUT_SECONDS) is UNKNOWN_HANDSHAKE
    assert not len(table)


def test_unconfirmed_owner_is_found_until_the_confirmation_times_out():
    table = HandshakeTable()
    table.add(KEY, ONE, 0)
    assert table.find_owner(KEY, CONFIRM_TIMEOUT_SECONDS / 2) == ONE
    assert table.find_owner(KEY, CONFIRM_TIMEOUT_SECONDS) is UNKNOWN_HANDSHAKE


def test_late_confirmation_of_a_replaced_owner_is_ignored():
    table = HandshakeTable()
    table.add(KEY, ONE, 0)
    table.add(KEY, TWO, 1)
    table.confirm(KEY, ONE)
    assert (
        table.find_owner(KEY, 1 + 2 * CONFIRM_TIMEOUT_SECONDS)
        is UNKNOWN_HANDSHAKE
    )


def test_oldest_entry_is_evicted_at_the_limit():
    table = HandshakeTable(limit=2)
    for key in (b'a', b'b', b'c'):
        table.add(key, ONE, 0, confirmed=True)
    assert table.find_owner(b'a', 1) is UNKNOWN_HANDSHAKE
    assert table.find_owner(b'c', 1) == ONE
    table.remove(b'c')
    assert len(table) == 1
