"""Test the selection of the agent for a single new flow."""

from collections import Counter

import pytest

from bluebellfold.agents.loads import LoadTable
from bluebellfold.agents.selection import (
    NO_CANDIDATE,
    NO_ENDPOINTS,
    POLICIES,
    UNLIMITED_FILL,
    SelectionContext,
    select_agent,
)
from bluebellfold.agents.tests.test_ranking import FLOW_KEYS, member
from bluebellfold.core import (
    DRAINING,
    Endpoint,
    Load,
    Member,
    UnknownEntryError,
)

NOW = 5


def build_context(
    *flows: int,
    weights: tuple[float, ...] = (),
    usable: tuple[float, ...] = (),
    suspected: frozenset[Endpoint] = NO_ENDPOINTS,
    draining: tuple[int, ...] = (),
) -> SelectionContext:
    loads = LoadTable()
    members = []
    for number, flow_count in enumerate(flows):
        added = member(
            number,
            weight=weights[number] if weights else 1,
            state=DRAINING if number in draining else 'serving',
        )
        members.append(added)
        usable_fraction = usable[number] if usable else 1
        load = Load(
            endpoint=added.endpoint,
            slots=0,
            connections=flow_count / 1000,
            flows=flow_count,
            seen_at=NOW,
            usable=usable_fraction,
        )
        loads.update(load)
    return SelectionContext(
        own_member=members[0],
        peers=tuple(members[1:]),
        loads=loads,
        suspected=suspected,
    )


def count_owners(
    context: SelectionContext, policy: str = 'below-level'
) -> Counter[int]:
    counts = Counter()
    for key in FLOW_KEYS:
        owner = select_agent(context, key, NOW, policy=policy)
        counts[int(owner.name.split('-')[1])] += 1
    return counts


def test_primary_below_the_mean_load_keeps_its_flows():
    assert count_owners(build_context(99, 100, 101)) == {0: len(FLOW_KEYS)}


def test_primary_above_the_mean_load_forwards_by_headroom():
    counts = count_owners(build_context(120, 110, 90, 80))
    assert set(counts) == {2, 3}
    assert counts[3] / counts[2] == pytest.approx(2, rel=0.1)


def test_headroom_depends_on_weight_and_warm_up():
    context = build_context(140, 100, 0, weights=(1, 1, 2), usable=(1, 1, 0.1))
    assert set(count_owners(context)) == {1, 2}
    share = count_owners(context)[2] / len(FLOW_KEYS)
    # The mean load is 240 / 2.2, so the headrooms are 9.1 and 21.8.
    assert share == pytest.approx(21.8 / 30.9, abs=0.03)


@pytest.mark.parametrize('policy', tuple(POLICIES))
def test_no_policy_selects_suspected_draining_or_full_members(policy):
    suspected = frozenset((member(1).endpoint,))
    context = build_context(
        900, 0, 0, 1000, 800, suspected=suspected, draining=(2,)
    )
    assert set(count_owners(context, policy)) <= {0, 4}


@pytest.mark.parametrize('policy', tuple(POLICIES))
def test_draining_primary_forwards_at_once(policy):
    assert 0 not in count_owners(
        build_context(0, 100, 100, draining=(0,)), policy
    )


def test_member_of_unknown_load_is_not_selected_if_others_can_be():
    context = build_context(200, 100)
    unreported = member(9)
    context = context.replace(peers=(*context.peers, unreported))
    assert set(count_owners(context)) == {1}


def test_no_serving_member_gives_no_candidate():
    context = build_context(0, 0, draining=(0, 1))
    assert select_agent(context, b'k', NOW) is NO_CANDIDATE


def test_full_member_is_selected_if_there_is_no_other():
    owner = select_agent(build_context(1000, 1000), b'k', NOW)
    assert isinstance(owner, Member)


def test_retransmissions_select_the_same_member():
    context = build_context(120, 90, 90, 90)
    owners = set()
    for _ in range(10):
        owners.add(select_agent(context, b'k', NOW).name)
    assert len(owners) == 1


def test_agent_declines_a_flow_unless_it_is_less_full_than_the_primary():
    fuller_primary = build_context(101)
    equal_primary = build_context(100)
    context = build_context(100, 100)
    assert context.accepts(fuller_primary.own_fill(NOW), NOW)
    assert not context.accepts(equal_primary.own_fill(NOW), NOW)
    assert context.accepts(UNLIMITED_FILL, NOW)


def test_fill_of_a_cold_agent_counts_the_new_flow_by_its_capacity():
    primary = build_context(100)
    assert build_context(9, usable=(0.1,)).accepts(primary.own_fill(NOW), NOW)
    assert not build_context(10, usable=(0.1,)).accepts(
        primary.own_fill(NOW), NOW
    )


def test_draining_agent_declines_all_and_sends_unlimited_fill():
    context = build_context(0, 100, draining=(0,))
    assert context.own_fill(NOW) == UNLIMITED_FILL
    assert not context.accepts(UNLIMITED_FILL, NOW)


def test_unknown_policy_is_an_error():
    with pytest.raises(UnknownEntryError):
        select_agent(build_context(1, 2), b'k', NOW, policy='best')
