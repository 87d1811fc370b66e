"""Test the choice of the home agents of flows."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.callers.flow_homes import FlowHomes
from bluebellfold.relay.tests.harness import fleet_of

FLOWS = [number.to_bytes(12) for number in range(600)]


def homes_of(fleet):
    homes = FlowHomes()
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
