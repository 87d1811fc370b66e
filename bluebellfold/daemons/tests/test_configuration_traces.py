"""Replay traces of the configurations offered to processes."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.core import Configuration
from bluebellfold.store import update_configuration

TRACES = Path(__file__).parent / 'traces'
INITIAL = Configuration(version=0, operation='', text='')


def replay(offers):
    in_force = INITIAL
    outcomes = []
    for version, operation in offers:
        decision = update_configuration(
            in_force=in_force,
            offered=Configuration(
                version=version, operation=operation, text=''
            ),
        )
        if decision:
            in_force = decision
        outcomes.append('adopted' if decision else decision.name)
    return in_force, outcomes


@pytest.mark.parametrize(
    'path',
    sorted(TRACES.glob('configuration_*.json')),
    ids=lambda path: path.stem,
)
def test_outcome_of_each_offer_matches_trace(path):
    trace = json.loads(path.read_text())
    offers = trace['offers']
    in_force, outcomes = replay(
        [(offer['version'], offer['operation']) for offer in offers]
    )
    assert outcomes == [offer['outcome'] for offer in offers]
    assert in_force.version == trace['ends_with_version']


@settings(derandomize=True, deadline=None)
@given(st.permutations([(version, f'o{version}') for version in range(1, 8)]))
def test_versions_increase_to_the_maximum_in_any_order_of_offers(offers):
    versions = [0]
    for count in range(1, len(offers) + 1):
        versions.append(replay(offers[:count])[0].version)
    assert versions == sorted(versions)
    assert versions[-1] == max(offers)[0]
