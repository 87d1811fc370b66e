"""Test the platform stand-in as a process."""

import asyncio
import signal
import sys

from aiohttp import ClientSession
from aiohttp.test_utils import unused_port


async def start_platform(port):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bluebellfold.standins.platform',
        f'--port={port}',
        stdout=asyncio.subprocess.PIPE,
    )
    assert await process.stdout.readline() == b'ready\n'
    return process


async def run_scenario():
    port = unused_port()
    process = await start_platform(port)
    url = f'http://127.0.0.1:{port}'
    kind = '/bluebellfold/objects/a'
    written = {'meta': {'Name': 'b'}, 'spec': {'text': 't'}}
    async with ClientSession(url) as session:
        assert (await session.get(f'{kind}/b')).status == 404
        assert (await session.post(kind, json=written)).status == 200
        assert (await session.post(kind, json=written)).status == 409
        listed = await (await session.get(kind)).json()
        assert listed['items'][0]['spec'] == {'text': 't'}
        assert listed['StoreRevision'] == 1
        await session.put('/faults', json={'refuse': True})
        assert (await session.get(f'{kind}/b')).status == 503
        calls = await (await session.get('/calls')).json()
        assert calls == {'read': 2, 'write': 2, 'list': 1}
    process.send_signal(signal.SIGTERM)
    return await process.wait()


def test_platform_serves_objects_until_sigterm():
    assert asyncio.run(run_scenario()) == 0
