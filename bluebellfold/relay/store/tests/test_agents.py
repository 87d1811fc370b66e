"""Test the registration of agents and the watch of their list."""

import asyncio

import pytest

from bluebellfold.core import Actor, Registry, Stop
from bluebellfold.platform import ObjectStoreClient
from bluebellfold.relay.agents import AgentEntry
from bluebellfold.relay.store import (
    AGENTS_KIND,
    AgentRegistrar,
    AgentWatch,
    DeregisterAgent,
    RegisterAgent,
    UpdateAgents,
)
from bluebellfold.relay.store.agents import SETTLE_SECONDS
from bluebellfold.standins.object_api import PlatformStandin

FIRST = ('10.0.0.1', 8172)
SECOND = ('10.0.0.2', 8172)


class RecordingActor(Actor):
    """Queue the messages of the watch."""

    reactions = Registry(name='reactions of the recording actor')

    def __init__(self):
        super().__init__(name='recorder')
        self.received = asyncio.Queue()
        self.told = 0

    def tell(self, message):
        self.told += 1
        self.received.put_nowait(message)

    async def wait_for_addresses(self, wanted):
        """Return the first message that lists exactly these addresses."""
        async with asyncio.timeout(5):
            while True:
                message = await self.received.get()
                assert isinstance(message, UpdateAgents)
                listed = [entry.address for entry in message.entries]
                if listed == wanted:
                    return message


async def run_watched(scenario):
    standin = PlatformStandin()
    await standin.start()
    actor = RecordingActor()
    watch = AgentWatch(endpoint=standin.endpoint, actor=actor)
    running = asyncio.create_task(watch.run())
    try:
        await scenario(standin, actor)
    finally:
        await stop(watch, running)
        await standin.stop()


async def stop(actor, running):
    actor.tell(Stop())
    await running


def start_registrar(standin, address, *, incarnation=1):
    registrar = AgentRegistrar(
        endpoint=standin.endpoint,
        entry=AgentEntry(address=address, service='counter', zone='a'),
        incarnation=incarnation,
    )
    running = asyncio.create_task(registrar.run())
    registrar.tell(RegisterAgent())
    return registrar, running


async def register(standin, address):
    registrar, running = start_registrar(standin, address)
    async with asyncio.timeout(5):
        while address[0] not in standin.store.names(AGENTS_KIND):
            await asyncio.sleep(0.01)
    await stop(registrar, running)
    return registrar


def test_registered_and_deregistered_agents_are_reported():
    async def scenario(standin, actor):
        registrar = await register(standin, FIRST)
        await actor.wait_for_addresses([FIRST])
        await register(standin, SECOND)
        await actor.wait_for_addresses([FIRST, SECOND])
        await registrar.deregister()
        await actor.wait_for_addresses([SECOND])

    asyncio.run(run_watched(scenario))


def test_all_balancers_report_the_same_revision():
    # The time of the read and changes of other kinds do not affect it.
    async def scenario(standin, actor):
        await register(standin, FIRST)
        early = await actor.wait_for_addresses([FIRST])
        standin.store.put('config', 'main', {})
        late = RecordingActor()
        watch = AgentWatch(endpoint=standin.endpoint, actor=late)
        running = asyncio.create_task(watch.run())
        known = await late.wait_for_addresses([FIRST])
        await stop(watch, running)
        assert known.position == early.position

    asyncio.run(run_watched(scenario))


@pytest.mark.parametrize(
    'spec', [None, 'x', {}, {'host': 'x', 'port': 1}, {'host': '10.0.0.9'}]
)
def test_malformed_entry_is_skipped(spec):
    async def scenario(standin, actor):
        standin.store.put(AGENTS_KIND, 'foreign', spec)
        await register(standin, FIRST)
        await actor.wait_for_addresses([FIRST])

    asyncio.run(run_watched(scenario))


# Guards against an entry with a revision that an earlier call names, and
# against more than one write for a start.
def test_restarted_agent_writes_its_entry_once():
    async def scenario(standin, actor):
        await register(standin, FIRST)
        before = standin.store.revision
        registrar, running = start_registrar(standin, FIRST, incarnation=2)
        async with asyncio.timeout(5):
            while not registrar.is_registered:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        await stop(registrar, running)
        assert standin.store.revision == before + 1

    asyncio.run(run_watched(scenario))


# Guards against agents that get no flows for good: the delayed deletion by an
# earlier agent removed the entry while this one found it in place.
def test_entry_that_vanishes_during_the_registration_is_written_again(
    monkeypatch,
):
    read_object = ObjectStoreClient.read

    async def scenario(standin, _):
        async def read_vanished(client, kind, name):  # noqa: WPS430
            monkeypatch.setattr(ObjectStoreClient, 'read', read_object)
            stored = standin.store.read(kind, name)
            revision = stored['meta']['Revision']
            standin.store.delete(kind, name, revision=revision)
            return await read_object(client, kind, name)

        await register(standin, FIRST)
        before = standin.store.revision
        monkeypatch.setattr(ObjectStoreClient, 'read', read_vanished)
        registrar, running = start_registrar(standin, FIRST)
        async with asyncio.timeout(5):
            while standin.store.revision < before + 2:
                await asyncio.sleep(0.01)
        assert standin.store.names(AGENTS_KIND)
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against lookups of lost flows that wait for an agent whose upstream has
# left: it was listed again when its process was started again.
def test_agent_that_has_heard_no_upstream_is_not_listed():
    async def scenario(standin, _):
        registrar = AgentRegistrar(
            endpoint=standin.endpoint,
            entry=AgentEntry(address=FIRST),
            incarnation=1,
        )
        running = asyncio.create_task(registrar.run())
        await asyncio.sleep(0.1)
        assert not standin.store.names(AGENTS_KIND)
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against lookups of lost flows that wait for an agent whose upstream has
# deregistered: its entry stayed until the agent stopped, and a power loss
# before that left it in the list.
def test_agent_is_listed_only_until_its_upstream_deregisters():
    async def scenario(standin, actor):
        registrar, running = start_registrar(standin, FIRST)
        await actor.wait_for_addresses([FIRST])
        standin.inject(refuse=True)
        registrar.tell(DeregisterAgent())
        await asyncio.sleep(0.1)
        standin.inject(refuse=False)
        await actor.wait_for_addresses([])
        registrar.tell(RegisterAgent())
        await actor.wait_for_addresses([FIRST])
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against living flows that are reset: the list counted as complete while
# the watch waited on purpose after a change.
def test_change_of_the_list_tells_when_the_list_is_read_next():
    async def scenario(standin, actor):
        empty = await actor.wait_for_addresses([])
        assert empty.next_read_seconds == 0
        await register(standin, FIRST)
        changed = await actor.wait_for_addresses([FIRST])
        assert changed.next_read_seconds > SETTLE_SECONDS

    asyncio.run(run_watched(scenario))


# Load pattern: a site starts, and its agents are listed one by one. Guards
# against a priced call of each balancer for each agent.
def test_agents_listed_in_quick_succession_come_in_few_responses():
    async def scenario(standin, actor):
        addresses = [(f'10.0.0.{number}', 8172) for number in range(1, 11)]
        remaining = list(addresses)
        while remaining:
            await register(standin, remaining.pop())
        await actor.wait_for_addresses(sorted(addresses))
        assert actor.told <= 4

    asyncio.run(run_watched(scenario))
