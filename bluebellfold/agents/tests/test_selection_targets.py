"""Test agent selection against its targets in simulated fleets.

The seeds are fixed. Each target is a ratio of the highest load to the mean,
except MAX_RATIO_TO_FULL_KNOWLEDGE, which compares with a selection by exact
loads.
"""

import pytest

from benchmarks.faults import drain
from benchmarks.fleet import FULL_KNOWLEDGE, Fleet, Policy, Shape
from benchmarks.scenarios import SCENARIOS
from bluebellfold.agents.selection import DEFAULT_POLICY

POLICY = Policy(name=DEFAULT_POLICY, declines=True)
SEED = 1

MAX_UPSTREAM_RATIO = 1.02
MAX_ZONE_RATIO = 1.01
MAX_RATIO_TO_FULL_KNOWLEDGE = 1.015
MAX_RATIO_AFTER_LOSS = 1.05
MAX_COLD_RATIO = 1.1

STEADY_SCENARIOS = (
    '7 in 3 zones',
    '7 in 4 zones',
    '4 in 4 zones',
    '64 in 7 zones',
    'unequal capacity',
    'balancers disagree',
    'reports lag 5 s',
    'claims idle',
)


@pytest.mark.parametrize('scenario', STEADY_SCENARIOS)
def test_upstreams_and_zones_get_even_shares(scenario):
    measured = SCENARIOS.find(scenario)(POLICY, SEED)
    assert measured.upstreams <= MAX_UPSTREAM_RATIO
    assert measured.zones <= MAX_ZONE_RATIO


@pytest.mark.parametrize('scenario', ['7 in 3 zones', '4 in 4 zones'])
def test_selection_is_close_to_full_knowledge(scenario):
    measured = SCENARIOS.find(scenario)(POLICY, SEED)
    exact = SCENARIOS.find(scenario)(Policy(name=FULL_KNOWLEDGE), SEED)
    assert measured.upstreams <= exact.upstreams * MAX_RATIO_TO_FULL_KNOWLEDGE


@pytest.mark.parametrize('scenario', ['a drain', 'a zone lost'])
def test_load_stays_even_after_a_loss(scenario):
    assert SCENARIOS.find(scenario)(POLICY, SEED).worst <= MAX_RATIO_AFTER_LOSS


@pytest.mark.parametrize('scenario', ['one cold upstream', 'the zone returns'])
def test_cold_upstreams_are_not_overloaded(scenario):
    cold_worst = SCENARIOS.find(scenario)(POLICY, SEED).cold_worst
    assert 0 < cold_worst <= MAX_COLD_RATIO


def test_draining_agent_gets_no_new_flow():
    fleet = Fleet(shape=Shape(zones='aaabbcc'), policy=POLICY, seed=SEED)
    draining = fleet.any_agent()
    drain(fleet, draining)
    flow_counts = []
    fleet.run(30, lambda: flow_counts.append(draining.flows))
    assert flow_counts == sorted(flow_counts, reverse=True)
    assert flow_counts[-1] < flow_counts[0]
