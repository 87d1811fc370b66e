"""Test reads, writes and watches, also during platform faults."""

import asyncio

import pytest

from bluebellfold.store import (
    CONFLICT,
    MISSING_OBJECT,
    UNCHANGED,
    PlatformResponseError,
    PlatformUnavailableError,
)
from bluebellfold.store.tests.harness import new_client, platform_and_client

NAME = 'configuration/wa-south'


async def write(client, *, expected_version=0, operation='one', text='t'):
    return await client.write(
        name=NAME,
        text=text,
        expected_version=expected_version,
        operation=operation,
    )


async def watch(client, *, after, wait_seconds=10):
    return await client.watch(
        name=NAME,
        after_version=after,
        wait_seconds=wait_seconds,
    )


def test_read_returns_written_text():
    async def scenario():
        async with platform_and_client() as (standin, client):
            assert await client.read(NAME) is MISSING_OBJECT
            stored = await write(client)
            assert await client.read(NAME) == stored
            assert (stored.version, stored.operation) == (1, 'one')
            assert standin.counts == {'read': 2, 'write': 1}

    asyncio.run(scenario())


def test_concurrent_writes_have_one_winner_and_one_conflict():
    async def scenario():
        async with platform_and_client() as (standin, client):
            other_client = new_client(standin)
            outcomes = await asyncio.gather(
                write(client, operation='one'),
                write(other_client, operation='two'),
            )
            other_client.close()
            stored = await client.read(NAME)
        assert stored in outcomes
        assert CONFLICT in outcomes
        assert 'read the object again' in CONFLICT.reason

    asyncio.run(scenario())


def test_write_with_lost_response_is_resolved_from_history():
    async def scenario():
        async with platform_and_client() as (standin, client):
            standin.inject(lose_answers=1)
            stored = await write(client)
            assert stored.version == 1
            assert standin.counts == {'write': 1, 'read': 1}

    asyncio.run(scenario())


def test_write_can_be_retried_after_outage():
    async def scenario():
        async with platform_and_client() as (standin, client):
            standin.inject(refuse=True)
            with pytest.raises(PlatformUnavailableError, match='repeat'):
                await write(client)
            standin.inject(refuse=False)
            assert (await write(client)).version == 1

    asyncio.run(scenario())


def test_delayed_write_is_recognised_after_later_write():
    async def scenario():
        async with platform_and_client() as (standin, client):
            standin.inject(slow_seconds=1)
            short_timeout_client = new_client(standin, timeout_seconds=0.05)
            with pytest.raises(PlatformUnavailableError):
                await write(short_timeout_client)
            delayed = await watch(client, after=0)
            standin.inject(slow_seconds=0)
            assert await write(client, expected_version=1, operation='two')
            assert await write(short_timeout_client) == delayed
            assert (await client.read(NAME)).operation == 'two'
            short_timeout_client.close()

    asyncio.run(scenario())


def test_timeout_grows_with_each_attempt():
    async def scenario():
        async with platform_and_client() as (standin, client):
            standin.inject(slow_seconds=0.3)
            short_timeout_client = new_client(standin, timeout_seconds=0.1)
            assert (await write(short_timeout_client)).version == 1
            assert (await short_timeout_client.read(NAME)).version == 1
            short_timeout_client.close()

    asyncio.run(scenario())


def test_outage_error_names_remedy():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await client.read(NAME)
            await standin.stop()
            with pytest.raises(PlatformUnavailableError, match='remedy'):
                await client.read(NAME)
            with pytest.raises(PlatformUnavailableError, match='remedy'):
                await watch(client, after=0)

    asyncio.run(scenario())


def test_watch_returns_on_change():
    async def scenario():
        async with platform_and_client() as (standin, client):
            other_client = new_client(standin)
            await write(other_client)
            await client.read(NAME)
            watching = asyncio.ensure_future(watch(client, after=1))
            stored = await write(
                other_client, expected_version=1, operation='two'
            )
            assert await watching == stored
            idle = await watch(client, after=2, wait_seconds=0.01)
            assert idle is UNCHANGED
            assert standin.counts == {'read': 1, 'watch': 2, 'write': 2}
            other_client.close()

    asyncio.run(scenario())


def test_text_over_size_limit_is_rejected():
    async def scenario():
        async with platform_and_client() as (_standin, client):
            with pytest.raises(PlatformResponseError, match='megabyte'):
                await write(client, text='x' * 1_000_001)
            assert await write(client, text='x' * 1_000_000)

    asyncio.run(scenario())
