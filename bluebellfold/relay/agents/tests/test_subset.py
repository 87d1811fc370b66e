"""Test the subsets of agents that balancers follow, over random fleets."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.agents import SUBSET_SIZE, select_subset
from bluebellfold.relay.tests.harness import fleet_of


FLEETS = st.builds(
    fleet_of,
    st.integers(0, 300),
    zones=st.lists(st.sampled_from('abcde'), min_size=1, max_size=5),
)


@given(FLEETS, st.sampled_from('abc'), st.text(max_size=20))
def test_subset_has_its_fixed_size_and_no_agent_twice(fleet, zone, identity):
    subset = select_subset(fleet, identity=identity, zone=zone)
    assert len(subset) == len(set(subset)) == min(SUBSET_SIZE, len(fleet))


@given(FLEETS, st.sampled_from('abc'), st.randoms())
def test_order_of_the_list_does_not_matter(fleet, zone, randomness):
    shuffled = randomness.sample(fleet, len(fleet))
    subset = select_subset(fleet, identity='x', zone=zone)
    assert select_subset(shuffled, identity='x', zone=zone) == subset


@given(st.integers(10, 300), st.data())
def test_agent_that_leaves_changes_only_its_own_place(count, draws):
    fleet = fleet_of(count)
    leaver = draws.draw(st.sampled_from(fleet))
    before = set(select_subset(fleet, identity='x', zone='a'))
    fleet.remove(leaver)
    after = set(select_subset(fleet, identity='x', zone='a'))
    if leaver.address in before:
        # Its zone may lose a turn to the next one as well.
        assert len(after - before) <= 2
        return
    assert after == before


def test_half_of_the_subset_is_in_the_own_zone_and_the_rest_is_spread():
    zones = {entry.address: entry.zone for entry in fleet_of(90)}
    subset = select_subset(fleet_of(90), identity='x', zone='b')
    counts = Counter(zones[address] for address in subset)
    assert counts == {'b': 4, 'a': 2, 'c': 2}


def test_zone_without_agents_is_served_by_the_others():
    subset = select_subset(fleet_of(90), identity='x', zone='d')
    assert len(subset) == SUBSET_SIZE


def test_many_balancers_cover_agents_evenly():
    # 59 balancers in five zones before 109 agents: 4.3 balancers each.
    zones = 'abcde'
    fleet = fleet_of(109, zones=zones)
    covered = Counter()
    for number in range(59):
        covered.update(
            select_subset(
                fleet,
                identity=f'10.1.0.{number}:7720',
                zone=zones[number % len(zones)],
            )
        )
    uncovered = [entry for entry in fleet if not covered[entry.address]]
    # Independent choices with this mean leave out one agent in 75, and one in
    # a thousand has more than three times the mean.
    assert len(uncovered) <= len(fleet) / 25
    assert max(covered.values()) <= 3 * 59 * SUBSET_SIZE / len(fleet)
