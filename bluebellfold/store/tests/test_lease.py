"""Test that a lease has at most one holder, even if a holder is paused."""

import asyncio
import signal
import sys

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.core import ManualClock
from bluebellfold.store import HELD, LAPSED, LeaseManager, Row
from bluebellfold.store.lease import is_usable, next_lease, observe
from bluebellfold.store.tests.harness import platform_and_client

NAME = 'members/counter/wa-south-a'
DURATION_SECONDS = 10
ROW = Row(key='a', version=(1, 0), text='1')
HOLDERS = ('a', 'b', 'c')

elapsed_seconds = st.floats(min_value=0, max_value=8)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(HOLDERS), elapsed_seconds), max_size=40)
)
def test_at_most_one_holder_may_act(steps):
    now = 0
    stored = None
    observations = {}
    requests = {}
    for holder, elapsed in steps:
        now += elapsed
        observation = observe(
            previous=observations.get(holder), lease=stored, now=now
        )
        observations[holder] = observation
        requested = next_lease(
            observation=observation,
            holder=holder,
            duration_seconds=DURATION_SECONDS,
            now=now,
        )
        if requested:
            assert (
                stored is None
                or requested.fencing_token >= stored.fencing_token
            )
            stored = requested
            requests[holder] = (requested, now)
        acting = [
            name
            for name, (lease, requested_at) in requests.items()
            if is_usable(lease=lease, requested_at=requested_at, now=now)
        ]
        assert len(acting) <= 1


def new_lease_manager(client, holder, clock):
    return LeaseManager(
        client=client,
        clock=clock,
        name=NAME,
        holder=holder,
        duration_seconds=DURATION_SECONDS,
    )


def test_lease_is_renewed_released_and_taken_over():
    async def scenario():
        async with platform_and_client() as (_standin, client):
            clock = ManualClock()
            first = new_lease_manager(client, 'first', clock)
            second = new_lease_manager(client, 'second', clock)
            assert (await first.acquire()).renewals == 0
            assert await second.acquire() is HELD
            clock.advance(DURATION_SECONDS - 1)
            assert (await first.acquire()).renewals == 1
            clock.advance(DURATION_SECONDS - 1)
            assert await second.acquire() is HELD
            assert await first.write((ROW,)) is LAPSED
            assert (await first.acquire()).renewals == 2
            assert await first.write((ROW,))
            await first.release()
            assert (await second.acquire()).fencing_token == 2
            assert await first.write((ROW,)) is LAPSED

    asyncio.run(scenario())


def test_write_by_another_process_does_not_end_lease():
    async def scenario():
        async with platform_and_client() as (_standin, client):
            clock = ManualClock()
            first = new_lease_manager(client, 'first', clock)
            await first.acquire()
            other = new_lease_manager(client, 'other', clock)
            assert await other.acquire() is HELD
            assert await other._write_unchecked((ROW,))
            assert (await first.write((ROW.replace(key='b'),))).version == 3

    asyncio.run(scenario())


HOLDER_PROGRAM = """
import asyncio, sys
from random import Random
from bluebellfold.core import Endpoint, MonotonicClock
from bluebellfold.store import Backoff, LeaseManager, ObjectClient, Row

async def hold():
    manager = LeaseManager(
        client=ObjectClient(
            endpoint=Endpoint(host='127.0.0.1', port=int(sys.argv[1])),
            backoff=Backoff(randomness=Random(1)),
        ),
        clock=MonotonicClock(),
        name=sys.argv[2],
        holder='paused',
        duration_seconds=600,
    )
    print((await manager.acquire()).holder, flush=True)
    sys.stdin.readline()
    print(await manager.write((Row(key='late', version=(9, 9), text='1'),)))

asyncio.run(hold())
"""


async def resume_paused_holder(standin, client):
    holder = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        HOLDER_PROGRAM,
        str(standin.endpoint.port),
        NAME,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert await holder.stdout.readline() == b'paused\n'
    holder.send_signal(signal.SIGSTOP)
    clock = ManualClock()
    successor = new_lease_manager(client, 'heir', clock)
    assert await successor.acquire() is HELD
    clock.advance(600)
    assert (await successor.acquire()).fencing_token == 2
    holder.send_signal(signal.SIGCONT)
    printed, _errors = await holder.communicate(b'write\n')
    return printed, await successor.write((ROW,))


def test_paused_holder_cannot_write_after_takeover():
    async def scenario():
        async with platform_and_client() as (standin, client):
            printed, stored = await resume_paused_holder(standin, client)
            assert printed.startswith(b'<lapsed')
            assert 'late' not in stored.text
            assert stored.version == 3

    asyncio.run(scenario())
