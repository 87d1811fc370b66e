"""Test configuration updates against a model that keeps every offer."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.store import (
    ALREADY_IN_FORCE,
    OLDER,
    SAME_VERSION,
    update_configuration,
)
from bluebellfold.store.tests.harness import configuration_at

version_lists = st.lists(st.integers(min_value=0, max_value=9), max_size=30)


@settings(derandomize=True, deadline=None)
@given(version_lists)
def test_greatest_offered_version_is_in_force(versions):
    in_force = configuration_at(0)
    offered_so_far = [in_force]
    for version in versions:
        offered = configuration_at(version)
        before = in_force
        offered_so_far.append(offered)
        in_force = (
            update_configuration(in_force=before, offered=offered) or before
        )
        assert in_force.version >= before.version
        assert in_force == max(offered_so_far, key=lambda offer: offer.version)


def test_older_version_is_rejected():
    newer, older = configuration_at(7), configuration_at(6)
    assert update_configuration(in_force=newer, offered=older) is OLDER


def test_same_version_from_another_operation_is_reported():
    one, other = configuration_at(7, 'one'), configuration_at(7, 'other')
    assert update_configuration(in_force=one, offered=one) is ALREADY_IN_FORCE
    assert update_configuration(in_force=one, offered=other) is SAME_VERSION
