"""Test that waiting for a response or reply never swallows a cancel."""

import asyncio
from pathlib import Path

import bluebellfold
from bluebellfold.core import Endpoint, Reply
from bluebellfold.core.http_client import (
    ClientRequest,
    ClientResponse,
    HttpClient,
)

# More iterations of the event loop than a request needs to complete.
LOOP_ITERATIONS = 12
PACKAGE_DIRECTORY = Path(bluebellfold.__file__).parent


class OneIterationClient(HttpClient):
    """Receive each response one iteration after the request."""

    async def _exchange(self, request, max_body_bytes):
        await asyncio.sleep(0)
        return ClientResponse(status=200, body=request.body)


async def run_iterations(iterations):
    while iterations:
        iterations -= 1
        await asyncio.sleep(0)


async def ends_when_cancelled(wait, iterations):
    async def wait_twice():
        await wait()
        await asyncio.Event().wait()

    task = asyncio.create_task(wait_twice())
    await run_iterations(iterations)
    task.cancel()
    await run_iterations(LOOP_ITERATIONS)
    ended = task.done()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return ended


def swallowed_cancels(wait):
    return [
        iterations
        for iterations in range(LOOP_ITERATIONS)
        if not asyncio.run(ends_when_cancelled(wait, iterations))
    ]


async def send_one_request():
    client = OneIterationClient(endpoint=Endpoint(host='127.0.0.1', port=1))
    await client.send_request(
        ClientRequest(method='GET', target='/'), timeout_seconds=5
    )


async def await_one_reply():
    reply = Reply()
    asyncio.get_running_loop().call_soon(reply.put, 'answer')
    await reply.wait()


def test_request_does_not_swallow_a_cancel():
    assert swallowed_cancels(send_one_request) == []


def test_reply_does_not_swallow_a_cancel():
    assert swallowed_cancels(await_one_reply) == []


def uses_wait_for(path):
    return 'asyncio.wait_for(' in path.read_text(encoding='utf-8')


def test_no_module_uses_wait_for():
    modules = (
        path
        for path in PACKAGE_DIRECTORY.rglob('*.py')
        if 'tests' not in path.parts
    )
    assert not list(filter(uses_wait_for, modules))
