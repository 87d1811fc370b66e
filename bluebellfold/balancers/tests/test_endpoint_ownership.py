"""Test that the member with the highest incarnation owns an endpoint."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.balancers import endpoint_owners
from bluebellfold.core import SERVING, Endpoint, Member

members = st.builds(
    lambda name, port, incarnation: Member(
        name=name,
        service=1,
        zone='a',
        endpoint=Endpoint(host='127.0.0.1', port=port),
        control_port=1,
        weight=1,
        state=SERVING,
        incarnation=incarnation,
        sequence=1,
    ),
    name=st.sampled_from('abcdef'),
    port=st.integers(1, 3),
    incarnation=st.integers(1, 4),
)


def expected_owner(endpoint, rows):
    candidates = [row for row in rows if row.endpoint == endpoint]
    return max(candidates, key=lambda row: (row.incarnation, row.name))


@settings(derandomize=True, deadline=None)
@given(
    st.lists(members, max_size=6, unique_by=lambda member: member.name),
    st.randoms(use_true_random=False),
)
def test_owners_match_a_reference_model_in_any_order(rows, random):
    expected = {expected_owner(row.endpoint, rows) for row in rows}
    shuffled = list(rows)
    random.shuffle(shuffled)
    assert set(endpoint_owners(rows)) == expected
    assert set(endpoint_owners(shuffled)) == expected
