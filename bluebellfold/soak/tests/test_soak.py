"""Run short soak tests, including seeds that violated an invariant."""

import asyncio

import pytest

from bluebellfold.soak import FAULTS, draw_plan, run_seed
from bluebellfold.soak.evacuation_faults import RESTARTS, STORE_FAULTS

# The kinds of faults that the plan of a seed is drawn from: with other kinds,
# the seed gives other faults.
EARLIER_KINDS = (
    'agent-killed',
    'agent-paused',
    'agent-stopped',
    'balancer-killed',
    'balancer-paused',
    'balancer-stopped',
    'configuration-changed',
    'idle-time-lowered',
    'link-delayed',
    'link-one-way',
    'link-reset',
    'link-silent',
    'opening-lost',
    'store-forgets',
    'store-refuses',
    'store-slow',
    'store-stale',
    'upstream-crashed',
    'upstream-drained',
    'upstream-restarted-on-an-earlier-clock',
    'upstream-started-on-a-clock-ahead',
)
NEW_KINDS = (
    'route-bursts',
    'zone-evacuated',
    'zone-evacuated-beside-restarts',
    'zone-evacuated-in-a-store-fault',
)
MACHINE_KINDS = (
    'machine-restarted',
    'machine-restarted-in-late-writes',
    'store-delays-writes',
)
RESTORED_KINDS = ('machine-restarted', 'store-restored', 'zone-evacuated')
ALL_KINDS = tuple(sorted(EARLIER_KINDS + NEW_KINDS))
SHORT_SECONDS = 6.0
SHORT_SEEDS = (
    (1, SHORT_SECONDS, 3, EARLIER_KINDS),
    (2, SHORT_SECONDS, 3, EARLIER_KINDS),
    (3, SHORT_SECONDS, 4, NEW_KINDS),
    (4, SHORT_SECONDS, 4, MACHINE_KINDS),
    (6, SHORT_SECONDS, 4, RESTORED_KINDS),
)
# Add each seed that violates an invariant, with a line on the cause.
VIOLATING_SEEDS = (
    # A balancer that had started without the store, and knew no agent, took
    # the denial of one agent for that of all.
    (528, 16.0, 4, EARLIER_KINDS),
    # The stand-in's watch lost the last change of the configuration.
    (9118, 12.0, 4, ALL_KINDS),
    # A balancer assigned a flow whose retransmission another one had queued,
    # and that one reset the open flow at its deadline.
    (9153, 12.0, 4, ALL_KINDS),
    (9158, 12.0, 4, ALL_KINDS),
    # The deletion of an agent's entry was executed after the next start of the
    # agent had taken the entry for its own.
    (5, 8.0, 4, ('machine-restarted-in-late-writes',)),
)


@pytest.mark.parametrize(
    ('seed', 'seconds', 'agents', 'kinds'), SHORT_SEEDS + VIOLATING_SEEDS
)
def test_invariants_hold_under_seeded_faults(
    tmp_path, seed, seconds, agents, kinds
):
    report = asyncio.run(
        run_seed(
            seed,
            folder=tmp_path,
            seconds=seconds,
            agents=agents,
            kinds=kinds,
        )
    )
    assert not report.violations
    assert report.served


def test_plan_draws_every_fault():
    drawn = draw_plan(1, seconds=200, kinds=sorted(FAULTS))
    assert {fault.kind for fault in drawn} == set(FAULTS)


def test_faults_beside_an_evacuation_are_registered():
    assert {*RESTARTS, *STORE_FAULTS} <= set(FAULTS)
