"""Test backpressure on request bodies and responses."""

import asyncio
from contextlib import asynccontextmanager
from itertools import repeat

from bluebellfold.core import (
    Endpoint,
)
from bluebellfold.upstreams import (
    CancelRequest,
    ResponseForwarded,
    Unknown,
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
    running_upstream,
    with_upstream,
)


@asynccontextmanager
async def stalled_upstream():
    """Accept connections and read nothing until the end of the test."""
    resume = asyncio.Event()

    async def serve(reader, writer):
        await resume.wait()
        await reader.readuntil(b'\r\n\r\n0\r\n\r\n')
        writer.write(b'HTTP/1.1 204 Done\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0, limit=65_536)
    try:
        yield Endpoint(host=HOST, port=server.sockets[0].getsockname()[1])
    finally:
        resume.set()
        server.close()


def test_request_body_waits_for_a_slow_upstream():
    async def run_test():
        async with (
            running_upstream() as (_, submitter),
            stalled_upstream() as endpoint,
        ):
            submitter.requests_task._upstream = endpoint
            part = bytes(65_536)
            parts = repeat(part, 200)
            submitter.submit(ORDER, 'a', *parts, last=False)
            # The reply arrives after all parts were processed.
            await submitter.counts()
            open_request = submitter.requests_task._open_requests['a']
            assert open_request.exchange is not None
            assert len(open_request.body._in_flight) == BODY_PARTS_WINDOW
            assert submitter.sent_bytes.get('a', 0) < 100 * len(part)
            submitter.requests_task.tell(CancelRequest(key='a'))
            outcome = await submitter.wait_for_outcome('a')
            assert outcome.reason in {reasons.CANCELLED, reasons.WITHDRAWN}

    asyncio.run(run_test())


@with_upstream
async def test_response_waits_for_a_slow_client(upstream, submitter):
    submitter.forwards_responses = False
    path = '/feed?interval_ms=0'
    submitter.submit(FEED, 'a', method='GET', path=path)
    window = RESPONSE_PARTS_WINDOW
    await submitter.wait_until(
        lambda: submitter.response_parts.get('a') == window
    )
    exchange = submitter.requests_task._open_requests['a'].exchange
    assert exchange._response_window.locked()
    submitter.requests_task.tell(ResponseForwarded(key='a', parts=2))
    await submitter.wait_until(
        lambda: submitter.response_parts['a'] == window + 2
    )
    submitter.requests_task.tell(CancelRequest(key='a'))
    assert await submitter.wait_for_outcome('a') == Unknown(
        reason=reasons.CANCELLED
    )
