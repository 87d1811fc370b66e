"""Test how agents come into the store and out of it to balancers."""

import asyncio

import pytest

from bluebellfold.core import Actor, Registry, Stop
from bluebellfold.relay.callers import ChangeAgents
from bluebellfold.relay.store import (
    AGENTS_KIND,
    AgentRegistrar,
    AgentWatch,
)
from bluebellfold.standins.object_api import PlatformStandin

FIRST = ('10.0.0.1', 8172)
SECOND = ('10.0.0.2', 8172)


class Front(Actor):
    """Keep what the watch tells."""

    reactions = Registry(name='reactions of the listening front')

    def __init__(self):
        super().__init__(name='front')
        self.heard = asyncio.Queue()

    def tell(self, message):
        self.heard.put_nowait(message)

    async def addresses(self, wanted):
        """Return the message with which some addresses came to be known."""
        async with asyncio.timeout(5):
            while True:
                message = await self.heard.get()
                assert isinstance(message, ChangeAgents)
                if message.addresses == tuple(wanted):
                    return message


async def watched(scenario):
    standin = PlatformStandin()
    await standin.start()
    front = Front()
    watch = AgentWatch(endpoint=standin.endpoint, front=front)
    running = asyncio.create_task(watch.run())
    try:
        await scenario(standin, front)
    finally:
        await end(watch, running)
        await standin.stop()


async def end(task, running):
    task.tell(Stop())
    await running


async def register(standin, address):
    registrar = AgentRegistrar(endpoint=standin.endpoint, address=address)
    running = asyncio.create_task(registrar.run())
    async with asyncio.timeout(5):
        while address[0] not in standin.store.names(AGENTS_KIND):
            await asyncio.sleep(0.01)
    await end(registrar, running)
    return registrar


def test_agents_come_and_go():
    async def scenario(standin, front):
        registrar = await register(standin, FIRST)
        await front.addresses([FIRST])
        await register(standin, SECOND)
        await front.addresses([FIRST, SECOND])
        await registrar.withdraw()
        await front.addresses([SECOND])

    asyncio.run(watched(scenario))


def test_revision_is_the_same_for_all_who_know_the_last_agent():
    # However late a balancer has read the list, and whatever else changed.
    async def scenario(standin, front):
        await register(standin, FIRST)
        early = await front.addresses([FIRST])
        standin.store.put('config', 'main', {})
        late = Front()
        watch = AgentWatch(endpoint=standin.endpoint, front=late)
        running = asyncio.create_task(watch.run())
        known = await late.addresses([FIRST])
        await end(watch, running)
        assert known.revision == early.revision

    asyncio.run(watched(scenario))


@pytest.mark.parametrize(
    'spec', [None, 'x', {}, {'host': 'x', 'port': 1}, {'host': '10.0.0.9'}]
)
def test_entry_that_cannot_be_read_names_no_agent(spec):
    async def scenario(standin, front):
        standin.store.put(AGENTS_KIND, 'foreign', spec)
        await register(standin, FIRST)
        await front.addresses([FIRST])

    asyncio.run(watched(scenario))


def test_agent_that_starts_again_is_listed_as_before():
    async def scenario(standin, front):
        await register(standin, FIRST)
        before = standin.store.revision
        await register(standin, FIRST)
        assert standin.store.revision == before

    asyncio.run(watched(scenario))
