"""Test how an agent assigns new flows at each hop."""

import pytest

from bluebellfold.agents.flow_assigner import MAX_HOPS, FlowAssigner
from bluebellfold.agents.loads import (
    MAX_REPORT_AGE_SECONDS,
    REFRESH_INTERVAL_SECONDS,
)
from bluebellfold.agents.messages import ClientDatagram
from bluebellfold.agents.tests.test_ranking import FLOW_KEYS, members
from bluebellfold.core import Endpoint, Load, Service

MEMBERS = members(3)
PRIMARY, OTHER, THIRD = (one.endpoint for one in MEMBERS)
BALANCER = Endpoint(host='127.0.0.9', port=7100)
CLIENT = Endpoint(host='127.0.0.9', port=50000)
SERVICE = Service(
    name='counter', number=1, upstreams=3, slots=3, connections=2000
)


def first_flight(*, hops: int = 0, offered_fill: float = 0) -> ClientDatagram:
    return ClientDatagram(
        address=1,
        client=CLIENT,
        payload=b'',
        hops=hops,
        offered_fill=offered_fill,
    )


def build_assigner(flows: int, *, cold_at: float | None = None) -> FlowAssigner:
    primary = FlowAssigner(member=MEMBERS[0], service=SERVICE, cold_at=cold_at)
    primary.update_service(SERVICE, MEMBERS)
    primary.update_flows(flows, now=0)
    return primary


def report_peer_loads(primary: FlowAssigner, flows: int, *, now: float) -> None:
    for endpoint in (OTHER, THIRD):
        load = Load(
            endpoint=endpoint,
            slots=0,
            connections=0,
            flows=flows,
            seen_at=now,
        )
        primary.update_peer_load(load, now=now)


def select_owners(primary: FlowAssigner, *, now: float) -> set[Endpoint]:
    return {
        primary.assign(first_flight(), key, BALANCER, now=now).owner
        for key in FLOW_KEYS[20:40]
    }


def test_own_load_never_becomes_stale():
    primary = build_assigner(200)
    now = MAX_REPORT_AGE_SECONDS + 1
    report_peer_loads(primary, 100, now=now)
    assert PRIMARY not in select_owners(primary, now=now)


def test_primary_accepts_more_flows_as_it_warms_up():
    primary = build_assigner(60, cold_at=0)
    report_peer_loads(primary, 100, now=1)
    assert PRIMARY not in select_owners(primary, now=1)
    report_peer_loads(primary, 100, now=29)
    assert select_owners(primary, now=29) == {PRIMARY}


def test_peer_that_declines_is_not_suspected():
    primary = build_assigner(200)
    report_peer_loads(primary, 100, now=0)
    for key in FLOW_KEYS[:20]:
        peer = primary.assign(first_flight(), key, BALANCER, now=0.5).owner
        declined = first_flight(hops=MAX_HOPS)
        assigned = primary.assign(declined, key, peer, now=0.6)
        assert assigned.owner == PRIMARY
    assert PRIMARY not in select_owners(primary, now=2)


def test_new_peers_get_a_report_at_once():
    primary = build_assigner(10)
    primary.update_service(SERVICE, MEMBERS[:2])
    assert primary.report_due(now=0)
    primary.update_service(SERVICE, MEMBERS[:2])
    assert not primary.report_due(now=0.1)
    primary.update_service(SERVICE, MEMBERS)
    assert primary.report_due(now=0.1)
    assert not primary.report_due(now=REFRESH_INTERVAL_SECONDS)


def test_fuller_agent_returns_a_forwarded_flow():
    agent = build_assigner(100)
    accepted = agent.assign(
        first_flight(hops=1, offered_fill=120), b'k', OTHER, now=0
    )
    declined = agent.assign(
        first_flight(hops=1, offered_fill=90), b'k', OTHER, now=0
    )
    assert accepted.owner == PRIMARY
    assert declined.owner == OTHER


def test_load_reported_by_the_upstream_lowers_capacity_and_ages():
    primary = build_assigner(0)
    primary.update_upstream_load(1, at=10, now=10)
    usable = [primary.own_load(now=now).usable for now in (10, 12.5, 15)]
    assert usable == pytest.approx([0.5, 0.5, 1])


def test_upstream_that_reports_idle_does_not_hide_slots_in_use():
    primary = build_assigner(0)
    primary.update_usage(SERVICE.slots, 0, now=10)
    primary.update_upstream_load(0, at=10, now=10)
    load = primary.own_load(now=10)
    assert (load.slots, load.usable) == (1, 1)


def test_primary_follows_a_change_of_its_own_weight():
    primary = build_assigner(200)
    report_peer_loads(primary, 100, now=0)
    assert PRIMARY not in select_owners(primary, now=0)
    primary.update_service(
        SERVICE, (MEMBERS[0].replace(weight=3), *MEMBERS[1:])
    )
    # The owners selected at 0 s did not confirm, so new ones are selected.
    report_peer_loads(primary, 100, now=1)
    assert select_owners(primary, now=1) == {PRIMARY}
