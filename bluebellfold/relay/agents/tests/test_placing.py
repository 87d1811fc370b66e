"""Test where new flows go, with the load patterns that each rule answers."""

import random

import pytest

from bluebellfold.relay.agents import ALL_FULL, NO_AGENT, place
from bluebellfold.relay.agents.roster import AgentView
from bluebellfold.relay.tests.scene import report_of, served_of

NOW = 10.0


def views_of(*loads):
    views = []
    for number, fields in enumerate(loads):
        view = AgentView(address=(f'10.0.0.{number}', 1), now=NOW)
        view.update(report_of(**fields).load, NOW)
        views.append(view)
    return views


def placed(views, **fields):
    """Return the position of the view that is chosen, or why there is none."""
    draw = random.Random(5).random
    chosen = place(views, zone='a', now=NOW, draw=draw, **fields)
    return views.index(chosen) if chosen else chosen


def test_upstream_that_fails_at_once_draws_no_flows():
    # It answers errors within a millisecond, so it always looks idle.
    views = views_of({'served': served_of(failure_share=0.5)}, {'busy': 5})
    assert placed(views) == 1


def test_failing_upstream_is_no_refuge_when_the_others_are_full():
    views = views_of({'served': served_of(failure_share=0.5)}, {'busy': 6})
    assert placed(views) is ALL_FULL


def test_where_all_fail_flows_are_placed_by_load():
    views = views_of(
        {'served': served_of(failure_share=0.5), 'busy': 2},
        {'served': served_of(failure_share=0.9), 'busy': 1},
    )
    assert placed(views) == 1


def test_slow_upstream_gets_what_it_can_do_in_the_same_time():
    usual = {'served': served_of(work_seconds=0.03), 'busy': 3}
    views = views_of(
        {'served': served_of(work_seconds=0.15), 'busy': 1}, usual, usual
    )
    assert placed(views) != 0


def test_upstreams_that_differ_by_chance_are_not_taken_for_full():
    # Work of a few milliseconds is measured as anything from 6 to 40.
    views = views_of(
        {'served': served_of(work_seconds=0.04), 'busy': 2, 'slots': 1},
        {'served': served_of(work_seconds=0.006), 'busy': 3, 'slots': 1},
        {'served': served_of(work_seconds=0.006), 'busy': 3, 'slots': 1},
    )
    assert placed(views) == 0


@pytest.mark.parametrize('work_seconds', [0.03, 0.04])
def test_small_differences_in_work_do_not_count(work_seconds):
    views = views_of(
        {'served': served_of(work_seconds=work_seconds), 'busy': 1},
        {'served': served_of(work_seconds=0.03), 'busy': 2},
        {'served': served_of(work_seconds=0.03), 'busy': 2},
    )
    assert placed(views) == 0


def test_own_zone_is_chosen_among_equals():
    views = views_of({'zone': 'b'}, {'zone': 'a'})
    assert placed(views) == 1


def test_load_counts_more_than_the_zone():
    views = views_of({'zone': 'b'}, {'zone': 'a', 'busy': 1})
    assert placed(views) == 0


def test_nothing_is_placed_where_no_agent_is_known():
    assert placed([]) is NO_AGENT
