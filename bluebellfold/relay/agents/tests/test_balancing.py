"""Test how expected flows are spread over upstreams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.agents import ArrivalRate
from bluebellfold.relay.agents.balancing import (
    draw_index,
    fill_to_common_level,
)

UPSTREAMS = st.lists(
    st.tuples(
        st.floats(min_value=0, max_value=1e3),
        st.floats(min_value=1e-2, max_value=1e3),
    ),
    min_size=1,
    max_size=40,
)


@given(UPSTREAMS, st.floats(min_value=1, max_value=1e4))
def test_filled_upstreams_reach_one_level_and_the_others_are_above(
    upstreams, flows
):
    levels, capacities = zip(*upstreams, strict=True)
    parts = fill_to_common_level(levels, capacities, flows)
    assert sum(parts) == pytest.approx(flows, rel=1e-6)
    filled = [
        level + part / capacity
        for level, capacity, part in zip(levels, capacities, parts, strict=True)
        if part
    ]
    assert min(filled) == pytest.approx(max(filled))
    assert all(
        part or level >= max(filled) * (1 - 1e-9)
        for level, part in zip(levels, parts, strict=True)
    )


@given(UPSTREAMS, st.floats(min_value=0, max_value=1, exclude_max=True))
def test_an_upstream_without_a_part_is_never_drawn(upstreams, fraction):
    levels, capacities = zip(*upstreams, strict=True)
    parts = fill_to_common_level(levels, capacities, 1)
    assert parts[draw_index(parts, fraction)]


def test_rate_does_not_grow_when_the_time_goes_back():
    # A clock that is set back must not turn a decayed count into a burst.
    arrivals = ArrivalRate(now=10)
    arrivals.count(now=10)
    arrivals.count(now=3)
    assert arrivals.per_second(now=3) == pytest.approx(2)
    assert arrivals.per_second(now=20) == pytest.approx(0, abs=0.01)
