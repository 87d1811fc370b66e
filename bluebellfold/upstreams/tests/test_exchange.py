"""Test exchanges against the stand-in upstream, cut at every step."""

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
    More,
    NotRun,
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
    Owner,
    live_request,
)

HOST = '127.0.0.1'
REPEATABLE_ORDER = ORDER.replace(repeatable=True)
BIG_BODY = tuple(bytes([number]) * 50_000 for number in range(100))


@asynccontextmanager
async def standin() -> AsyncIterator[tuple[UpstreamStandin, Endpoint]]:
    upstream = UpstreamStandin(name='counter-1', slots=3)
    port = await upstream.start(host=HOST, port=0)
    try:
        yield upstream, Endpoint(host=HOST, port=port)
    finally:
        await upstream.stop()


@asynccontextmanager
async def scripted(answer: bytes) -> AsyncIterator[Endpoint]:
    """Answer each connection's first read with fixed bytes, then close."""

    async def serve(reader, writer) -> None:
        await reader.read(65_536)
        writer.write(answer)
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
    await owner.end()
    sending.cancel()
    return owner


def digest_of(*payloads: bytes) -> str:
    return hashlib.sha256(b''.join(payloads)).hexdigest()


def test_streams_body_and_answer_byte_for_byte():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, *BIG_BODY)
            assert owner.outcomes == [Answered(status=200)]
            assert owner.answer.decode() == digest_of(*BIG_BODY)
            assert upstream.record.count_of('a').at('finished') == 1

            path = '/feed?lines=500&interval_ms=0'
            feed = live_request(FEED, 'b', method='GET', path=path)
            owner = await exchange(endpoint, feed)
            lines = [f'counter-1 {number}\n' for number in range(500)]
            assert owner.answer.decode() == ''.join(lines)
            assert owner.outcomes == [Answered(status=200)]

    asyncio.run(scenario())


@pytest.mark.parametrize('step', CUT_STEPS)
@pytest.mark.parametrize('reused', [False, True])
def test_outcome_of_a_cut_agrees_with_the_record(step, reused):
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            idle = None
            if reused:
                first = live_request(REPEATABLE_ORDER, 'first')
                idle = (await exchange(endpoint, first, b'x')).connection
            upstream.choose_faults(Faults(cut=step))
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, b'x', b'y', idle=idle)
            count = upstream.record.count_of('a')
            assert count.at('begun') <= 1
            assert owner.connection is None or count.at('finished') == 1
            if isinstance(owner.outcomes[0], Answered):
                # An accept cut doesn't touch a connection that is open.
                assert reused and step == 'accept'
                assert count.at('finished') == 1
            elif isinstance(owner.outcomes[0], NotRun):
                assert count.at('begun') == 0
            if count.at('begun') and step != 'accept':
                assert owner.outcomes == [Unknown(reason=reasons.CUT)]

    asyncio.run(scenario())


def test_refused_connection_is_not_run():
    async def scenario() -> None:
        async with standin() as (stopped, endpoint):
            await stopped.stop()
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, b'x')
            assert owner.outcomes == [NotRun(reason=reasons.CONNECT_FAILED)]

    asyncio.run(scenario())


def test_shed_work_is_not_run_even_before_its_body_is_sent():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            upstream.choose_faults(Faults(shed=True))
            order = live_request(ORDER, 'a')
            owner = await exchange(endpoint, order, *BIG_BODY)
            assert owner.outcomes == [NotRun(reason=reasons.SHED)]
            assert owner.status == 0
            assert upstream.record.count_of('a').at('begun') == 0

    asyncio.run(scenario())


def test_late_answer_never_crosses_into_the_next_request():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
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
            assert idle.take(kind, now=0) is None
            following = live_request(kind, 'b')
            owner = await exchange(endpoint, following, b'b')
            assert owner.answer.decode() == digest_of(b'b')
            idle.keep(owner.connection, now=0)
            following = live_request(kind, 'c')
            kept = idle.take(kind, now=0)
            owner = await exchange(endpoint, following, b'c', idle=kept)
            assert owner.connection is kept
            assert owner.answer.decode() == digest_of(b'c')
            kept.close()

    asyncio.run(scenario())


def test_answer_sent_unasked_never_crosses():
    answer = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'
    answers = b'1'.join([answer, answer, b''])

    async def scenario() -> None:
        async with scripted(answers) as endpoint:
            request = live_request(FEED, 'a', method='GET')
            owner = await exchange(endpoint, request)
            assert owner.answer == b'1'
            assert owner.connection is None

    asyncio.run(scenario())


def test_answer_sent_to_an_idle_connection_never_crosses():
    answer = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'

    async def scenario() -> None:
        speak = asyncio.Event()
        spoken = asyncio.Event()
        calls = []

        async def serve(reader, writer) -> None:
            calls.append(writer)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer + str(len(calls)).encode())
            await speak.wait()
            writer.write(answer + b'x')
            spoken.set()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        endpoint = Endpoint(host=HOST, port=port)
        first = live_request(FEED, 'a', method='GET')
        owner = await exchange(endpoint, first)
        assert owner.answer == b'1'
        speak.set()
        await spoken.wait()
        second = live_request(FEED, 'b', method='GET')
        idle = owner.connection
        owner = await exchange(endpoint, second, idle=idle)
        assert owner.answer == b'2'
        for writer in calls:
            writer.close()
        server.close()

    asyncio.run(scenario())


def test_idle_connection_closed_by_the_upstream_is_replaced():
    async def scenario() -> None:
        async with standin() as (first, endpoint):
            owner = await exchange(
                endpoint,
                live_request(REPEATABLE_ORDER, 'a'),
                b'x',
            )
            await first.stop()
            second = UpstreamStandin(name='counter-1', slots=3)
            await second.start(host=HOST, port=endpoint.port)
            again = await exchange(
                endpoint,
                live_request(REPEATABLE_ORDER, 'b'),
                b'y',
                idle=owner.connection,
            )
            assert again.outcomes == [Answered(status=200)]
            assert second.record.count_of('b').at('finished') == 1
            await second.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('answer', 'reason'),
    [
        (b'HTTP/1.0 200 OK\r\n\r\nhello', reasons.UNFRAMED),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello', reasons.CUT),
        (b'HTTP/1.1 200 O', reasons.CUT),
        (b'nonsense\r\n\r\n', reasons.CUT),
        (b'', reasons.CUT),
    ],
)
def test_answer_that_may_be_cut_is_not_whole(answer, reason):
    async def scenario() -> None:
        async with scripted(answer) as endpoint:
            request = live_request(FEED, 'a', method='GET')
            owner = await exchange(endpoint, request)
            assert owner.outcomes == [Unknown(reason=reason)]
            assert owner.connection is None

    asyncio.run(scenario())


def test_outcome_stated_by_an_upstream_is_not_passed_on():
    answer = (
        b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n'
        b'bluebellfold-outcome: not-run\r\nretry-after: 1\r\n\r\n'
    )

    async def scenario() -> None:
        async with scripted(answer) as endpoint:
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
        async with standin() as (upstream, endpoint):
            owner = Owner()
            order = live_request(ORDER, 'a', path='/order?work_ms=60000')
            await owner.start(order, endpoint)
            await owner.send(b'x')
            await upstream.record.wait_for('a', 'begun')
            owner.task.tell(Cancel())
            assert await owner.end() == Unknown(reason=reasons.CANCELLED)
            await upstream.record.wait_for('a', 'cancelled')
            assert upstream.record.count_of('a').at('finished') == 0

    asyncio.run(scenario())


def test_cancellation_before_the_body_is_not_run():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            owner = Owner()
            await owner.start(live_request(ORDER, 'a'), endpoint)
            owner.task.tell(Cancel())
            assert await owner.end() == NotRun(reason=reasons.WITHDRAWN)
            assert upstream.record.count_of('a').at('arrived') == 0

    asyncio.run(scenario())


def test_passed_deadline_is_not_run():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            order = live_request(ORDER, 'a', seconds=0)
            owner = await exchange(endpoint, order, b'x')
            not_run = NotRun(reason=reasons.DEADLINE_TOO_NEAR)
            assert owner.outcomes == [not_run]
            assert upstream.record.count_of('a').at('arrived') == 0

    asyncio.run(scenario())


def test_answer_waits_for_its_owner():
    async def scenario() -> None:
        async with standin() as (_, endpoint):
            owner = Owner(acknowledges=False)
            path = '/feed?interval_ms=0'
            feed = live_request(FEED, 'a', method='GET', path=path)
            await owner.start(feed, endpoint)
            await owner.send()
            while owner.parts < RESPONSE_PARTS_WINDOW:
                owner.parts_changed.clear()
                await owner.parts_changed.wait()
            assert owner.task._response_window.locked()
            owner.parts_changed.clear()
            owner.task.tell(More())
            await owner.parts_changed.wait()
            assert owner.parts == RESPONSE_PARTS_WINDOW + 1
            owner.task.tell(Cancel())
            await owner.end()

    asyncio.run(scenario())


def test_body_beyond_the_window_ends_the_request():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            owner = Owner()
            owner.body_credit = asyncio.Semaphore(len(BIG_BODY))
            await owner.start(live_request(ORDER, 'a'), endpoint)
            await owner.send(*BIG_BODY[:BODY_PARTS_WINDOW])
            assert await owner.end() == NotRun(reason=reasons.BODY_OVERRUN)
            assert upstream.record.count_of('a').at('arrived') == 0

    asyncio.run(scenario())


def test_stopped_task_closes_its_connection():
    async def scenario() -> None:
        async with standin() as (upstream, endpoint):
            owner = Owner()
            order = live_request(ORDER, 'a', path='/order?work_ms=60000')
            await owner.start(order, endpoint)
            await owner.send(b'x')
            await upstream.record.wait_for('a', 'begun')
            owner.task.tell(Stop())
            await upstream.record.wait_for('a', 'cancelled')
            owner.tell(Stop())
            await owner.running

    asyncio.run(scenario())
