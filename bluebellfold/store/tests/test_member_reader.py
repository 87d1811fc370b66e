"""Test that the reader reports each object with members once."""

import asyncio

from bluebellfold.core import Actor, Registry, Stop
from bluebellfold.store import (
    MemberReader,
    MembersRead,
    RowWriter,
    encode_member,
)
from bluebellfold.store.tests.harness import new_client, platform_and_client
from bluebellfold.store.tests.test_rows import NAME, member, wait_for_reads

OTHER_NAME = 'members/counter/wa-south-b'
UNREADABLE_NAME = 'members/counter/wa-south-c'


class Subscriber(Actor):
    """Record received messages in a queue that a test can wait for."""

    reactions = Registry(name='reactions of the subscriber')

    def __init__(self):
        super().__init__(name='subscriber')
        self.received = asyncio.Queue()

    @reactions.add(MembersRead)
    def _record(self, message):
        self.received.put_nowait(message.members)


async def read_all(standin, *, before_receiving=None):
    subscriber = Subscriber()
    reader = MemberReader(
        names=(NAME, UNREADABLE_NAME, OTHER_NAME),
        client=new_client(standin),
        subscriber=subscriber,
    )
    tasks = [asyncio.ensure_future(each.run()) for each in (subscriber, reader)]
    if before_receiving is not None:
        await before_receiving()
    received = {
        await subscriber.received.get(),
        await subscriber.received.get(),
    }
    for actor in (reader, subscriber):
        actor.tell(Stop())
    await asyncio.gather(*tasks)
    return received


async def store_member(client, name, number):
    writer = RowWriter(client=client, name=name)
    await writer.publish((encode_member(member(number)),))


async def store_objects(client):
    await store_member(client, NAME, 1)
    await store_member(client, OTHER_NAME, 2)
    await client.write(
        name=UNREADABLE_NAME, text='no rows', expected_version=0, operation='x'
    )


def test_unreadable_object_is_skipped():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await store_objects(client)
            received = await read_all(standin)
            assert received == {(member(1),), (member(2),)}

    asyncio.run(scenario())


def test_members_are_read_after_outage():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await store_objects(client)
            standin.inject(refuse=True)

            async def end_outage():
                await wait_for_reads(standin, 10)
                standin.inject(refuse=False)

            received = await read_all(standin, before_receiving=end_outage)
            assert received == {(member(1),), (member(2),)}

    asyncio.run(scenario())
