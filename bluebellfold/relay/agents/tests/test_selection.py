"""Test the selection of agents for new flows under several load patterns."""

import random

import pytest

from bluebellfold.relay.agents import (
    ALL_FULL,
    NO_AGENT,
    AgentEntry,
    select_agent,
)
from bluebellfold.relay.agents.agent_table import AgentView
from bluebellfold.relay.tests.harness import (
    report_of,
    request_stats_of,
    single,
)

NOW = 10.0


def views_of(*loads):
    views = []
    for number, fields in enumerate(loads):
        entry = AgentEntry(address=(f'10.0.0.{number}', 1))
        view = AgentView(entry=entry, now=NOW)
        view.update(report_of(**fields).load, NOW)
        views.append(view)
    return views


def select_index(views, **fields):
    """Return the index of the selected view, or why there is none."""
    draw = random.Random(5).random
    selected = select_agent(views, zone='a', now=NOW, draw=draw, **fields)
    return views.index(selected) if selected else selected


def test_upstream_that_fails_fast_attracts_no_flows():
    # It returns errors within a millisecond, so it always appears idle.
    views = views_of(
        {'request_stats': request_stats_of(failure_share=0.5)}, {'in_flight': 5}
    )
    assert select_index(views) == 1


def test_failing_upstream_is_not_used_when_the_others_are_full():
    views = views_of(
        {'request_stats': request_stats_of(failure_share=0.5)}, {'in_flight': 6}
    )
    assert select_index(views) is ALL_FULL


def test_load_decides_if_all_upstreams_fail():
    views = views_of(
        {'request_stats': request_stats_of(failure_share=0.5), 'in_flight': 2},
        {'request_stats': request_stats_of(failure_share=0.9), 'in_flight': 1},
    )
    assert select_index(views) == 1


def test_requests_at_a_slow_upstream_are_weighted_by_its_slowdown():
    typical = {
        'request_stats': request_stats_of(work_seconds=0.03),
        'in_flight': 3,
    }
    views = views_of(
        {'request_stats': request_stats_of(work_seconds=0.15), 'in_flight': 1},
        typical,
        typical,
    )
    assert select_index(views) != 0


def test_measured_work_does_not_make_an_upstream_full():
    # The measured time of work of a few milliseconds varies from 6 to 40 ms.
    views = views_of(
        {
            'request_stats': request_stats_of(work_seconds=0.04),
            'in_flight': 2,
            'slots': 1,
        },
        {
            'request_stats': request_stats_of(work_seconds=0.006),
            'in_flight': 3,
            'slots': 1,
        },
        {
            'request_stats': request_stats_of(work_seconds=0.006),
            'in_flight': 3,
            'slots': 1,
        },
    )
    assert select_index(views) == 0


@pytest.mark.parametrize('work_seconds', [0.03, 0.04])
def test_small_differences_in_work_are_ignored(work_seconds):
    views = views_of(
        {
            'request_stats': request_stats_of(work_seconds=work_seconds),
            'in_flight': 1,
        },
        {'request_stats': request_stats_of(work_seconds=0.03), 'in_flight': 2},
        {'request_stats': request_stats_of(work_seconds=0.03), 'in_flight': 2},
    )
    assert select_index(views) == 0


def test_own_zone_breaks_ties():
    views = views_of({'zone': 'b'}, {'zone': 'a'})
    assert select_index(views) == 1


def test_load_outweighs_the_zone():
    views = views_of({'zone': 'b'}, {'zone': 'a', 'in_flight': 1})
    assert select_index(views) == 0


def test_no_agent_is_selected_if_none_is_known():
    assert select_index([]) is NO_AGENT


def select_often(views, *, seconds_after, policy):
    """Return the indices that 100 draws select some time after the reports."""
    draw = random.Random(5).random
    return [
        views.index(
            select_agent(
                views,
                zone='a',
                now=NOW + seconds_after,
                draw=draw,
                policy=policy,
            )
        )
        for _ in range(100)
    ]


def busy_views(*, arrivals_per_second):
    stats = request_stats_of(arrivals_per_second=arrivals_per_second)
    return views_of(
        *({'in_flight': busy, 'request_stats': stats} for busy in (0, 1, 1, 3))
    )


def test_without_arrivals_of_others_the_least_work_is_selected():
    # Sites with one balancer, or with little load, are served as before.
    views = busy_views(arrivals_per_second=0.4)
    assert select_often(
        views, seconds_after=0.3, policy='water-filling'
    ) == select_often(views, seconds_after=0.3, policy='least-work')


def test_arrivals_of_others_fill_the_least_loaded_upstreams():
    # Four flows a second for 0.2 s to each: others have sent 3.2 flows. Those
    # and the new one fill the upstreams up to a level of 2.07 in flight.
    selected = select_often(
        busy_views(arrivals_per_second=4),
        seconds_after=0.2,
        policy='water-filling',
    )
    assert selected.count(0) == pytest.approx(49, abs=12)
    assert selected.count(1) == pytest.approx(25, abs=12)
    assert not selected.count(3)


def test_own_offers_are_not_arrivals_of_others():
    # A single balancer would otherwise spread its flows at random.
    view = single(views_of({}))
    for _ in range(20):
        view.count_offer(NOW)
    stats = request_stats_of(arrivals_per_second=20)
    view.update(report_of(sequence=2, request_stats=stats).load, NOW)
    assert not view.arrivals_of_others(NOW + 0.5)
