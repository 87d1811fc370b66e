"""Test the order of rankings, their weights and their stability."""

import math
from collections import Counter

import pytest
import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.agents.ranking import MAX_SCORED_MEMBERS, Ranking
from bluebellfold.core import DRAINING, SERVING, Endpoint, Member

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=50)
FLOW_KEYS = tuple(number.to_bytes(8, 'big') for number in range(4000))


def member(number: int, *, weight: float = 1, state: str = SERVING) -> Member:
    host = f'127.0.{number >> 8}.{number & 255}'
    return Member(
        name=f'agent-{number}',
        service=1,
        zone='abc'[number % 3],
        endpoint=Endpoint(host=host, port=7000),
        control_port=7001,
        weight=weight,
        state=state,
        incarnation=1,
        sequence=1,
    )


def members(count: int) -> tuple[Member, ...]:
    return tuple(member(number) for number in range(count))


def rank_by_score(chosen: tuple[Member, ...], flow_key: bytes) -> list[Member]:
    def score(one: Member) -> float:
        seed = xxhash.xxh3_64_intdigest(str(one.endpoint).encode())
        digest = xxhash.xxh3_64_intdigest(flow_key, seed)
        return -math.log(1 - (digest >> 11) / 2**53) / one.weight

    return sorted(chosen, key=score)


WEIGHTS = st.lists(
    st.sampled_from((0.5, 1, 2, 3)), min_size=1, max_size=MAX_SCORED_MEMBERS
)


@DETERMINISTIC
@given(
    weights=WEIGHTS, flow_key=st.binary(max_size=20), count=st.integers(1, 5)
)
def test_small_rankings_equal_a_full_scoring(weights, flow_key, count):
    chosen = tuple(
        member(number, weight=weight) for number, weight in enumerate(weights)
    )
    ranked = Ranking(tuple(reversed(chosen))).rank(flow_key, count)
    assert list(ranked) == rank_by_score(chosen, flow_key)[:count]


@DETERMINISTIC
@given(
    count=st.integers(2, MAX_SCORED_MEMBERS),
    removed=st.integers(0, MAX_SCORED_MEMBERS - 1),
    flow_key=st.binary(max_size=20),
)
def test_removed_member_leaves_the_order_of_a_small_ranking(
    count, removed, flow_key
):
    full = members(count)
    removed_member = full[removed % count]
    remaining = tuple(one for one in full if one != removed_member)
    before = Ranking(full).rank(flow_key, count)
    after = Ranking(remaining).rank(flow_key, count)
    assert after == tuple(one for one in before if one != removed_member)


@pytest.mark.parametrize('count', [65, 500, 5000])
def test_added_member_moves_few_flows(count):
    before = Ranking(members(count))
    after = Ranking(members(count + 1))
    moved = sum(before.rank(key, 1) != after.rank(key, 1) for key in FLOW_KEYS)
    # An added member moves at most one share of flows per level of the trie.
    shares = math.log2(count)
    assert moved <= len(FLOW_KEYS) * shares / count + 3


def test_large_rankings_follow_weights():
    heavy = tuple(member(number, weight=3) for number in range(50))
    light = tuple(member(number) for number in range(50, 200))
    ranking = Ranking(heavy + light)
    primaries = Counter(ranking.rank(key, 1)[0].weight for key in FLOW_KEYS)
    assert primaries[3] / len(FLOW_KEYS) == pytest.approx(0.5, abs=0.03)


@pytest.mark.parametrize('count', [7, 200])
def test_flows_of_excluded_members_spread_over_the_others(count):
    full = members(count)
    excluded = frozenset(one.endpoint for one in full if one.zone == 'a')
    ranking = Ranking(full)
    primaries = Counter()
    for key in FLOW_KEYS:
        ranked = ranking.rank(key, 3, excluded)
        assert len(set(ranked)) == 3
        assert not any(one.endpoint in excluded for one in ranked)
        primaries[ranked[0].zone] += 1
    members_by_zone = Counter(one.zone for one in full if one.zone != 'a')
    for zone, size in members_by_zone.items():
        expected = len(FLOW_KEYS) * size / members_by_zone.total()
        assert primaries[zone] == pytest.approx(expected, rel=0.06)


@pytest.mark.parametrize('count', [7, 200])
def test_excluded_members_are_ranked_if_there_are_no_others(count):
    full = members(count)
    all_endpoints = frozenset(one.endpoint for one in full)
    ranking = Ranking(full)
    assert ranking.rank(b'k', 2, all_endpoints) == ranking.rank(b'k', 2)
    all_but_one = all_endpoints - {full[3].endpoint}
    assert ranking.rank(b'k', 2, all_but_one) == (full[3],)


def test_draining_members_rank_only_for_flows_without_tokens():
    serving = members(3)
    draining = member(9, state=DRAINING)
    ranking = Ranking((*serving, draining))
    assert draining not in ranking.rank(b'k', 4)
    assert ranking.rank_with_draining(b'k', 2)[-1] == draining
    assert not Ranking((draining,)).rank(b'k', 1)
