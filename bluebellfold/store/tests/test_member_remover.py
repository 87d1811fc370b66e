"""Test that only the lease holder removes rows, and only unchanged rows."""

import asyncio

from bluebellfold.core import Actor, ManualClock, Registry, Stop
from bluebellfold.store import (
    LAPSED,
    LeaseManager,
    MemberRemover,
    MembersRemoved,
    RemoveMembers,
    RowWriter,
    encode_member,
)
from bluebellfold.store.member_remover import LEASE_DURATION_SECONDS
from bluebellfold.store.tests.harness import new_client, platform_and_client
from bluebellfold.store.tests.test_rows import NAME, member, stored_members


class Subscriber(Actor):
    """Record received messages in a queue that a test can wait for."""

    reactions = Registry(name='reactions of the subscriber')

    def __init__(self):
        super().__init__(name='subscriber')
        self.received = asyncio.Queue()

    @reactions.add(MembersRemoved)
    def _record(self, message):
        self.received.put_nowait(message.members)


def new_remover(standin, subscriber, clock, holder):
    return MemberRemover(
        client=new_client(standin),
        clock=clock,
        holder=holder,
        subscriber=subscriber,
    )


async def store_members(client, *members):
    writer = RowWriter(client=client, name=NAME)
    await writer.publish(tuple(map(encode_member, members)))


def new_lease_manager(client, clock, holder):
    return LeaseManager(
        client=client,
        clock=clock,
        name=NAME,
        holder=holder,
        duration_seconds=LEASE_DURATION_SECONDS,
    )


def test_only_requested_row_is_removed():
    async def scenario():
        async with platform_and_client() as (standin, client):
            await store_members(client, member(1), member(2))
            subscriber = Subscriber()
            remover = new_remover(standin, subscriber, ManualClock(), 'a')
            running = [
                asyncio.ensure_future(actor.run())
                for actor in (subscriber, remover)
            ]
            remover.tell(RemoveMembers(name=NAME, members=(member(1),)))
            assert await subscriber.received.get() == (member(1),)
            assert await stored_members(client) == (member(2),)
            for actor in (remover, subscriber):
                actor.tell(Stop())
            await asyncio.gather(*running)

    asyncio.run(scenario())


def test_row_of_newer_incarnation_is_kept():
    async def scenario():
        async with platform_and_client() as (_standin, client):
            restarted = member(1).replace(incarnation=2)
            await store_members(client, restarted)
            lease_manager = new_lease_manager(client, ManualClock(), 'a')
            assert await lease_manager.acquire()
            assert not await lease_manager.remove((encode_member(member(1)),))
            assert await stored_members(client) == (restarted,)

    asyncio.run(scenario())


def test_paused_holder_cannot_remove_after_takeover():
    async def scenario():
        async with platform_and_client() as (_standin, client):
            await store_members(client, member(1), member(2))
            paused_clock = ManualClock()
            clock = ManualClock()
            paused = new_lease_manager(client, paused_clock, 'a')
            other = new_lease_manager(client, clock, 'b')
            assert await paused.acquire()
            assert not await other.acquire()
            clock.advance(LEASE_DURATION_SECONDS)
            assert await other.acquire()
            rows = (encode_member(member(1)),)
            # The holder's clock was paused, so only the version of the object
            # shows that the lease was taken over.
            assert await paused.remove(rows) is LAPSED
            assert len(await stored_members(client)) == 2
            assert await other.remove(rows)

    asyncio.run(scenario())
