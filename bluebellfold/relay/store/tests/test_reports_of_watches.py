"""Test what the watches report to the actor that copies the state."""

import asyncio
from contextlib import asynccontextmanager
from functools import partial

from bluebellfold.core import InboxFullError, Stop
from bluebellfold.platform import EVACUATIONS_KIND
from bluebellfold.relay.store import (
    AGENTS_KIND,
    AgentWatch,
    ConfigurationWatch,
    ConfirmObjects,
    DisconnectObjects,
    EvacuationWatch,
    ReportObjects,
    SetRoutesFresh,
    UpdateAgents,
    UpdateRoutes,
)
from bluebellfold.relay.store.tests.test_agents import RecordingActor
from bluebellfold.relay.tests.harness import position_of
from bluebellfold.standins.object_api import PlatformStandin
from bluebellfold.standins.packets import SERVICE
from bluebellfold.standins.relay_site import make_configuration

AGENT = {'host': '10.0.0.1', 'port': 8172, 'service': 'counter', 'zone': 'a'}


class FullActor(RecordingActor):
    """Refuse every message, as an actor with a full inbox does."""

    def tell(self, message):
        raise InboxFullError(problem='full', remedy='wait')


class BusyActor(RecordingActor):
    """Refuse reports of objects while it is busy."""

    is_busy = False

    def tell(self, message):
        if self.is_busy and isinstance(message, ReportObjects):
            raise InboxFullError(problem='full', remedy='wait')
        super().tell(message)


@asynccontextmanager
async def watched(watch_type, standin, *, copies=None):
    """Run a watch, and yield the actors that it reports to."""
    await standin.start()
    actor = RecordingActor()
    copies = copies or RecordingActor()
    watch = watch_type(endpoint=standin.endpoint, actor=actor, copies=copies)
    task = asyncio.create_task(watch.run())
    try:
        yield actor, copies
    finally:
        await stop_all(watch, task, standin)


async def stop_all(watch, task, standin):
    watch.tell(Stop())
    await task
    await standin.stop()


async def next_of(actor, message_type):
    """Return the next message of a type."""
    async with asyncio.timeout(5):
        message = await actor.received.get()
        while not isinstance(message, message_type):
            message = await actor.received.get()
    return message


async def first_of(actor, message_type, *, before):
    """Return the next message of a type, which comes before one of another."""
    async with asyncio.timeout(5):
        message = await actor.received.get()
        while not isinstance(message, message_type):
            assert not isinstance(message, before)
            message = await actor.received.get()
    return message


def specs_of(report):
    return {change.stored.name: change.stored.spec for change in report.changes}


def test_objects_are_reported_as_stored_and_confirmed():
    async def scenario():
        standin = PlatformStandin()
        standin.store.put(AGENTS_KIND, 'one', {**AGENT, 'later': 1})
        standin.store.put(AGENTS_KIND, 'odd', {'host': 1})
        async with watched(AgentWatch, standin) as (_, copies):
            listed = await copies.received.get()
            assert specs_of(listed) == {'one': {**AGENT, 'later': 1}}
            assert listed.unreadable == {'odd'}
            assert listed.is_complete
            confirmed = await copies.received.get()
            assert confirmed == ConfirmObjects(
                kind=AGENTS_KIND, position=position_of(2)
            )
            standin.store.put(AGENTS_KIND, 'two', AGENT)
            changed = await next_of(copies, ReportObjects)
            assert specs_of(changed) == {'two': AGENT}
            assert not changed.is_complete

    asyncio.run(scenario())


# Guards against copies with a configuration that no receiver can use, and with
# objects of other writers.
def test_only_a_usable_configuration_is_reported():
    async def scenario():
        standin = PlatformStandin()
        configuration = make_configuration(3, SERVICE[1])
        standin.store.put('config', 'main', configuration)
        standin.store.put('config', 'other', {})
        async with watched(ConfigurationWatch, standin) as (_, copies):
            listed = await next_of(copies, ReportObjects)
            assert specs_of(listed) == {'main': configuration}
            standin.store.put('config', 'main', {'Version': 'unreadable'})
            changed = await next_of(copies, ReportObjects)
            assert not changed.changes
            assert changed.unreadable == {'main'}

    asyncio.run(scenario())


def test_evacuations_are_reported_with_the_revision_of_each_response():
    async def scenario():
        standin = PlatformStandin()
        standin.store.put(EVACUATIONS_KIND, 'a', {})
        standin.store.put(EVACUATIONS_KIND, ' odd', {})
        watch_type = partial(EvacuationWatch, wait_seconds=0.2)
        async with watched(watch_type, standin) as (_, copies):
            listed = await copies.received.get()
            assert specs_of(listed) == {'a': {}}
            assert listed.unreadable == {' odd'}
            # Another kind changes, and the response says that nothing has.
            standin.store.put('config', 'main', {})
            async with asyncio.timeout(5):
                confirmed = await copies.received.get()
                while confirmed.position.revision < 3:
                    confirmed = await copies.received.get()
            assert confirmed == ConfirmObjects(
                kind=EVACUATIONS_KIND, position=position_of(3)
            )

    asyncio.run(scenario())


def test_refusal_of_the_store_ends_the_confirmation():
    async def scenario():
        standin = PlatformStandin()
        async with watched(AgentWatch, standin) as (_, copies):
            await next_of(copies, ConfirmObjects)
            standin.inject(refuse=True)
            lost = await next_of(copies, DisconnectObjects)
            assert not lost.was_silent
            standin.inject(refuse=False)
            await next_of(copies, ConfirmObjects)

    asyncio.run(scenario())


# Guards against a connection that broke without an error and counts as
# confirmation of the state until the call times out.
def test_call_without_an_answer_is_reported_as_silent():
    async def scenario():
        standin = PlatformStandin()
        standin.inject(slow_seconds=3)
        async with watched(AgentWatch, standin) as (_, copies):
            lost = await next_of(copies, DisconnectObjects)
            assert lost.was_silent

    asyncio.run(scenario())


# Guards against copies that keep the balancer from learning of changes.
def test_watches_go_on_while_the_copies_take_no_message():
    async def scenario():
        standin = PlatformStandin()
        configuration = make_configuration(3, SERVICE[1])
        standin.store.put('config', 'main', configuration)
        async with watched(ConfigurationWatch, standin, copies=FullActor()) as (
            actor,
            _,
        ):
            await next_of(actor, UpdateRoutes)
            standin.store.put('config', 'main', {**configuration, 'Version': 4})
            newer = await next_of(actor, UpdateRoutes)
            assert newer.routes.version == 4
            lost = SetRoutesFresh(fresh=False)
            while not actor.received.empty():
                assert actor.received.get_nowait() != lost

    asyncio.run(scenario())


# Guards against a copy that counts as newer than it is: its task took no report
# of an agent, but the confirmation after it.
def test_copies_that_missed_a_report_are_confirmed_after_a_new_list():
    async def scenario():
        standin = PlatformStandin()
        copies = BusyActor()
        async with watched(AgentWatch, standin, copies=copies) as (actor, _):
            await next_of(copies, ConfirmObjects)
            copies.is_busy = True
            standin.store.put(AGENTS_KIND, 'one', AGENT)
            await actor.wait_for_addresses([('10.0.0.1', 8172)])
            copies.is_busy = False
            standin.store.put(AGENTS_KIND, 'two', {**AGENT, 'port': 9})
            # The changes to what the copies lack may be reported first.
            lost = await first_of(
                copies, DisconnectObjects, before=ConfirmObjects
            )
            listed = await copies.received.get()
            confirmed = await copies.received.get()
            assert lost.was_silent
            assert listed.is_complete
            assert set(specs_of(listed)) == {'one', 'two'}
            assert confirmed == ConfirmObjects(
                kind=AGENTS_KIND, position=listed.position
            )

    asyncio.run(scenario())


def test_watch_without_copies_reports_to_its_actor_only():
    async def scenario():
        standin = PlatformStandin()
        standin.store.put(AGENTS_KIND, 'one', AGENT)
        await standin.start()
        actor = RecordingActor()
        watch = AgentWatch(endpoint=standin.endpoint, actor=actor)
        task = asyncio.create_task(watch.run())
        listed = await next_of(actor, UpdateAgents)
        assert [entry.address[0] for entry in listed.entries] == ['10.0.0.1']
        assert not listed.peer
        await stop_all(watch, task, standin)

    asyncio.run(scenario())
