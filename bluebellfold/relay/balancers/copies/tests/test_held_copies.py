"""Test that a copy never sets the known state back."""

import pytest

from bluebellfold.relay.balancers.copies.held_copies import (
    EXPIRED,
    KNOWN,
    MAX_COPY_AGE_SECONDS,
    OLDER,
    STORE_HAS_ANSWERED,
    HeldCopies,
    HeldCopy,
)
from bluebellfold.relay.tests.harness import position_of

KIND = 'config'
PEER = '10.0.0.2'
NOW = 100


def copy_of(*, revision=5, peer=PEER, confirmed_at=NOW, **encoded):
    return HeldCopy(
        kind=KIND,
        position=position_of(revision),
        encoded=encoded,
        confirmed_at=confirmed_at,
        peer=peer,
    )


def holding(copy):
    copies = HeldCopies()
    copies.hold(copy)
    return copies


def check(copies, *, revision, era=1, confirmed_at=NOW, now=NOW):
    return copies.check(
        KIND,
        position=position_of(revision, era=era),
        confirmed_at=confirmed_at,
        now=now,
    )


# Guards against a seed that is behind another one and undoes its copy.
@pytest.mark.parametrize(
    ('revision', 'verdict'), [(4, OLDER), (5, KNOWN), (6, None)]
)
def test_only_a_newer_copy_replaces_a_copy(revision, verdict):
    assert check(holding(copy_of()), revision=revision) is verdict


# Guards against a copy that overwrites what the store has answered.
@pytest.mark.parametrize('revision', [4, 5, 6])
def test_no_copy_replaces_the_answer_of_the_store(revision):
    copies = holding(copy_of(peer=''))
    assert check(copies, revision=revision) is STORE_HAS_ANSWERED
    assert not copies.missing((KIND,))


# Guards against state that no store has confirmed for long.
@pytest.mark.parametrize(
    ('age', 'verdict'),
    [(MAX_COPY_AGE_SECONDS, None), (MAX_COPY_AGE_SECONDS + 0.1, EXPIRED)],
)
def test_expired_copy_is_not_taken(age, verdict):
    found = check(HeldCopies(), revision=1, confirmed_at=NOW - age)
    assert found is verdict


def test_copy_of_the_same_revision_updates_the_age():
    copies = holding(copy_of(confirmed_at=NOW - 20))
    check(copies, revision=5, confirmed_at=NOW - 3)
    check(copies, revision=5, confirmed_at=NOW - 9)
    held = copies.find(KIND)
    assert held
    assert held.age_seconds(NOW) == 3


# Guards against a chain of balancers that keep an unconfirmed state alive.
def test_copy_from_a_balancer_is_passed_on_until_it_expires():
    copies = holding(copy_of(confirmed_at=NOW - 10))
    assert copies.usable(NOW + 20)
    assert not copies.usable(NOW + 20.1)
    assert not copies.covers((KIND,), NOW + 20.1)
    assert copies.missing((KIND,)) == (KIND,)


def test_copy_of_the_store_ages_only_without_a_connection():
    copy = copy_of(peer='')
    assert copy.age_seconds(NOW + 60) == 0
    copy.disconnect(NOW + 60, was_silent=False)
    copy.disconnect(NOW + 70, was_silent=False)
    assert copy.age_seconds(NOW + 75) == 15
    copy.confirm(position=position_of(6), confirmed_at=NOW + 80)
    assert copy.age_seconds(NOW + 90) == 0


# Guards against a connection that broke without an error: its watch times out
# up to 29 s after the store last confirmed anything.
def test_silent_connection_confirms_nothing_since_its_last_response():
    copy = copy_of(peer='')
    copy.disconnect(NOW + 29, was_silent=True)
    assert copy.age_seconds(NOW + 29) == 29


# Guards against a copy from before the store lost its last writes that is kept
# as the newer one, or goes before the copy of a balancer that has read since.
@pytest.mark.parametrize(
    ('era', 'revision', 'verdict'), [(1, 4, OLDER), (2, 4, None), (2, 9, None)]
)
def test_copy_of_a_later_era_is_newer(era, revision, verdict):
    copies = holding(copy_of(revision=5))
    assert check(copies, revision=revision, era=era) is verdict


def test_confirmation_of_an_earlier_era_does_not_change_the_position():
    copy = copy_of(peer='')
    copy.confirm(position=position_of(3, era=2), confirmed_at=NOW)
    copy.confirm(position=position_of(90), confirmed_at=NOW + 1)
    assert copy.position == position_of(3, era=2)
