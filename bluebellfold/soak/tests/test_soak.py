"""Run short soak tests, including seeds that violated an invariant."""

import asyncio

import pytest

from bluebellfold.soak import FAULTS, draw_plan, run_seed

# Add each seed that violates an invariant, with a line on the cause.
SHORT_SECONDS = 6.0
LONG_SECONDS = 16.0
SHORT_SEEDS = (1, 2)
LONG_SEEDS = (
    # A balancer that had started without the store, and knew no agent, took
    # the denial of one agent for that of all.
    528,
)


@pytest.mark.parametrize(
    ('seed', 'seconds', 'agents'),
    [
        *((seed, SHORT_SECONDS, 3) for seed in SHORT_SEEDS),
        *((seed, LONG_SECONDS, 4) for seed in LONG_SEEDS),
    ],
)
def test_invariants_hold_under_seeded_faults(tmp_path, seed, seconds, agents):
    report = asyncio.run(
        run_seed(seed, folder=tmp_path, seconds=seconds, agents=agents)
    )
    assert not report.violations
    assert report.served


def test_plan_draws_every_fault():
    drawn = draw_plan(1, seconds=200, kinds=sorted(FAULTS))
    assert {fault.kind for fault in drawn} == set(FAULTS)
