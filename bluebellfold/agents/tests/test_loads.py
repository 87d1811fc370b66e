"""Test load tables, load reports, usable capacity and peers."""

import pytest

from bluebellfold.agents.capacity import (
    MIN_HINT_FACTOR,
    MIN_SHED_FACTOR,
    RAMP_SECONDS,
    RAMP_START_FRACTION,
    UsableCapacity,
)
from bluebellfold.agents.loads import (
    MAX_REPORT_AGE_SECONDS,
    REFRESH_INTERVAL_SECONDS,
    UNKNOWN_LOAD,
    LoadTable,
    ReportLimiter,
)
from bluebellfold.agents.peers import MAX_PEERS, choose_peers
from bluebellfold.agents.tests.test_ranking import member, members
from bluebellfold.core import Load

ONE = member(1).endpoint


def load(*, flows: int, at: float, number: int = 1, usable: float = 1) -> Load:
    return Load(
        endpoint=member(number).endpoint,
        slots=0.5,
        connections=flows / 100,
        flows=flows,
        seen_at=at,
        usable=usable,
    )


def test_assigned_flows_count_until_the_next_report():
    table = LoadTable()
    table.update(load(flows=10, at=1))
    table.count_assignment(ONE)
    table.count_assignment(ONE)
    assert table.find(ONE, 1.5).flows == 12
    table.update(load(flows=11, at=2))
    assert table.find(ONE, 2).flows == 11
    assert table.assigned_count == 2


def test_older_report_is_ignored():
    table = LoadTable()
    table.update(load(flows=10, at=2))
    table.update(load(flows=50, at=1))
    assert table.find(ONE, 2).flows == 10


def test_stale_and_removed_loads_are_unknown():
    table = LoadTable()
    assert table.find(ONE, 0) is UNKNOWN_LOAD
    table.update(load(flows=60, at=0))
    assert table.utilisation(ONE, MAX_REPORT_AGE_SECONDS) == pytest.approx(0.6)
    assert table.utilisation(ONE, MAX_REPORT_AGE_SECONDS + 1) is UNKNOWN_LOAD
    table.retain({member(2).endpoint})
    assert table.find(ONE, 0) is UNKNOWN_LOAD


def test_reports_need_a_change_and_the_minimum_interval():
    limiter = ReportLimiter()
    assert limiter.due(load(flows=10, at=0), 0)
    assert not limiter.due(load(flows=90, at=0.5), 0.5)
    assert not limiter.due(load(flows=10, at=2), 2)
    assert limiter.due(load(flows=11, at=2), 2)
    assert not limiter.due(load(flows=11, at=4), 4)
    assert limiter.due(load(flows=11, at=5), 2 + REFRESH_INTERVAL_SECONDS)
    assert limiter.due(load(flows=11, at=9, usable=0.5), 9)


def test_cold_upstream_ramps_up():
    capacity = UsableCapacity(cold_at=100)
    assert capacity.usable(100) == RAMP_START_FRACTION
    assert capacity.usable(100 + RAMP_SECONDS / 2) == pytest.approx(0.5)
    assert capacity.usable(100 + RAMP_SECONDS * 2) == 1
    assert UsableCapacity(cold_at=None).usable(0) == 1


def test_capacity_drops_with_each_shed_request_and_recovers():
    capacity = UsableCapacity(cold_at=None)
    capacity.record_shed(50)
    assert capacity.usable(50) == pytest.approx(0.8)
    for _ in range(20):
        capacity.record_shed(50)
    assert capacity.usable(50) == MIN_SHED_FACTOR
    assert capacity.usable(60) == 1


def test_hint_counts_less_with_age_and_is_limited():
    capacity = UsableCapacity(cold_at=None)
    capacity.record_hint(upstream_load=0, agent_load=0.7, at=10)
    assert capacity.usable(10) == 1
    capacity.record_hint(upstream_load=1, agent_load=0, at=10)
    assert capacity.usable(10) == MIN_HINT_FACTOR
    assert MIN_HINT_FACTOR < capacity.usable(14) < 1
    assert capacity.usable(20) == 1


@pytest.mark.parametrize('count', [1, 7, 9, 10, 64, 200])
def test_peers_are_few_and_mutual(count):
    all_members = members(count)
    peers = {
        one.endpoint: {
            peer.endpoint for peer in choose_peers(one.endpoint, all_members)
        }
        for one in all_members
    }
    for endpoint, chosen in peers.items():
        assert endpoint not in chosen
        assert min(count - 1, 2) <= len(chosen) <= MAX_PEERS
        assert all(endpoint in peers[peer] for peer in chosen)
