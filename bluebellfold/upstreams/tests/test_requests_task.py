"""Test the requests task against the stand-in upstream."""

import asyncio
import hashlib

import pytest

from bluebellfold.core import Endpoint
from bluebellfold.standins.upstream import (
    CUT_STEPS,
    Faults,
)
from bluebellfold.upstreams import (
    Answered,
    CancelRequest,
    DrainRequests,
    NotRun,
    ResponseEnd,
    Unknown,
    UpdateService,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.exchange import (
    BODY_PARTS_WINDOW,
)
from bluebellfold.upstreams.retries import MAX_ATTEMPTS
from bluebellfold.upstreams.tests.owner import (
    COUNTER,
    FEED,
    ORDER,
)
from bluebellfold.upstreams.tests.submitter import (
    HOST,
    KINDS,
    QUERY,
    running_upstream,
    with_upstream,
)

SLOW_ORDER_PATH = '/order?work_ms=60000'


@with_upstream
async def test_each_response_belongs_to_its_request(upstream, submitter):
    bodies = {f'order {number}': b'%d' % number * 999 for number in range(12)}
    for key, body in bodies.items():
        submitter.submit(ORDER, key, body)
    await submitter.wait_until(lambda: len(submitter.outcomes) == len(bodies))
    for key, body in bodies.items():
        digest = hashlib.sha256(body).hexdigest().encode()
        assert submitter.responses[key] == digest
        assert submitter.sent_bytes[key] == len(body)
        assert upstream.record.count_of(key).at('begun') == 1
    assert submitter.usages[-1] == (0, 0)


@pytest.mark.parametrize('step', CUT_STEPS)
def test_unrepeatable_request_is_sent_once_after_a_cut(step):
    async def run_test():
        async with running_upstream() as (upstream, submitter):
            upstream.update_faults(Faults(cut=step))
            submitter.submit(ORDER, 'a', b'x')
            outcome = await submitter.wait_for_outcome('a')
            begun = upstream.record.count_of('a').at('begun')
            assert begun <= 1
            if begun:
                assert outcome == Unknown(reason=reasons.CUT)
            assert upstream.record.count_of('a').at('arrived') <= 1
            counts = await submitter.counts()
            assert counts.slots == 0

    asyncio.run(run_test())


@with_upstream
async def test_repeatable_request_is_retried(upstream, submitter):
    upstream.update_faults(Faults(cut='before-answer'))
    submitter.submit(QUERY, 'a', b'x')
    assert await submitter.wait_for_outcome('a') == Unknown(reason=reasons.CUT)
    assert upstream.record.count_of('a').at('begun') == MAX_ATTEMPTS
    assert submitter.sent_bytes['a'] == 1


@with_upstream
async def test_cancelled_request_is_not_retried(upstream, submitter):
    submitter.submit(QUERY, 'a', b'x', path=SLOW_ORDER_PATH)
    await upstream.record.wait_for('a', 'begun')
    submitter.requests_task.tell(CancelRequest(key='a'))
    assert await submitter.wait_for_outcome('a') == Unknown(
        reason=reasons.CANCELLED
    )
    await upstream.record.wait_for('a', 'cancelled')
    assert upstream.record.count_of('a').at('begun') == 1
    assert (await submitter.counts()).slots == 0


@with_upstream
async def test_cancellation_concurrent_with_a_cut_ends_retries(
    upstream, submitter
):
    requests_task = submitter.requests_task
    submitter.submit(QUERY, 'a', last=False)
    await submitter.counts()
    # The connection is cut before the exchange handles the cancellation.
    requests_task.tell(CancelRequest(key='a'))
    cut = Unknown(reason=reasons.CUT)
    requests_task.tell(ResponseEnd(key='a', outcome=cut))
    assert await submitter.wait_for_outcome('a') == cut
    assert (await submitter.counts()).slots == 0


@with_upstream
async def test_cancellation_reaches_the_upstream(upstream, submitter):
    submitter.submit(ORDER, 'a', b'x', path=SLOW_ORDER_PATH)
    await upstream.record.wait_for('a', 'begun')
    submitter.requests_task.tell(CancelRequest(key='a'))
    assert await submitter.wait_for_outcome('a') == Unknown(
        reason=reasons.CANCELLED
    )
    await upstream.record.wait_for('a', 'cancelled')
    assert upstream.record.count_of('a').at('finished') == 0


@with_upstream
async def test_connection_with_a_late_response_is_not_reused(
    upstream, submitter
):
    submitter.submit(QUERY, 'late', b'x', path=SLOW_ORDER_PATH, seconds=0.2)
    assert await submitter.wait_for_outcome('late') == Unknown(
        reason=reasons.LATE
    )
    assert not len(submitter.requests_task._idle_connections)
    await upstream.record.wait_for('late', 'cancelled')
    submitter.submit(QUERY, 'next', b'y')
    assert await submitter.wait_for_outcome('next') == Answered(status=200)
    digest = hashlib.sha256(b'y').hexdigest().encode()
    assert submitter.responses['next'] == digest


@with_upstream
async def test_queued_requests_start_in_order_or_are_cancelled(
    upstream, submitter
):
    keys = [f'{number}' for number in range(5)]
    for key in keys:
        submitter.submit(ORDER, key, b'x', path=SLOW_ORDER_PATH)
    await upstream.record.wait_for('2', 'begun')
    assert (await submitter.counts()).waiting == 2
    submitter.requests_task.tell(CancelRequest(key='3'))
    assert await submitter.wait_for_outcome('3') == NotRun(
        reason=reasons.WITHDRAWN
    )
    submitter.requests_task.tell(CancelRequest(key='0'))
    await upstream.record.wait_for('4', 'begun')
    assert upstream.record.count_of('3').at('arrived') == 0


@with_upstream
async def test_body_parts_after_a_refusal_are_ignored(upstream, submitter):
    submitter.requests_task.tell(DrainRequests())
    submitter.submit(ORDER, 'a', b'x', last=False)
    assert await submitter.wait_for_outcome('a') == NotRun(
        reason=reasons.DRAINING
    )
    for _ in range(3 * BODY_PARTS_WINDOW):
        submitter.submit_part('a', b'more', last=False)
    submitter.submit_part('a', b'', last=True)
    assert (await submitter.counts()).waiting == 0
    assert upstream.record.count_of('a').at('arrived') == 0


@with_upstream
async def test_each_shed_attempt_is_reported_to_the_observer(
    upstream, submitter
):
    upstream.update_faults(Faults(shed=True))
    submitter.submit(ORDER, 'a', b'x')
    assert await submitter.wait_for_outcome('a') == NotRun(reason=reasons.SHED)
    await submitter.wait_until(lambda: submitter.shed_count == MAX_ATTEMPTS)


@with_upstream
async def test_queued_request_expires_without_other_events(upstream, submitter):
    for key in ('0', '1', '2', '3'):
        submitter.submit(ORDER, key, b'x', path=SLOW_ORDER_PATH)
    assert await submitter.wait_for_outcome('3') == NotRun(
        reason=reasons.WAITED_TOO_LONG,
    )
    assert upstream.record.count_of('3').at('arrived') == 0


@with_upstream
async def test_increased_capacity_starts_queued_requests(upstream, submitter):
    for key in ('0', '1', '2', '3'):
        submitter.submit(ORDER, key, b'x', path=SLOW_ORDER_PATH)
    await upstream.record.wait_for('2', 'begun')
    upstream._free_slots.release()
    larger_service = COUNTER.replace(slots=4)
    submitter.requests_task.tell(
        UpdateService(service=larger_service, kinds=KINDS)
    )
    await upstream.record.wait_for('3', 'begun')
    submitter.requests_task.tell(
        UpdateService(service=larger_service, kinds=(FEED,))
    )
    submitter.submit(ORDER, '4', b'x')
    refused = NotRun(reason=reasons.NOT_SERVED)
    assert await submitter.wait_for_outcome('4') == refused
    assert (await submitter.counts()).slots == 4


@with_upstream
async def test_request_of_a_kind_changed_to_unrepeatable_is_not_retried(
    upstream, submitter
):
    kinds = (ORDER, FEED, QUERY.replace(repeatable=False))
    submitter.requests_task.tell(UpdateService(service=COUNTER, kinds=kinds))
    upstream.update_faults(Faults(cut='before-answer'))
    submitter.submit(QUERY, 'a', b'x')
    assert await submitter.wait_for_outcome('a') == Unknown(reason=reasons.CUT)
    assert upstream.record.count_of('a').at('begun') == 1


def test_refused_retry_does_not_hide_an_attempt_that_may_have_run():
    async def cut_first_connection(reader, writer):
        servers.pop().close()
        await reader.read(1)
        writer.close()

    async def run_test():
        server = await asyncio.start_server(cut_first_connection, HOST, 0)
        servers.append(server)
        async with running_upstream() as (_, submitter):
            submitter.requests_task._upstream = Endpoint(
                host=HOST,
                port=server.sockets[0].getsockname()[1],
            )
            submitter.submit(QUERY, 'a', b'x')
            cut = Unknown(reason=reasons.CUT)
            assert await submitter.wait_for_outcome('a') == cut
            counts = (await submitter.counts()).counts
            assert 'retried' in {count.name for count in counts}

    servers = []
    asyncio.run(run_test())
