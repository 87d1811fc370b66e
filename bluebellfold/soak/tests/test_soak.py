"""Run short soak tests, including seeds that violated an invariant."""

import asyncio

import pytest

from bluebellfold.soak import FAULTS, draw_plan, run_seed

# Add each seed that violates an invariant, with a line on the cause.
SHORT_SEEDS = (1, 2)
SHORT_SECONDS = 6.0


@pytest.mark.parametrize('seed', SHORT_SEEDS)
def test_invariants_hold_under_seeded_faults(tmp_path, seed):
    report = asyncio.run(
        run_seed(seed, folder=tmp_path, seconds=SHORT_SECONDS, agents=3)
    )
    assert not report.violations
    assert report.served


def test_plan_draws_every_fault():
    drawn = draw_plan(1, seconds=200, kinds=sorted(FAULTS))
    assert {fault.kind for fault in drawn} == set(FAULTS)
