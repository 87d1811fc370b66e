"""Test that each newer configuration takes effect and is never reverted."""

import asyncio
from contextlib import asynccontextmanager

from bluebellfold.core import InboxFullError, Reply, Stop
from bluebellfold.store import (
    ConfigurationChanged,
    ConfigurationTask,
    GetConfiguration,
    ObjectClient,
    OfferConfiguration,
    Subscribe,
    configuration_object_name,
)
from bluebellfold.store.tests.blackhole import Blackhole
from bluebellfold.store.tests.harness import (
    RecordingSubscriber,
    configuration_at,
    new_client,
    platform_and_client,
    short_backoff,
)
from bluebellfold.store.watch import WATCH_WAIT_SECONDS

SITE = 'wa-south'
NAME = configuration_object_name(SITE)


async def write_version(client, *, expected_version):
    stored = await client.write(
        name=NAME,
        text=f'text {expected_version + 1}',
        expected_version=expected_version,
        operation=f'operation-{expected_version + 1}',
    )
    assert stored.version == expected_version + 1


async def version_in_force(task):
    reply = Reply()
    task.tell(GetConfiguration(reply=reply))
    return (await reply.wait()).version


async def received_version(subscriber):
    changed = await asyncio.wait_for(subscriber.received.get(), 10)
    return changed.configuration.version


async def stop(task, subscriber, *running):
    task.tell(Stop())
    subscriber.tell(Stop())
    await asyncio.gather(*running)


@asynccontextmanager
async def running_task(
    client, *, watches=True, wait_seconds=WATCH_WAIT_SECONDS
):
    subscriber = RecordingSubscriber()
    task = ConfigurationTask(
        site=SITE,
        client=client,
        initial=configuration_at(0),
        subscribers=(subscriber,),
        watches=watches,
        wait_seconds=wait_seconds,
    )
    running = [
        asyncio.ensure_future(task.run()),
        asyncio.ensure_future(subscriber.run()),
    ]
    try:
        yield task, subscriber
    finally:
        await stop(task, subscriber, *running)


def test_each_change_takes_effect():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await write_version(client, expected_version=0)
            async with running_task(new_client(standin)) as (task, subscriber):
                assert await received_version(subscriber) == 1
                await write_version(client, expected_version=1)
                assert await received_version(subscriber) == 2
                assert await version_in_force(task) == 2

    asyncio.run(scenario())


def test_peer_offer_takes_effect_during_outage():
    async def scenario():
        async with platform_and_client() as (standin, _client):
            standin.inject(refuse=True)
            async with running_task(new_client(standin)) as (task, subscriber):
                assert await version_in_force(task) == 0
                task.tell(OfferConfiguration(configuration=configuration_at(7)))
                task.tell(OfferConfiguration(configuration=configuration_at(6)))
                assert await received_version(subscriber) == 7
                assert await version_in_force(task) == 7
                assert subscriber.received.empty()

    asyncio.run(scenario())


def test_watch_resumes_after_outage():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await write_version(client, expected_version=0)
            async with running_task(new_client(standin)) as (task, subscriber):
                assert await received_version(subscriber) == 1
                endpoint = standin.endpoint
                await standin.stop()
                assert await version_in_force(task) == 1
                await standin.start(port=endpoint.port)
                await write_version(client, expected_version=1)
                assert await received_version(subscriber) == 2

    asyncio.run(scenario())


def test_watch_recovers_from_silently_dropped_connection():
    async def scenario():
        async with platform_and_client() as (standin, client):
            blackhole = Blackhole(endpoint=standin.endpoint)
            proxied_client = ObjectClient(
                endpoint=await blackhole.start(),
                backoff=short_backoff(),
            )
            await write_version(client, expected_version=0)
            async with running_task(proxied_client, wait_seconds=0.5) as actors:
                assert await received_version(actors[1]) == 1
                blackhole.drop_traffic()
                await write_version(client, expected_version=1)
                assert await received_version(actors[1]) == 2
            await blackhole.stop()

    asyncio.run(scenario())


def test_watch_timeout_grows_until_slow_platform_responds():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await write_version(client, expected_version=0)
            standin.inject(slow_seconds=0.3)
            short_timeout_client = new_client(standin, timeout_seconds=0.1)
            async with running_task(
                short_timeout_client, wait_seconds=0.01
            ) as (
                _task,
                subscriber,
            ):
                assert await received_version(subscriber) == 1

    asyncio.run(scenario())


def test_stale_read_does_not_revert_configuration():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await write_version(client, expected_version=0)
            await write_version(client, expected_version=1)
            async with running_task(new_client(standin)) as (task, subscriber):
                assert await received_version(subscriber) == 2
                standin.inject(stale_reads=True)
                while standin.counts['watch'] < 4:
                    assert await version_in_force(task) == 2
                    await asyncio.sleep(0)
                assert subscriber.received.empty()

    asyncio.run(scenario())


def test_task_without_watch_reads_platform_once():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await write_version(client, expected_version=0)
            async with running_task(
                new_client(standin), watches=False
            ) as actors:
                assert await received_version(actors[1]) == 1
                actors[0].tell(
                    OfferConfiguration(configuration=configuration_at(2))
                )
                assert await received_version(actors[1]) == 2
            assert standin.counts == {'write': 1, 'read': 1}

    asyncio.run(scenario())


def test_new_subscriber_receives_configuration_in_force():
    async def scenario():
        async with platform_and_client() as (standin, _client):
            async with running_task(new_client(standin)) as (task, subscriber):
                task.tell(Subscribe(subscriber=subscriber))
                assert await received_version(subscriber) == 0

    asyncio.run(scenario())


class FullSubscriber(RecordingSubscriber):
    """Reject the first two configuration changes as if the inbox were full."""

    def __init__(self):
        super().__init__()
        self.rejections_left = 2

    def tell(self, message):
        if isinstance(message, ConfigurationChanged) and self.rejections_left:
            self.rejections_left -= 1
            raise InboxFullError(problem='full', remedy='wait')
        super().tell(message)


def test_notification_is_retried_when_inbox_is_full():
    async def scenario():
        async with platform_and_client() as (standin, _client):
            async with running_task(new_client(standin)) as (task, _subscriber):
                full = FullSubscriber()
                running = asyncio.ensure_future(full.run())
                task.tell(Subscribe(subscriber=full))
                task.tell(OfferConfiguration(configuration=configuration_at(3)))
                assert await received_version(full) == 3
                full.tell(Stop())
                await running

    asyncio.run(scenario())
