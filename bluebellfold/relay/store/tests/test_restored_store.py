"""Test watches of a store that comes back without its last writes."""

import asyncio
from contextlib import asynccontextmanager

from bluebellfold.core import NO_ERA
from bluebellfold.platform import EVACUATIONS_KIND
from bluebellfold.relay.store import (
    AgentWatch,
    EvacuationWatch,
    LearnEra,
    UpdateAgents,
    UpdateEvacuations,
)
from bluebellfold.relay.store.tests.test_agents import (
    FIRST,
    SECOND,
    RecordingActor,
    register,
    stop,
)
from bluebellfold.relay.store.watched_history import WatchedHistory
from bluebellfold.relay.tests.harness import position_of, single
from bluebellfold.standins.object_api import PlatformStandin

# Longer than any of these tests: what is read comes from a new list.
LONG_WAIT_SECONDS = 20.0
TIMEOUT_SECONDS = 3.0
OTHER_KIND = 'other'


@asynccontextmanager
async def watched(*, wait_seconds=LONG_WAIT_SECONDS):
    """Run a watch of evacuations until its first list is read."""
    standin = PlatformStandin()
    await standin.start()
    actor = RecordingActor()
    watch = EvacuationWatch(
        endpoint=standin.endpoint, actor=actor, wait_seconds=wait_seconds
    )
    running = asyncio.create_task(watch.run())
    await next_of(actor, UpdateEvacuations)
    yield standin, actor, watch
    await stop(watch, running)
    await standin.stop()


async def next_of(actor, message_type, *, matches=None):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            message = await actor.received.get()
            if not isinstance(message, message_type):
                continue
            if matches is None or matches(message):
                return message


async def next_zones(actor, *zones):
    return await next_of(
        actor,
        UpdateEvacuations,
        matches=lambda message: message.zones == set(zones),
    )


def write_others(standin, count):
    for _ in range(count):
        standin.store.put(OTHER_KIND, 'one', {})


def logged(caplog, event):
    return [
        each for each in caplog.records if getattr(each, 'event', '') == event
    ]


def test_list_after_the_return_names_the_era_and_the_actor_learns_it(caplog):
    async def scenario():
        async with watched() as (standin, actor, _):
            copied = standin.store.copy()
            write_others(standin, 3)
            standin.store.put(EVACUATIONS_KIND, 'a', {})
            await next_zones(actor, 'a')
            standin.store.restore(copied)
            assert (await next_of(actor, LearnEra)).era == 2
            update = await next_zones(actor)
            assert update.position == position_of(0, era=2)
            standin.store.put(EVACUATIONS_KIND, 'b', {})
            update = await next_zones(actor, 'b')
            assert update.position == position_of(1, era=2)

    asyncio.run(scenario())
    begun = single(logged(caplog, 'BBF0763'))
    assert (begun.era, begun.era_before) == (2, 1)


# Guards against changes that a watch misses without a 410: its revision has
# been given out again, on other content, before it asks.
def test_revision_that_was_given_out_again_makes_the_watch_list():
    async def scenario():
        async with watched(wait_seconds=0.5) as (standin, actor, _):
            copied = standin.store.copy()
            write_others(standin, 2)
            await next_of(
                actor,
                UpdateEvacuations,
                matches=lambda message: message.position == position_of(2),
            )
            standin.store.restore(copied, ends_watches=False)
            standin.store.put(EVACUATIONS_KIND, 'a', {})
            write_others(standin, 1)
            update = await next_zones(actor, 'a')
            assert update.position == position_of(2, era=2)

    asyncio.run(scenario())


# Guards against a waiting watch that gets no response from the store's new
# history for its whole wait.
def test_watch_that_waits_since_before_lists_once_it_learns_of_the_era():
    async def scenario():
        async with watched() as (standin, actor, watch):
            copied = standin.store.copy()
            write_others(standin, 5)
            await asyncio.sleep(0.1)
            standin.store.restore(copied, ends_watches=False)
            standin.store.put(EVACUATIONS_KIND, 'a', {})
            watch.tell(LearnEra(era=2))
            await next_zones(actor, 'a')

    asyncio.run(scenario())


def test_era_that_is_known_costs_no_call():
    async def scenario():
        async with watched() as (standin, _, watch):
            await asyncio.sleep(0.1)
            calls = standin.counts
            for era in (NO_ERA, 1):
                watch.tell(LearnEra(era=era))
            await asyncio.sleep(0.2)
            assert standin.counts == calls

    asyncio.run(scenario())


# Guards against a store that costs more calls than one without eras.
def test_store_that_lost_nothing_is_listed_once():
    async def scenario():
        async with watched() as (standin, actor, _):
            standin.store.put(EVACUATIONS_KIND, 'a', {})
            await next_zones(actor, 'a')
            standin.store.put(EVACUATIONS_KIND, 'b', {})
            await next_zones(actor, 'a', 'b')
            await asyncio.sleep(0.1)
            assert standin.counts == {'list': 1, 'watch': 3}

    asyncio.run(scenario())


def test_missing_era_is_logged_once_and_the_known_one_assumed(caplog):
    async def scenario():
        async with watched() as (standin, actor, _):
            standin.inject(hide_era=True)
            standin.store.put(EVACUATIONS_KIND, 'a', {})
            await next_zones(actor, 'a')
            copied = standin.store.copy()
            standin.store.put(EVACUATIONS_KIND, 'b', {})
            update = await next_zones(actor, 'a', 'b')
            assert update.position == position_of(2)
            standin.inject(hide_era=False)
            standin.store.restore(copied)
            assert (await next_of(actor, LearnEra)).era == 2

    asyncio.run(scenario())
    assert single(logged(caplog, 'BBF0764')).era_known == 1


def test_agents_are_listed_with_the_position_of_the_new_era():
    async def scenario():
        standin = PlatformStandin()
        await standin.start()
        actor = RecordingActor()
        watch = AgentWatch(endpoint=standin.endpoint, actor=actor)
        await register(standin, FIRST)
        running = asyncio.create_task(watch.run())
        copied = standin.store.copy()
        write_others(standin, 3)
        await register(standin, SECOND)
        await next_of(
            actor,
            UpdateAgents,
            matches=lambda message: len(message.entries) > 1,
        )
        standin.store.restore(copied)
        update = await next_of(
            actor, UpdateAgents, matches=lambda message: message.as_of.era == 2
        )
        assert update.position == position_of(1, era=2)
        assert update.as_of == position_of(1, era=2)
        await stop(watch, running)
        await standin.stop()

    asyncio.run(scenario())


def test_response_of_a_past_era_is_late():
    history = WatchedHistory()
    history.advance(position_of(8, era=2))
    assert history.is_late(position_of(90))
    assert not history.is_late(history.place(position_of(9, era=NO_ERA)))
    assert history.continues(position_of(9, era=2))
    assert not history.continues(position_of(9, era=3))
    history.reset()
    assert history.is_late(position_of(90))
