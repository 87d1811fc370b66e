"""Test the watch of the platform stand-in while reads are stale."""

import asyncio

from bluebellfold.platform import ObjectStoreClient
from bluebellfold.standins.object_api import PlatformStandin


async def watch_kind(client, revision):
    return await client.watch('a', revision=revision, wait_seconds=1)


def versions(changes):
    return [
        None if change.deleted else change.stored.spec
        for change in changes.changes
    ]


def test_stale_watch_delays_changes_and_loses_none():
    # A soak ended with all balancers on the configuration before the last one.
    async def scenario():
        standin = PlatformStandin()
        await standin.start()
        client = ObjectStoreClient(endpoint=standin.endpoint)
        standin.store.put('a', 'b', 1)
        listed = await client.list_objects('a')
        standin.inject(stale_reads=True)
        stored = standin.store.put('a', 'b', 2)
        assert isinstance(stored, dict)
        stale = await watch_kind(client, listed.position.revision)
        assert versions(stale) == [1]
        standin.inject(stale_reads=False)
        fresh = await watch_kind(client, stale.position.revision)
        assert versions(fresh) == [2]
        standin.inject(stale_reads=True)
        standin.store.delete('a', 'b', revision=stored['meta']['Revision'])
        stale = await watch_kind(client, fresh.position.revision)
        assert versions(stale) == []
        standin.inject(stale_reads=False)
        assert versions(await watch_kind(client, stale.position.revision)) == [
            None
        ]
        client.close()
        await standin.stop()

    asyncio.run(scenario())
