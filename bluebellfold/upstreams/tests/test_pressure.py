"""Test that bodies and answers wait for whoever is slower."""

import asyncio
from contextlib import asynccontextmanager
from itertools import repeat

from bluebellfold.core import (
    Endpoint,
)
from bluebellfold.upstreams import (
    AnswerPassed,
    Unknown,
    Withdraw,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.exchange import (
    BODY_PARTS_WINDOW,
    RESPONSE_PARTS_WINDOW,
)
from bluebellfold.upstreams.tests.owner import (
    FEED,
    ORDER,
)
from bluebellfold.upstreams.tests.submitter import (
    HOST,
    running,
    scenario,
)


@asynccontextmanager
async def stuck_upstream():
    """Accept connections and read nothing until told."""
    go_on = asyncio.Event()

    async def serve(reader, writer):
        await go_on.wait()
        await reader.readuntil(b'\r\n\r\n0\r\n\r\n')
        writer.write(b'HTTP/1.1 204 Done\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0, limit=65_536)
    try:
        yield Endpoint(host=HOST, port=server.sockets[0].getsockname()[1])
    finally:
        go_on.set()
        server.close()


def test_upload_waits_for_a_slow_upstream():
    async def live():
        async with running() as (_, submitter), stuck_upstream() as endpoint:
            submitter.tasks._upstream = endpoint
            part = bytes(65_536)
            parts = repeat(part, 200)
            submitter.submit(ORDER, 'a', *parts, last=False)
            # The answer to this comes after all the parts were acted on.
            await submitter.counts()
            opened = submitter.tasks._requests['a']
            assert opened.exchange is not None
            assert len(opened.body._in_flight) == BODY_PARTS_WINDOW
            assert submitter.accepted.get('a', 0) < 100 * len(part)
            submitter.tasks.tell(Withdraw(key='a'))
            outcome = await submitter.outcome('a')
            assert outcome.reason in {reasons.CANCELLED, reasons.WITHDRAWN}

    asyncio.run(live())


@scenario
async def test_answer_waits_for_a_slow_caller(upstream, submitter):
    submitter.passes = False
    path = '/feed?interval_ms=0'
    submitter.submit(FEED, 'a', method='GET', path=path)
    window = RESPONSE_PARTS_WINDOW
    await submitter.until(lambda: submitter.parts.get('a') == window)
    exchange = submitter.tasks._requests['a'].exchange
    assert exchange._response_window.locked()
    submitter.tasks.tell(AnswerPassed(key='a', parts=2))
    await submitter.until(lambda: submitter.parts['a'] == window + 2)
    submitter.tasks.tell(Withdraw(key='a'))
    assert await submitter.outcome('a') == Unknown(reason=reasons.CANCELLED)
