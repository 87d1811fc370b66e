"""Test the registration of agents while writes are lost or executed late."""

import asyncio
import itertools

import pytest

from bluebellfold.relay.store import (
    AGENTS_KIND,
    DeregisterAgent,
    RegisterAgent,
    VerifyRegistration,
)
from bluebellfold.relay.store.tests.test_agents import (
    FIRST,
    register,
    run_watched,
    start_registrar,
    stop,
)


async def wait_for_registration(registrar):
    """Wait until the registrar has seen its entry in the store."""
    async with asyncio.timeout(5):
        while not registrar.is_registered:
            await asyncio.sleep(0.01)


async def wait_until_listed(standin, *, listed):
    async with asyncio.timeout(5):
        while bool(standin.store.names(AGENTS_KIND)) is not listed:
            await asyncio.sleep(0)


# Guards against open flows that are reset or get no answer for good: the
# deletion by the previous start was executed late, after this start had taken
# the entry for its own, and nothing wrote the entry again.
def test_late_deletion_by_the_previous_start_leaves_the_entry():
    async def scenario(standin, _):
        previous = await register(standin, FIRST)
        standin.inject(hold_writes=1)
        await previous.deregister()
        registrar, running = start_registrar(standin, FIRST, incarnation=2)
        await wait_for_registration(registrar)
        await standin.execute_held()
        assert standin.store.names(AGENTS_KIND) == [FIRST[0]]
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against the same loss under an agent that goes on: its upstream is
# restarted in place, while the deletion is on its way.
def test_late_deletion_leaves_the_entry_of_the_next_upstream():
    async def scenario(standin, _):
        registrar, running = start_registrar(standin, FIRST)
        await wait_for_registration(registrar)
        standin.inject(hold_writes=1)
        registrar.tell(DeregisterAgent())
        async with asyncio.timeout(5):
            while standin.fault('hold_writes'):
                await asyncio.sleep(0.01)
        registrar.tell(RegisterAgent())
        await wait_for_registration(registrar)
        await standin.execute_held()
        assert standin.store.names(AGENTS_KIND) == [FIRST[0]]
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Of two starts at one address, whose upstreams are restarted in place.
WRITES = 7


async def restart_upstream(standin, registrar):
    """Register again once the deletion has reached the store."""
    writes = standin.counts['write']
    registrar.tell(DeregisterAgent())
    async with asyncio.timeout(5):
        while standin.counts['write'] == writes:
            await asyncio.sleep(0)
    registrar.tell(RegisterAgent())
    await wait_for_registration(registrar)


# Guards against agents that get no flows for good: any one or two writes lose
# their responses, and are executed at once or late.
@pytest.mark.parametrize(
    ('fault', 'first', 'count'),
    tuple(
        itertools.product(
            ('lose_answers', 'hold_writes'), range(WRITES), (1, 2)
        )
    ),
)
def test_running_agent_stays_listed_whichever_write_is_lost(
    monkeypatch, fault, first, count
):
    writes = itertools.count()

    def is_lost(name):
        return name == fault and first <= next(writes) < first + count

    async def scenario(standin, _):
        monkeypatch.setattr(standin, 'consume_fault', is_lost)
        previous, running = start_registrar(standin, FIRST)
        await wait_for_registration(previous)
        await restart_upstream(standin, previous)
        await stop(previous, running)
        await previous.deregister()
        current, running = start_registrar(standin, FIRST, incarnation=2)
        await wait_for_registration(current)
        await restart_upstream(standin, current)
        await standin.execute_held()
        assert standin.store.names(AGENTS_KIND) == [FIRST[0]]
        await stop(current, running)

    asyncio.run(run_watched(scenario))


async def hold_write(standin, method):
    """Let a start of the agent end while the store holds a write of it."""
    if method == 'PUT':
        standin.store.put(AGENTS_KIND, FIRST[0], {})
    if method == 'DELETE':
        registrar = await register(standin, FIRST)
        standin.inject(hold_writes=1)
        await registrar.deregister()
        return
    standin.inject(hold_writes=1)
    registrar, running = start_registrar(standin, FIRST)
    async with asyncio.timeout(5):
        while standin.fault('hold_writes'):
            await asyncio.sleep(0)
    await stop(registrar, running)


# Guards against agents that get no flows for good, or whose entry is another
# start's: a write of the previous start is executed before any of the calls
# that register this one, or after them.
@pytest.mark.parametrize(
    ('method', 'position'),
    tuple(itertools.product(('DELETE', 'POST', 'PUT'), range(4))),
)
def test_agent_is_listed_whenever_an_earlier_write_is_executed(
    monkeypatch, method, position
):
    async def scenario(standin, _):
        await hold_write(standin, method)
        calls = itertools.count()

        async def execute_at_position():
            if next(calls) == position:
                await standin.execute_held()

        monkeypatch.setattr(standin, '_apply_faults', execute_at_position)
        registrar, running = start_registrar(standin, FIRST, incarnation=2)
        await wait_for_registration(registrar)
        await standin.execute_held()
        stored = standin.store.read(AGENTS_KIND, FIRST[0])
        assert stored['spec']['registration'] == '2-1'
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against lookups that wait for an agent that is gone: its creation was
# executed after its deletion, and a removed agent deleted nothing at its stop.
def test_agent_that_was_created_late_is_removed_at_its_stop():
    async def scenario(standin, _):
        standin.inject(hold_writes=1)
        registrar, running = start_registrar(standin, FIRST)
        await wait_for_registration(registrar)
        registrar.tell(DeregisterAgent())
        await wait_until_listed(standin, listed=False)
        await asyncio.sleep(0.05)
        await standin.execute_held()
        assert standin.store.names(AGENTS_KIND)
        await stop(registrar, running)
        await registrar.deregister()
        assert not standin.store.names(AGENTS_KIND)

    asyncio.run(run_watched(scenario))


def remove_entry(standin):
    stored = standin.store.read(AGENTS_KIND, FIRST[0])
    revision = stored['meta']['Revision']
    standin.store.delete(AGENTS_KIND, FIRST[0], revision=revision)


# Guards against an agent that stays out of the list for good: its entry was
# removed while it ran, and the registrar looked at its own wish only.
def test_entry_that_is_missing_is_written_again():
    async def scenario(standin, _):
        registrar, running = start_registrar(standin, FIRST)
        await wait_for_registration(registrar)
        remove_entry(standin)
        registrar.tell(VerifyRegistration())
        await wait_until_listed(standin, listed=True)
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Load pattern: hundreds of balancers miss an entry at once.
def test_many_reports_of_a_missing_entry_cost_one_read():
    async def scenario(standin, _):
        registrar, running = start_registrar(standin, FIRST)
        await wait_for_registration(registrar)
        revision = standin.store.revision
        reads = standin.counts['read']
        for _ in range(100):
            registrar.tell(VerifyRegistration())
        await asyncio.sleep(0.3)
        assert standin.counts['read'] == reads + 1
        assert standin.store.revision == revision
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against an entry of an agent without an upstream.
def test_missing_entry_of_an_agent_without_upstream_stays_away():
    async def scenario(standin, _):
        registrar, running = start_registrar(standin, FIRST)
        await wait_for_registration(registrar)
        registrar.tell(DeregisterAgent())
        registrar.tell(VerifyRegistration())
        await asyncio.sleep(0.3)
        assert not standin.store.names(AGENTS_KIND)
        await stop(registrar, running)

    asyncio.run(run_watched(scenario))


# Guards against the entry of an agent that is gone: an agent that had been
# removed once deleted nothing at its stop, though it was registering again.
def test_agent_that_stops_while_it_registers_again_is_removed():
    async def scenario(standin, _):
        registrar, running = start_registrar(standin, FIRST)
        await wait_for_registration(registrar)
        registrar.tell(DeregisterAgent())
        await wait_until_listed(standin, listed=False)
        await asyncio.sleep(0.05)
        stored = standin.store.put(AGENTS_KIND, FIRST[0], {})
        standin.inject(lose_answers=1)
        registrar.tell(RegisterAgent())
        async with asyncio.timeout(5):
            while standin.store.read(AGENTS_KIND, FIRST[0]) == stored:
                await asyncio.sleep(0)
        await stop(registrar, running)
        await registrar.deregister()
        assert not standin.store.names(AGENTS_KIND)

    asyncio.run(run_watched(scenario))
