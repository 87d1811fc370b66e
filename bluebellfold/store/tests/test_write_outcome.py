"""Test the resolved outcome of a write against a replay of all writes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.store import (
    CONFLICT,
    OUTCOME_UNKNOWN,
    PENDING,
    HistoryEntry,
    ObjectWrite,
    StoredText,
    resolve_write,
)

OWN_OPERATION = 'mine'


def new_write(expected_version):
    return ObjectWrite(
        name='x',
        text='t',
        expected_version=expected_version,
        operation=OWN_OPERATION,
    )


@settings(derandomize=True, deadline=None)
@given(
    others_before=st.integers(0, 20),
    others_between=st.integers(0, 2),
    reached=st.booleans(),
    others_after=st.integers(0, 20),
)
def test_resolved_outcome_matches_replay(
    others_before,
    others_between,
    reached,
    others_after,
):
    versions = [f'before-{number}' for number in range(others_before)]
    write = new_write(len(versions))
    versions += [f'between-{number}' for number in range(others_between)]
    effective = reached and not others_between
    if effective:
        versions.append(OWN_OPERATION)
    versions += [f'after-{number}' for number in range(others_after)]
    history = tuple(
        HistoryEntry(version=number, operation=operation)
        for number, operation in enumerate(versions, start=1)
    )[-16:]
    outcome = resolve_write(write=write, history=history)
    if isinstance(outcome, StoredText):
        assert effective
        assert outcome.version == write.expected_version + 1
    if outcome is CONFLICT:
        assert not effective
        assert others_between + others_after
    if outcome is PENDING:
        assert len(versions) == write.expected_version
    if outcome is OUTCOME_UNKNOWN:
        assert write.expected_version + 1 <= len(versions) - 16
