"""Test which figures are compared with which."""

import pytest

from bluebellfold.core import require
from scripts.regression.comparison import compare_runs
from scripts.regression.day_run import Deployment
from scripts.regression.tests.samples import make_run


def test_repetitions_of_a_day_count_by_their_mean():
    runs = [
        make_run('c1', 'd1', 0.8),
        make_run('c1', 'd1', 0.6),
        make_run('c2', 'd1', 0.9),
    ]
    edge = compare_runs(runs)[0]
    first, second = edge.rows
    assert first.by_day['d1'].worth == pytest.approx(0.7)
    assert require(second.change, name='change').figures.worth == pytest.approx(
        0.2
    )
    assert require(
        second.change, name='change'
    ).figures.windows == pytest.approx(0.1)


def test_change_counts_only_days_that_were_run_before():
    # Guards against the comparison of means over different days: a quiet day
    # more would show as a gain.
    runs = [
        make_run('c1', 'hard', 0.5),
        make_run('c1', 'other', 0.6),
        make_run('c2', 'hard', 0.4),
        make_run('c2', 'quiet', 0.9),
        make_run('c3', 'quiet', 0.9),
        make_run('c3', 'other', 0.6),
    ]
    edge = compare_runs(runs)[0]
    change = require(edge.rows[1].change, name='change')
    assert (change.commits, change.days) == (('c1',), 1)
    assert change.figures.worth == pytest.approx(-0.1)
    assert require(edge.rows[2].change, name='change').commits == ('c2', 'c1')


def test_figures_of_trials_are_no_base():
    runs = [
        make_run('c1', 'd1', 0.8),
        make_run('c1', 'd1', 0.9, trial='9f'),
        make_run('c2', 'd1', 0.7),
    ]
    edge = compare_runs(runs)[0]
    _, trial, committed = edge.rows
    assert require(trial.change, name='change').figures.worth == pytest.approx(
        0.1
    )
    assert require(committed.change, name='change').commits == ('c1',)
    assert require(
        committed.change, name='change'
    ).figures.worth == pytest.approx(-0.1)


def test_runs_that_were_given_up_only_count_as_failed():
    runs = [
        make_run('c1', 'd1', 0.8),
        make_run('c2', 'd1', 0.1, figures=None),
        make_run('c3', 'd1', 0.8),
    ]
    edge = compare_runs(runs)[0]
    assert [row.failed_runs for row in edge.rows] == [0, 1, 0]
    assert not edge.rows[1].by_day
    assert edge.rows[1].change is None
    assert require(edge.rows[2].change, name='change').commits == ('c1',)


def test_days_of_one_state_of_the_code_are_left_out():
    # A hunt draws days that nobody repeats.
    runs = [make_run('c1', f'drawn-{seed}', 0.7) for seed in range(3)]
    edge = compare_runs([*runs, make_run('c1', 'd1', 0.8)])[0]
    assert edge.rows == ()
    assert edge.runs_left_out == 4


def test_breaches_of_a_day_that_is_left_out_are_shown():
    edge = compare_runs([make_run('c1', 'drawn', 0.7, breaches=2)])[0]
    assert edge.rows[0].breaches == 2


def test_deployments_of_one_name_and_other_descriptions_stay_apart():
    other = Deployment(name='edge', description_hash='aa99')
    runs = [
        make_run('c1', 'd1', 0.8),
        make_run('c2', 'd1', 0.9, deployment=other),
    ]
    compared = compare_runs(runs)
    assert [one.deployment for one in compared] == [
        other,
        runs[0].deployment,
    ]
    assert not any(one.rows for one in compared)
