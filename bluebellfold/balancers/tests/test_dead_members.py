"""Test that only members suspected for 300 seconds are presumed dead."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.agents import Suspicion
from bluebellfold.balancers import find_presumed_dead, tombstone
from bluebellfold.balancers.dead_members import PRESUMED_DEAD_SECONDS
from bluebellfold.core import LEFT, SERVING, Endpoint, Member

NOW = 1000.0

members = st.builds(
    lambda number, state: member_at(number).replace(state=state),
    number=st.integers(1, 8),
    state=st.sampled_from((SERVING, LEFT)),
)
suspicions = st.builds(
    lambda number, since: Suspicion(
        endpoint=member_at(number).endpoint, since=since
    ),
    number=st.integers(1, 8),
    since=st.floats(0, NOW),
)


def member_at(number):
    return Member(
        name=f'a{number}',
        service=1,
        zone='a',
        endpoint=Endpoint(host='127.0.0.1', port=number),
        control_port=1,
        weight=1,
        state=SERVING,
        incarnation=1,
        sequence=1,
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(members, max_size=8, unique_by=lambda member: member.name),
    st.lists(suspicions, max_size=10),
)
def test_presumed_dead_members_match_a_reference_model(rows, given_suspicions):
    present = [row for row in rows if row.state != LEFT]
    suspected_seconds = {
        row.name: [
            NOW - suspicion.since
            for suspicion in given_suspicions
            if suspicion.endpoint == row.endpoint
        ]
        for row in present
    }
    suspected = [row for row in present if suspected_seconds[row.name]]
    dead = {
        row
        for row in suspected
        if min(suspected_seconds[row.name]) >= PRESUMED_DEAD_SECONDS
    }
    if len(suspected) > len(present) / 2:
        dead = set()
    assert set(find_presumed_dead(rows, given_suspicions, now=NOW)) == dead


def test_tombstone_supersedes_the_row_but_not_a_later_incarnation():
    row = member_at(1)
    assert tombstone(row).state == LEFT
    assert row.version < tombstone(row).version
    assert tombstone(row).version < row.replace(incarnation=2).version
