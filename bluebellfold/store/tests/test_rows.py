"""Test that shared objects keep the newest state of each row."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.core import DRAINING, LEFT, SERVING, Endpoint, Member, Stop
from bluebellfold.store import (
    NOTHING_NEWER,
    MemberPublisher,
    PublishMember,
    Row,
    RowConflictError,
    RowWriter,
    decode_members,
    members_object_name,
)
from bluebellfold.store.client import MAX_ATTEMPTS
from bluebellfold.store.row_changes import merge, remove
from bluebellfold.store.tests.harness import new_client, platform_and_client

NAME = members_object_name(service='counter', zone='wa-south-a')
MEMBER_NUMBERS = range(12)

states = st.builds(
    lambda key, incarnation, sequence: Row(
        key=key,
        version=(incarnation, sequence),
        text=f'"{key}-{incarnation}-{sequence}"',
    ),
    key=st.sampled_from('abc'),
    incarnation=st.integers(0, 2),
    sequence=st.integers(0, 2),
)


def member(number, *, state=SERVING, sequence=0):
    return Member(
        name=f'counter-{number}',
        service=1,
        zone='wa-south-a',
        endpoint=Endpoint(host='127.0.0.1', port=7000 + number),
        control_port=8000 + number,
        weight=1.5,
        state=state,
        incarnation=1,
        sequence=sequence,
    )


@settings(derandomize=True, deadline=None)
@given(st.lists(st.lists(states, max_size=4).map(tuple), max_size=8))
def test_merge_matches_sorting_all_states(changes):
    rows = ()
    newest = {}
    for change in changes:
        merged = merge(stored=rows, changes=change)
        rows = rows if merged is NOTHING_NEWER else merged
        for state in sorted(change, key=lambda row: row.version):
            if state.version >= newest.get(state.key, state).version:
                newest[state.key] = state
    assert {row.key: row for row in rows} == newest


def test_remove_keeps_changed_row():
    old = Row(key='a', version=(1, 0), text='1')
    new = Row(key='a', version=(1, 1), text='1')
    assert remove(stored=(new,), removed=(old,)) is NOTHING_NEWER
    assert remove(stored=(new,), removed=(new,)) == ()


async def stored_members(client):
    stored = await client.read(NAME)
    return decode_members(stored.text)


def new_publisher(standin):
    return MemberPublisher(
        service='counter',
        zone='wa-south-a',
        client=new_client(standin),
    )


async def publish(standin, state):
    task = new_publisher(standin)
    task.tell(PublishMember(member=state))
    task.tell(Stop())
    await task.run()


def test_concurrent_joins_are_all_stored():
    async def scenario():
        async with platform_and_client() as (standin, client):
            joining = {member(number) for number in MEMBER_NUMBERS}
            await asyncio.gather(*(publish(standin, each) for each in joining))
            assert set(await stored_members(client)) == joining

    asyncio.run(scenario())


def test_unchanged_row_is_not_written():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await publish(standin, member(1))
            await publish(standin, member(1))
            assert standin.counts['write'] == 1
            await publish(standin, member(1, sequence=1))
            assert standin.counts['write'] == 2
            assert (await client.read(NAME)).version == 2

    asyncio.run(scenario())


async def wait_for_reads(standin, count):
    while standin.counts.get('read', 0) < count:
        await asyncio.sleep(0)


def test_newest_row_is_written_after_outage():
    async def scenario():
        async with platform_and_client() as (standin, client):
            standin.inject(refuse=True)
            task = new_publisher(standin)
            running = asyncio.ensure_future(task.run())
            task.tell(PublishMember(member=member(1)))
            await wait_for_reads(standin, 1)
            draining = member(1, state=DRAINING, sequence=1)
            task.tell(PublishMember(member=draining))
            # Enough reads for all attempts to write the older row to fail.
            await wait_for_reads(
                standin, standin.counts['read'] + 2 * MAX_ATTEMPTS
            )
            standin.inject(refuse=False)
            stored = await client.watch(
                name=NAME,
                after_version=0,
                wait_seconds=10,
            )
            task.tell(Stop())
            await running
            assert decode_members(stored.text) == (draining,)
            assert standin.counts['write'] == 1

    asyncio.run(scenario())


def test_row_of_left_member_is_removed():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await publish(standin, member(1))
            await publish(standin, member(2))
            await publish(standin, member(1, state=LEFT, sequence=1))
            assert await stored_members(client) == (member(2),)

    asyncio.run(scenario())


def test_departure_keeps_row_of_newer_incarnation():
    async def scenario():
        async with platform_and_client() as (standin, client):
            restarted = member(1).replace(incarnation=2)
            await publish(standin, restarted)
            await publish(standin, member(1, state=LEFT, sequence=9))
            assert await stored_members(client) == (restarted,)

    asyncio.run(scenario())


def test_repeated_conflicts_raise_error_with_remedy():
    async def scenario():
        async with platform_and_client() as (standin, client):
            row = Row(key='a', version=(1, 0), text='1')
            writer = RowWriter(client=client, name=NAME, attempts=2)
            await writer.publish((row,))
            await writer.publish((row.replace(key='b'),))
            standin.inject(stale_reads=True)
            with pytest.raises(RowConflictError, match='more objects'):
                await writer.publish((row.replace(key='c'),))

    asyncio.run(scenario())
