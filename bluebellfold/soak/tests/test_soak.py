"""Run a short soak, and each seed that once broke a promise."""

import asyncio

import pytest

from bluebellfold.soak import FAULTS, draw_plan, run_seed

# A seed that broke a promise stays here, with a line on the cause.
SHORT_SEEDS = (1, 2)
SHORT_SECONDS = 6.0


@pytest.mark.parametrize('seed', SHORT_SEEDS)
def test_promises_hold_under_the_faults_of_a_seed(tmp_path, seed):
    report = asyncio.run(
        run_seed(seed, folder=tmp_path, seconds=SHORT_SECONDS, agents=3)
    )
    assert not report.broken
    assert report.served


def test_every_kind_of_fault_is_drawn():
    drawn = draw_plan(1, seconds=200, kinds=sorted(FAULTS))
    assert {strike.kind for strike in drawn} == set(FAULTS)
