"""Test which state of a zone holds if processes know different eras."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import NO_ERA, NO_POSITION, StorePosition
from bluebellfold.relay.agents import (
    NO_EVACUATION,
    KnownEra,
    merge_evacuations,
)
from bluebellfold.relay.agents.zone_states import REWRITE_SECONDS
from bluebellfold.relay.tests.harness import evacuation_of, position_of

EVACUATED = evacuation_of(era=1, revision=20)
LACKING = evacuation_of(evacuated=False, era=2, revision=8)
ENDED = evacuation_of(evacuated=False, era=2, revision=8, is_certain=True)

states = st.builds(
    evacuation_of,
    evacuated=st.booleans(),
    era=st.integers(1, 3),
    revision=st.integers(0, 4),
    is_certain=st.booleans(),
)


def merge(*told, may_lack_writes=True):
    """Merge states in the order in which they were told."""
    known = NO_EVACUATION
    for state in told:
        known = merge_evacuations(known, state, may_lack_writes=may_lack_writes)
    return known


# Guards against a comparison by the revision alone: the store gives it out
# again after it came back from a copy.
@pytest.mark.parametrize('revision', [8, 20, 21])
def test_state_of_the_later_era_holds_whatever_its_revision(revision):
    evacuated = evacuation_of(era=2, revision=revision)
    ended = evacuation_of(evacuated=False, era=1, revision=20)
    assert merge(ended, evacuated) == evacuated
    assert merge(evacuated, ended) == evacuated


def test_lost_evacuation_holds_in_either_order_until_the_writes_are_repeated():
    assert merge(EVACUATED, LACKING) == EVACUATED
    assert merge(LACKING, EVACUATED) == EVACUATED
    assert not merge(EVACUATED, LACKING, may_lack_writes=False).evacuated


def test_lost_evacuation_holds_when_the_store_comes_back_twice():
    second = evacuation_of(evacuated=False, era=3, revision=7)
    assert merge(EVACUATED, LACKING, second) == EVACUATED


# Guards against an ended evacuation that a process which is cut off brings
# back.
@pytest.mark.parametrize(
    'told', [(EVACUATED, ENDED), (ENDED, EVACUATED)], ids=str
)
def test_certain_end_holds_in_either_order(told):
    assert merge(*told) == ENDED


def test_evacuation_written_again_and_ended_does_not_come_back():
    written = evacuation_of(era=2, revision=9)
    removed = evacuation_of(evacuated=False, era=2, revision=10)
    ended = merge(EVACUATED, LACKING, written, removed)
    assert ended == removed.replace(is_certain=True)
    assert merge(ended, EVACUATED) == ended


def test_zone_that_was_not_evacuated_stays_so():
    # An agent that is told by a balancer which missed the end long ago.
    before = evacuation_of(evacuated=False, revision=30, is_certain=True)
    after = merge(before, LACKING)
    assert after.is_certain
    assert merge(after, EVACUATED) == after


def test_end_in_the_era_that_is_known_needs_no_wait():
    removed = evacuation_of(evacuated=False, era=1, revision=21)
    assert not merge(EVACUATED, removed).evacuated


def test_states_without_an_era_are_ordered_by_their_revision():
    begun = evacuation_of(era=NO_ERA, revision=5)
    ended = evacuation_of(evacuated=False, era=NO_ERA, revision=6)
    assert not merge(begun, ended).evacuated
    assert not merge(ended, begun).evacuated


@given(known=states, told=states)
def test_merged_state_is_one_of_both(known, told):
    merged = merge_evacuations(known, told, may_lack_writes=True)
    pairs = [(one.position, one.evacuated) for one in (known, told)]
    assert (merged.position, merged.evacuated) in pairs


@given(known=states, told=states)
def test_repeated_and_late_states_change_nothing(known, told):
    merged = merge_evacuations(known, told, may_lack_writes=True)
    for late in (known, told, merged):
        again = merge_evacuations(merged, late, may_lack_writes=True)
        assert again.evacuated == merged.evacuated
        assert again.position == merged.position


@given(states=st.lists(states, min_size=1))
def test_newest_state_holds_once_the_writes_are_repeated(states):
    newest = max(states, key=lambda state: state.position)
    merged = merge(*states, may_lack_writes=False)
    assert merged.position == newest.position


def test_position_is_not_compared_with_a_number():
    with pytest.raises(TypeError):
        assert position_of(8) < 9
    assert position_of(8) != 8


@given(
    eras=st.tuples(st.integers(1, 9), st.integers(1, 9)),
    revisions=st.tuples(st.integers(0, 9), st.integers(0, 9)),
)
def test_positions_are_ordered_by_era_then_revision(eras, revisions):
    one, other = (
        StorePosition(era=era, revision=revision)
        for era, revision in zip(eras, revisions, strict=True)
    )
    pairs = tuple(zip(eras, revisions, strict=True))
    assert (one < other) is (pairs[0] < pairs[1])
    assert (one >= other) is (pairs[0] >= pairs[1])
    assert NO_POSITION < one


def test_era_of_the_past_does_not_begin_again():
    known = KnownEra()
    known.observe(2, now=5)
    assert not known.observe(1, now=50)
    assert (known.number, known.may_lack_writes(5 + REWRITE_SECONDS)) == (
        2,
        True,
    )
    assert not known.may_lack_writes(6 + REWRITE_SECONDS)


def test_leap_over_several_eras_is_one_new_era():
    known = KnownEra()
    known.observe(2, now=5)
    assert known.observe(7, now=6)
