"""Test the choice of the home agents of flows."""

import zlib
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.agents import AgentEntry, hash_evenly
from bluebellfold.relay.callers import flow_homes
from bluebellfold.relay.tests.harness import fleet_of

FLOWS = [number.to_bytes(12) for number in range(600)]


def homes_of(fleet):
    homes = flow_homes.FlowHomes()
    homes.update(fleet)
    return homes


@given(
    st.integers(0, 60),
    st.lists(st.sampled_from('abcd'), min_size=1, max_size=4),
    st.binary(min_size=12, max_size=12),
)
def test_a_flow_has_two_homes_in_two_zones_if_there_are(count, zones, flow):
    fleet = fleet_of(count, zones=zones)
    found = homes_of(fleet).find(flow)
    assert len(set(found)) == len(found) == min(2, count)
    by_address = {entry.address: entry.zone for entry in fleet}
    present = set(by_address.values())
    assert len({by_address[home] for home in found}) == min(2, len(present))


@given(st.randoms())
def test_all_balancers_find_the_same_homes(randomness):
    fleet = fleet_of(40, zones='abc')
    shuffled = randomness.sample(fleet, len(fleet))
    first, second = homes_of(fleet), homes_of(shuffled)
    assert all(first.find(flow) == second.find(flow) for flow in FLOWS)


def test_agent_that_leaves_moves_the_homes_of_few_flows():
    fleet = fleet_of(40, zones='abc')
    before, after = homes_of(fleet), homes_of(fleet[1:])
    moved = [flow for flow in FLOWS if before.find(flow) != after.find(flow)]
    # Each agent is a home of 1 flow in 20.
    assert len(moved) < len(FLOWS) / 10
    kept = [set(before.find(flow)) & set(after.find(flow)) for flow in moved]
    assert all(kept), 'a flow has lost both of its homes'


def test_homes_are_spread_over_the_agents():
    homes = homes_of(fleet_of(20, zones='abc'))
    counts = Counter(home for flow in FLOWS for home in homes.find(flow))
    mean = 2 * len(FLOWS) / 20
    assert max(counts.values()) < 3 * mean


# Guards against an event loop that stands still for 0.5 s before 28,000 agents:
# all points were hashed and sorted again after each change of the list.
def test_change_of_the_list_costs_the_points_of_the_changed_agents(monkeypatch):
    fleet = fleet_of(400, zones='abc')
    homes = homes_of(fleet[1:])
    homes.find(FLOWS[0])
    hashed = []

    def count_hash(key):
        hashed.append(key)
        return hash_evenly(key)

    monkeypatch.setattr(flow_homes, 'hash_evenly', count_hash)
    homes.update(fleet[:-1])
    homes.find(FLOWS[0])
    assert len(hashed) == flow_homes.POINTS_PER_AGENT + len(FLOWS[:1])


@given(
    st.lists(
        st.dictionaries(st.integers(0, 9), st.sampled_from(['', 'a', 'b', 'c']))
    )
)
def test_homes_do_not_depend_on_earlier_lists(lists):
    changed = flow_homes.FlowHomes()
    for zones_by_number in lists:
        fleet = [
            AgentEntry(address=('10.0.0.1', number + 1), zone=zone)
            for number, zone in zones_by_number.items()
        ]
        changed.update(fleet)
        fresh = homes_of(fleet)
        assert [changed.find(flow) for flow in FLOWS[:20]] == [
            fresh.find(flow) for flow in FLOWS[:20]
        ]


# Guards against releases that disagree about the homes while both run.
@pytest.mark.parametrize(
    ('zones', 'checksum'), [('abc', 3633109099), ('a', 1150891984)]
)
def test_homes_are_those_of_earlier_releases(zones, checksum):
    homes = homes_of(fleet_of(40, zones=zones))
    found = [homes.find(flow) for flow in FLOWS]
    assert zlib.crc32(repr(found).encode()) == checksum
