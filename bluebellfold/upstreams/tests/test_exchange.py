"""Test exchanges against the stand-in upstream, with cuts at each step."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bluebellfold.core import Endpoint, Stop
from bluebellfold.standins.upstream import (
    CUT_STEPS,
    Faults,
    UpstreamStandin,
)
from bluebellfold.upstreams import (
    Answered,
    Cancel,
    IdleConnections,
    NotRun,
    Unknown,
    WindowUpdate,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.exchange import (
    BODY_PARTS_WINDOW,
    RESPONSE_PARTS_WINDOW,
)
from bluebellfold.upstreams.tests.owner import (
    FEED,
    ORDER,
    Owner,
    live_request,
)

HOST = '127.0.0.1'
REPEATABLE_ORDER = ORDER.replace(repeatable=True)
BIG_BODY = tuple(bytes([number]) * 50_000 for number in range(100))


@asynccontextmanager
async def running_upstream() -> AsyncIterator[tuple[UpstreamStandin, Endpoint]]:
    upstream = UpstreamStandin(name='counter-1', slots=3)
    port = await upstream.start(host=HOST, port=0)
    try:
        yield upstream, Endpoint(host=HOST, port=port)
    finally:
        await upstream.stop()


@asynccontextmanager
async def scripted_upstream(response: bytes) -> AsyncIterator[Endpoint]:
    """Respond to each connection with fixed bytes, then close it."""

    async def serve(reader, writer) -> None:
        await reader.read(65_536)
        writer.write(response)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    try:
        yield Endpoint(host=HOST, port=server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def exchange(endpoint, request, *payloads, idle=None) -> Owner:
    owner = Owner()
    await owner.start(request, endpoint, idle)
    sending = asyncio.ensure_future(owner.send(*payloads))
    await owner.wait_for_outcome()
    sending.cancel()
    return owner


def digest_of(*payloads: bytes) -> str:
    return hashlib.sha256(b''.join(payloads)).hexdigest()


def test_body_and_response_are_streamed_unchanged():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, *BIG_BODY)
            assert owner.outcomes == [Answered(status=200)]
            assert owner.response_body.decode() == digest_of(*BIG_BODY)
            assert upstream.record.count_of('a').at('finished') == 1

            path = '/feed?lines=500&interval_ms=0'
            feed = live_request(FEED, 'b', method='GET', path=path)
            owner = await exchange(endpoint, feed)
            lines = [f'counter-1 {number}\n' for number in range(500)]
            assert owner.response_body.decode() == ''.join(lines)
            assert owner.outcomes == [Answered(status=200)]

    asyncio.run(scenario())


@pytest.mark.parametrize('step', CUT_STEPS)
@pytest.mark.parametrize('reused', [False, True])
def test_outcome_of_a_cut_agrees_with_the_upstream_record(step, reused):
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            idle = None
            if reused:
                first = live_request(REPEATABLE_ORDER, 'first')
                idle = (await exchange(endpoint, first, b'x')).connection
            upstream.update_faults(Faults(cut=step))
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, b'x', b'y', idle=idle)
            count = upstream.record.count_of('a')
            assert count.at('begun') <= 1
            assert owner.connection is None or count.at('finished') == 1
            if isinstance(owner.outcomes[0], Answered):
                # A cut at accept does not affect an open connection.
                assert reused and step == 'accept'
                assert count.at('finished') == 1
            elif isinstance(owner.outcomes[0], NotRun):
                assert count.at('begun') == 0
            if count.at('begun') and step != 'accept':
                assert owner.outcomes == [Unknown(reason=reasons.CUT)]

    asyncio.run(scenario())


def test_refused_connection_gives_not_run():
    async def scenario() -> None:
        async with running_upstream() as (stopped, endpoint):
            await stopped.stop()
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, b'x')
            assert owner.outcomes == [NotRun(reason=reasons.CONNECT_FAILED)]

    asyncio.run(scenario())


def test_shed_request_gives_not_run_before_its_body_is_sent():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            upstream.update_faults(Faults(shed=True))
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, *BIG_BODY)
            assert owner.outcomes == [NotRun(reason=reasons.SHED)]
            assert owner.status == 0
            assert upstream.record.count_of('a').at('begun') == 0

    asyncio.run(scenario())


def test_late_response_is_not_used_for_the_next_request():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            kind = REPEATABLE_ORDER
            idle = IdleConnections()
            late = live_request(
                kind,
                'late',
                path='/order?work_ms=60000',
                seconds=0.2,
            )
            owner = await exchange(endpoint, late, b'late')
            assert owner.outcomes == [Unknown(reason=reasons.LATE)]
            assert owner.connection is None
            await upstream.record.wait_for('late', 'cancelled')
            assert idle.acquire(kind, now=0) is None
            following = live_request(kind, 'b')
            owner = await exchange(endpoint, following, b'b')
            assert owner.response_body.decode() == digest_of(b'b')
            idle.keep(owner.connection, now=0)
            following = live_request(kind, 'c')
            kept = idle.acquire(kind, now=0)
            owner = await exchange(endpoint, following, b'c', idle=kept)
            assert owner.connection is kept
            assert owner.response_body.decode() == digest_of(b'c')
            kept.close()

    asyncio.run(scenario())


def test_connection_with_a_surplus_response_is_not_reused():
    response = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'
    responses = b'1'.join([response, response, b''])

    async def scenario() -> None:
        async with scripted_upstream(responses) as endpoint:
            request = live_request(FEED, 'a', method='GET')
            owner = await exchange(endpoint, request)
            assert owner.response_body == b'1'
            assert owner.connection is None

    asyncio.run(scenario())


def test_unsolicited_response_on_an_idle_connection_is_not_used():
    response = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'

    async def scenario() -> None:
        send_unsolicited = asyncio.Event()
        unsolicited_sent = asyncio.Event()
        connections = []

        async def serve(reader, writer) -> None:
            connections.append(writer)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response + str(len(connections)).encode())
            await send_unsolicited.wait()
            writer.write(response + b'x')
            unsolicited_sent.set()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        endpoint = Endpoint(host=HOST, port=port)
        first = live_request(FEED, 'a', method='GET')
        owner = await exchange(endpoint, first)
        assert owner.response_body == b'1'
        send_unsolicited.set()
        await unsolicited_sent.wait()
        second = live_request(FEED, 'b', method='GET')
        idle = owner.connection
        owner = await exchange(endpoint, second, idle=idle)
        assert owner.response_body == b'2'
        for writer in connections:
            writer.close()
        server.close()

    asyncio.run(scenario())


def test_idle_connection_closed_by_the_upstream_is_replaced():
    async def scenario() -> None:
        async with running_upstream() as (first, endpoint):
            owner = await exchange(
                endpoint,
                live_request(REPEATABLE_ORDER, 'a'),
                b'x',
            )
            await first.stop()
            second = UpstreamStandin(name='counter-1', slots=3)
            await second.start(host=HOST, port=endpoint.port)
            second_owner = await exchange(
                endpoint,
                live_request(REPEATABLE_ORDER, 'b'),
                b'y',
                idle=owner.connection,
            )
            assert second_owner.outcomes == [Answered(status=200)]
            assert second.record.count_of('b').at('finished') == 1
            await second.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('response', 'reason'),
    [
        (b'HTTP/1.0 200 OK\r\n\r\nhello', reasons.UNFRAMED),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello', reasons.CUT),
        (b'HTTP/1.1 200 O', reasons.CUT),
        (b'nonsense\r\n\r\n', reasons.CUT),
        (b'', reasons.CUT),
    ],
)
def test_response_that_may_be_truncated_gives_unknown(response, reason):
    async def scenario() -> None:
        async with scripted_upstream(response) as endpoint:
            request = live_request(FEED, 'a', method='GET')
            owner = await exchange(endpoint, request)
            assert owner.outcomes == [Unknown(reason=reason)]
            assert owner.connection is None

    asyncio.run(scenario())


def test_outcome_field_of_an_upstream_is_not_forwarded():
    response = (
        b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n'
        b'bluebellfold-outcome: not-run\r\nretry-after: 1\r\n\r\n'
    )

    async def scenario() -> None:
        async with scripted_upstream(response) as endpoint:
            request = live_request(ORDER, 'a')
            owner = await exchange(endpoint, request)
            assert owner.outcomes == [Answered(status=503)]
            assert [field.name for field in owner.fields] == [
                'content-length',
                'retry-after',
            ]

    asyncio.run(scenario())


def test_cancellation_reaches_the_upstream():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            owner = Owner()
            order = live_request(ORDER, 'a', path='/order?work_ms=60000')
            await owner.start(order, endpoint)
            await owner.send(b'x')
            await upstream.record.wait_for('a', 'begun')
            owner.task.tell(Cancel())
            assert await owner.wait_for_outcome() == Unknown(
                reason=reasons.CANCELLED
            )
            await upstream.record.wait_for('a', 'cancelled')
            assert upstream.record.count_of('a').at('finished') == 0

    asyncio.run(scenario())


def test_cancellation_before_the_body_gives_not_run():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            owner = Owner()
            await owner.start(live_request(ORDER, 'a'), endpoint)
            owner.task.tell(Cancel())
            assert await owner.wait_for_outcome() == NotRun(
                reason=reasons.WITHDRAWN
            )
            assert upstream.record.count_of('a').at('arrived') == 0

    asyncio.run(scenario())


def test_passed_deadline_gives_not_run():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            order = live_request(ORDER, 'a', seconds=0)
            owner = await exchange(endpoint, order, b'x')
            not_run = NotRun(reason=reasons.DEADLINE_TOO_NEAR)
            assert owner.outcomes == [not_run]
            assert upstream.record.count_of('a').at('arrived') == 0

    asyncio.run(scenario())


def test_response_parts_wait_for_window_updates():
    async def scenario() -> None:
        async with running_upstream() as (_, endpoint):
            owner = Owner(acknowledges=False)
            path = '/feed?interval_ms=0'
            feed = live_request(FEED, 'a', method='GET', path=path)
            await owner.start(feed, endpoint)
            await owner.send()
            while owner.response_parts < RESPONSE_PARTS_WINDOW:
                owner.part_received.clear()
                await owner.part_received.wait()
            assert owner.task._response_window.locked()
            owner.part_received.clear()
            owner.task.tell(WindowUpdate())
            await owner.part_received.wait()
            assert owner.response_parts == RESPONSE_PARTS_WINDOW + 1
            owner.task.tell(Cancel())
            await owner.wait_for_outcome()

    asyncio.run(scenario())


def test_body_beyond_the_window_aborts_the_request():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            owner = Owner()
            owner.body_window = asyncio.Semaphore(len(BIG_BODY))
            await owner.start(live_request(ORDER, 'a'), endpoint)
            await owner.send(*BIG_BODY[:BODY_PARTS_WINDOW])
            assert await owner.wait_for_outcome() == NotRun(
                reason=reasons.BODY_OVERRUN
            )
            assert upstream.record.count_of('a').at('arrived') == 0

    asyncio.run(scenario())


def test_stopped_task_closes_its_connection():
    async def scenario() -> None:
        async with running_upstream() as (upstream, endpoint):
            owner = Owner()
            order = live_request(ORDER, 'a', path='/order?work_ms=60000')
            await owner.start(order, endpoint)
            await owner.send(b'x')
            await upstream.record.wait_for('a', 'begun')
            owner.task.tell(Stop())
            await upstream.record.wait_for('a', 'cancelled')
            owner.tell(Stop())
            await owner.running_task

    asyncio.run(scenario())
