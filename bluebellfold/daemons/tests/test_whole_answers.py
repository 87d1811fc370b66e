"""Test that each response is complete and belongs to its request."""

import asyncio
import hashlib
import random

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.daemons.tests import outcome_harness as expected
from bluebellfold.daemons.tests.outcome_harness import open_outcome_harness
from bluebellfold.upstreams.queues import UNPREDICTED_QUEUE_CAPACITY

UPSTREAMS = ('makeroom-1', 'makeroom-2')
CLIENT_COUNT = 4
BATCHES_PER_CLIENT = 6
# All clients may have the same agent, which refuses batches that find this many
# waiting before it has seen a queued one start.
MAX_UNANSWERED = UNPREDICTED_QUEUE_CAPACITY
QUEUE_SECONDS = 60
MAX_BATCH_BYTES = 200_000
MAX_WORK_MS = 120
LATE_WORK_MS = 1500
LATE_DEADLINE_MS = 300

scenarios('bluebellfold/daemons/tests/features/whole_answers.feature')


@pytest.fixture
def harness(tmp_path):
    with open_outcome_harness(tmp_path) as opened:
        yield opened


@given('a site with two upstreams')
def start_site(harness):
    # Only repeatable work reuses connections. No batch is refused on a slow
    # machine because it waits for too long.
    harness.start(
        makeroom=len(UPSTREAMS),
        repeatable_batches=True,
        batch_queue_seconds=QUEUE_SECONDS,
    )


@when("batches of various lengths and durations share each client's flow")
def send_batches(harness):
    rng = random.Random(3)
    unanswered = asyncio.Semaphore(MAX_UNANSWERED)

    async def send_one(*batch):
        async with unanswered:
            await harness.send(*batch)

    async def send_all():
        opening = [
            harness.open_flow('batch', seed=seed)
            for seed in range(CLIENT_COUNT)
        ]
        flows = await asyncio.gather(*opening)
        batches = [
            send_one(
                flow,
                f'{client}-{number}',
                f'/batch?work_ms={rng.randrange(MAX_WORK_MS)}',
                rng.randbytes(rng.randrange(MAX_BATCH_BYTES)),
            )
            for client, flow in enumerate(flows)
            for number in range(BATCHES_PER_CLIENT)
        ]
        await asyncio.gather(*batches)

    harness.run(send_all())


@when('a batch takes longer than its deadline, and others follow it')
def send_late(harness):
    async def send_all():
        flow = await harness.open_flow('batch')
        await harness.send(flow, 'before', '/batch', b'before')
        deadline = ('bluebellfold-deadline-ms', f'{LATE_DEADLINE_MS}')
        await harness.send(
            flow,
            'late',
            f'/batch?work_ms={LATE_WORK_MS}',
            b'late',
            fields=(deadline,),
        )
        following = [
            harness.send(flow, f'after {number}', '/batch', b'%d' % number)
            for number in range(BATCHES_PER_CLIENT)
        ]
        await asyncio.gather(*following)

    harness.run(send_all())


@then('every response is the digest of its own batch')
def check_responses(harness):
    results = dict(harness.results)
    results.pop('late', None)
    for request_id, result in results.items():
        digest = hashlib.sha256(harness.bodies[request_id]).hexdigest()
        told = (request_id, result.outcome, result.reason)
        assert result.outcome == expected.ANSWERED, told
        assert result.body.decode() == digest, request_id


@then('the outcome of the late batch is unknown')
def check_late(harness):
    result = harness.results['late']
    assert (result.outcome, result.reason) == (expected.UNKNOWN, 'late')


@then('the upstream saw the late batch cancelled')
def check_cancelled(harness):
    counts = harness.run(harness.step_counts(*UPSTREAMS))
    assert counts['late']['begun'] == 1
    assert counts['late']['cancelled'] == 1
    assert counts['late']['finished'] == 0
