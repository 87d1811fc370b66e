"""Test that a cancelled task ends, whatever it waits for."""

import asyncio
from pathlib import Path

import bluebellfold
from bluebellfold.core import Endpoint, Reply
from bluebellfold.core.calls import Answer, Call, Transport

# More turns of the event loop than a call needs to end.
TURNS = 12
SOURCES = Path(bluebellfold.__file__).parent


class QuickTransport(Transport):
    """Be answered one turn after a call."""

    async def _exchange(self, call):
        await asyncio.sleep(0)
        return Answer(status=200, body=call.body)


async def pass_turns(turns):
    while turns:
        turns -= 1
        await asyncio.sleep(0)


async def ends_when_cancelled(wait, after_turns):
    async def go_on():
        await wait()
        await asyncio.Event().wait()

    task = asyncio.create_task(go_on())
    await pass_turns(after_turns)
    task.cancel()
    await pass_turns(TURNS)
    ended = task.done()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return ended


def turns_that_swallow(wait):
    return [
        turns
        for turns in range(TURNS)
        if not asyncio.run(ends_when_cancelled(wait, turns))
    ]


async def call_once():
    transport = QuickTransport(endpoint=Endpoint(host='127.0.0.1', port=1))
    await transport.call(Call(method='GET', target='/'), timeout_seconds=5)


async def ask_once():
    reply = Reply()
    asyncio.get_running_loop().call_soon(reply.put, 'answer')
    await reply.wait()


def test_a_call_that_ends_does_not_swallow_a_cancel():
    assert turns_that_swallow(call_once) == []


def test_a_reply_that_comes_does_not_swallow_a_cancel():
    assert turns_that_swallow(ask_once) == []


def waits_by_wait_for(path):
    return 'asyncio.wait_for(' in path.read_text(encoding='utf-8')


def test_no_module_waits_in_a_way_that_swallows_cancels():
    modules = (
        path for path in SOURCES.rglob('*.py') if 'tests' not in path.parts
    )
    assert not list(filter(waits_by_wait_for, modules))
