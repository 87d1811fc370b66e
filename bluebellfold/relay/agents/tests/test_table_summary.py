"""Test the numbers by which balancers' lists of agents are compared."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.agents import (
    AgentEntry,
    AgentTable,
    summarise_table,
)
from bluebellfold.relay.agents.messages import DRAINING
from bluebellfold.relay.tests.harness import fleet_of, report_of

ENTRIES = st.builds(
    AgentEntry,
    address=st.tuples(st.sampled_from(['10.0.0.1', '10.0.0.2']), st.just(1)),
    service=st.sampled_from(['', 'a', 'b']),
    zone=st.sampled_from(['', 'a', 'b']),
)
LISTS = st.lists(ENTRIES, unique_by=lambda entry: entry.address)


def table_of(*lists):
    table = AgentTable()
    for entries in lists:
        table.update_entries(entries, 0)
    return table


@given(st.lists(LISTS), LISTS)
def test_checksum_tells_the_list_and_not_how_it_came_about(earlier, last):
    # Guards against balancers that seem to disagree after other restarts.
    assert (
        table_of(*earlier, last).checksum == table_of(reversed(last)).checksum
    )


@given(LISTS, LISTS)
def test_checksum_differs_if_the_lists_do(one, other):
    equal = {entry.address: entry for entry in one} == {
        entry.address: entry for entry in other
    }
    checksums = {table_of(one).checksum, table_of(other).checksum}
    assert (len(checksums) == 1) == equal


def test_agents_that_exchange_their_services_change_the_checksum():
    # A CRC alone is linear, and the sum of both would stay.
    addresses = (('10.0.0.1', 1), ('10.0.0.2', 1))
    checksums = {
        table_of(
            AgentEntry(address=address, service=service)
            for address, service in zip(addresses, services, strict=True)
        ).checksum
        for services in ('ab', 'ba')
    }
    assert len(checksums) == 2


def test_followed_agents_and_their_reports_are_counted():
    entries = [*fleet_of(3), AgentEntry(address=('10.9.0.1', 1), service='b')]
    table = table_of(entries)
    addresses = [entry.address for entry in entries]
    table.follow(addresses[:3], 0)
    for address in addresses[:2]:
        table.update_load(address, report_of().load, 1.2)
    summary = summarise_table(table, 1.5)
    assert (summary.listed, summary.followed, summary.live) == (4, 3, 2)
    assert summary.oldest_report_seconds == pytest.approx(1.5)
    assert summary.unserved == 1


def test_service_whose_followed_agents_drain_is_unserved():
    # Guards against a subset that looks whole and takes no flows.
    table = table_of(fleet_of(2))
    addresses = [entry.address for entry in fleet_of(2)]
    table.follow(addresses, 0)
    for address in addresses:
        table.update_load(address, report_of(state=DRAINING).load, 1)
    summary = summarise_table(table, 1)
    assert (summary.live, summary.unserved) == (2, 1)


def test_empty_table_has_a_summary():
    summary = summarise_table(AgentTable(), 1)
    assert (summary.listed, summary.checksum, summary.unserved) == (0, 0, 0)
    assert summary.oldest_report_seconds == 0
