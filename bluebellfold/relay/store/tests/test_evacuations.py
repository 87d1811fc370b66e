"""Test the watch of evacuations under failures of the store."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from bluebellfold.core import Endpoint
from bluebellfold.platform import (
    EVACUATIONS_KIND,
    Change,
    Changes,
    ObjectStoreClient,
    StoredObject,
    StoreError,
)
from bluebellfold.relay.store import (
    EvacuationWatch,
    Relist,
    UpdateEvacuations,
)
from bluebellfold.relay.store.tests.test_agents import RecordingActor, stop
from bluebellfold.relay.tests.harness import position_of
from bluebellfold.soak.proxy import FORWARDING, RESPONSES_LOST, StoreProxy
from bluebellfold.standins.object_api import PlatformStandin

WAIT_SECONDS = 0.3
# The bound of the platform.
TIMEOUT_SECONDS = 5.0


class Site:
    """Hold a store, a proxy before it, and a watch that records."""

    def __init__(self, *, standin, proxy, actor, watch):
        self.standin = standin
        self.proxy = proxy
        self.actor = actor
        self.watch = watch

    def evacuate(self, zone, spec=None):
        self.standin.store.put(EVACUATIONS_KIND, zone, spec or {})

    def end(self, zone):
        stored = self.standin.store.read(EVACUATIONS_KIND, zone)
        self.standin.store.delete(
            EVACUATIONS_KIND, zone, revision=stored['meta']['Revision']
        )

    async def wait_for(self, *zones, revision=0):
        """Return the first message of exactly these zones and this revision.

        A message as of a newer revision counts too.
        """
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                message = await self.actor.received.get()
                assert isinstance(message, UpdateEvacuations)
                if message.position.revision < revision:
                    continue
                if message.zones == set(zones):
                    return message


@asynccontextmanager
async def running_site(*, wait_seconds=WAIT_SECONDS):
    standin = PlatformStandin()
    await standin.start()
    proxy = StoreProxy(store=standin.endpoint)
    await proxy.start()
    actor = RecordingActor()
    watch = EvacuationWatch(
        endpoint=proxy.endpoint, actor=actor, wait_seconds=wait_seconds
    )
    running = asyncio.create_task(watch.run())
    async with AsyncExitStack() as stack:
        stack.push_async_callback(standin.stop)
        stack.push_async_callback(proxy.stop)
        stack.push_async_callback(stop, watch, running)
        yield Site(standin=standin, proxy=proxy, actor=actor, watch=watch)


def run(scenario, **options):
    async def run_scenario():
        async with running_site(**options) as site:
            await site.wait_for()
            await scenario(site)

    asyncio.run(run_scenario())


def test_evacuations_begin_and_end():
    async def scenario(site):
        site.evacuate('a')
        begun = await site.wait_for('a')
        site.evacuate('b')
        await site.wait_for('a', 'b')
        site.end('a')
        ended = await site.wait_for('b')
        assert ended.position > begun.position

    run(scenario)


def test_revision_advances_without_a_change_of_the_kind():
    # An agent's newer state isn't replaced by an older list.
    async def scenario(site):
        site.evacuate('a')
        before = await site.wait_for('a')
        site.standin.store.put('config', 'main', {})
        await site.wait_for('a', revision=before.position.revision + 1)

    run(scenario)


def test_evacuation_that_begins_while_the_store_is_down():
    async def scenario(site):
        site.standin.inject(refuse=True)
        site.evacuate('a')
        await asyncio.sleep(0.3)
        assert site.actor.received.empty()
        site.standin.inject(refuse=False)
        await site.wait_for('a')

    run(scenario)


def test_evacuation_that_ends_while_the_store_is_down():
    async def scenario(site):
        site.evacuate('a')
        await site.wait_for('a')
        site.standin.inject(refuse=True)
        site.end('a')
        await asyncio.sleep(0.1)
        site.standin.inject(refuse=False)
        await site.wait_for()

    run(scenario)


def test_evacuation_that_begins_while_the_store_is_slow():
    async def scenario(site):
        # Longer than the timeout of a call.
        site.standin.inject(slow_seconds=1.5)
        site.evacuate('a')
        await asyncio.sleep(1.6)
        site.standin.inject(slow_seconds=0)
        await site.wait_for('a')

    run(scenario)


def test_evacuation_whose_responses_are_lost():
    async def scenario(site):
        site.proxy.mode = RESPONSES_LOST
        site.evacuate('a')
        await asyncio.sleep(0.2)
        site.proxy.mode = FORWARDING
        await site.wait_for('a')

    run(scenario)


def test_evacuation_whose_write_is_not_acknowledged():
    # The operator's call fails, but the object exists.
    async def scenario(site):
        site.standin.inject(lose_answers=1)
        client = ObjectStoreClient(endpoint=site.standin.endpoint)
        with pytest.raises(StoreError):
            await client.create(EVACUATIONS_KIND, 'a', {})
        client.close()
        await site.wait_for('a')

    run(scenario)


def test_evacuation_that_begins_as_the_history_is_discarded():
    async def scenario(site):
        site.evacuate('a')
        site.standin.store.clear_history()
        await site.wait_for('a')

    run(scenario)


def test_evacuation_that_begins_as_the_watch_is_cut():
    async def scenario(site):
        site.proxy.reset()
        site.evacuate('a')
        await site.wait_for('a')

    run(scenario, wait_seconds=TIMEOUT_SECONDS)


def test_evacuation_that_begins_while_the_list_is_read_again():
    # An agent told of a change that the watch has missed.
    async def scenario(site):
        site.watch.tell(Relist(reason='test'))
        site.evacuate('a')
        await site.wait_for('a')

    run(scenario, wait_seconds=TIMEOUT_SECONDS)


def test_balancer_that_starts_during_an_evacuation():
    async def scenario(site):
        site.evacuate('a')
        late = RecordingActor()
        watch = EvacuationWatch(endpoint=site.standin.endpoint, actor=late)
        running = asyncio.create_task(watch.run())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            message = await late.received.get()
        assert message.zones == {'a'}
        await stop(watch, running)

    run(scenario)


def test_evacuation_that_begins_and_ends_within_a_second():
    async def scenario(site):
        site.evacuate('a')
        site.end('a')
        await site.wait_for(revision=site.standin.store.revision)

    run(scenario)


@pytest.mark.parametrize('spec', [None, 'x', [1], {'Zone': 'b'}])
def test_content_of_an_evacuation_is_ignored(spec):
    async def scenario(site):
        site.evacuate('a', spec)
        await site.wait_for('a')

    run(scenario)


def change_of(name, *, revision=1, deleted=False):
    stored = StoredObject(name=name, revision=revision, spec=None)
    return Change(stored=stored, deleted=deleted)


def changes_of(*changes, revision=9):
    return Changes(changes=changes, position=position_of(revision))


async def zones_after(*steps):
    """Return the zones that the watch reports after its last step."""
    actor = RecordingActor()
    endpoint = Endpoint(host='127.0.0.1', port=1)
    watch = EvacuationWatch(endpoint=endpoint, actor=actor)
    zones = None
    for method, changes in steps:
        getattr(watch, method)(changes)
        zones = actor.received.get_nowait().zones
    return zones


@pytest.mark.parametrize('name', ['', ' ', ' a', 'a\n', '\x00', 'z' * 300])
@pytest.mark.parametrize('method', ['replace_all', 'apply'])
def test_entry_with_an_unusable_name_is_ignored_and_logged_once(
    name, method, caplog
):
    # Another writer's object must not disturb the other evacuations.
    odd = changes_of(change_of(name), change_of('a'))
    deleted = changes_of(change_of(name, deleted=True))
    steps = ((method, odd), (method, odd), ('apply', deleted))
    assert asyncio.run(zones_after(*steps)) == {'a'}
    assert [record.event for record in caplog.records] == ['BBF0748']


def test_list_ends_the_evacuations_that_it_lacks():
    listed = changes_of(change_of('a'), change_of('b'))
    later = changes_of(change_of('b'), revision=12)
    steps = (('replace_all', listed), ('replace_all', later))
    assert asyncio.run(zones_after(*steps)) == {'b'}
