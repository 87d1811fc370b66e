"""Test what is concluded of a write against what truly became of it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.store import (
    CONFLICT,
    PENDING,
    UNSETTLED,
    HistoryEntry,
    ObjectWrite,
    StoredText,
    settle,
)

MINE = 'mine'


def write_on(expected_version):
    return ObjectWrite(
        name='x',
        text='t',
        expected_version=expected_version,
        operation=MINE,
    )


@settings(derandomize=True, deadline=None)
@given(
    others_before=st.integers(0, 20),
    others_between=st.integers(0, 2),
    reached=st.booleans(),
    others_after=st.integers(0, 20),
)
def test_conclusions_agree_with_a_naive_replay(
    others_before,
    others_between,
    reached,
    others_after,
):
    versions = [f'before-{number}' for number in range(others_before)]
    write = write_on(len(versions))
    versions += [f'between-{number}' for number in range(others_between)]
    effective = reached and not others_between
    if effective:
        versions.append(MINE)
    versions += [f'after-{number}' for number in range(others_after)]
    history = tuple(
        HistoryEntry(version=number, operation=operation)
        for number, operation in enumerate(versions, start=1)
    )[-16:]
    outcome = settle(write=write, history=history)
    if isinstance(outcome, StoredText):
        assert effective
        assert outcome.version == write.expected_version + 1
    if outcome is CONFLICT:
        assert not effective
        assert others_between + others_after
    if outcome is PENDING:
        assert len(versions) == write.expected_version
    if outcome is UNSETTLED:
        assert write.expected_version + 1 <= len(versions) - 16
