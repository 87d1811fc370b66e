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
    AnswerEnd,
    DrainRequests,
    NotRun,
    SharesChanged,
    Unknown,
    Withdraw,
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
    running,
    scenario,
)

LONG_WORK = '/order?work_ms=60000'


@scenario
async def test_each_answer_is_for_its_own_request(upstream, submitter):
    bodies = {f'order {number}': b'%d' % number * 999 for number in range(12)}
    for key, body in bodies.items():
        submitter.submit(ORDER, key, body)
    await submitter.until(lambda: len(submitter.outcomes) == len(bodies))
    for key, body in bodies.items():
        digest = hashlib.sha256(body).hexdigest().encode()
        assert submitter.answers[key] == digest
        assert submitter.accepted[key] == len(body)
        assert upstream.record.count_of(key).at('begun') == 1
    assert submitter.busy[-1] == (0, 0)


@pytest.mark.parametrize('step', CUT_STEPS)
def test_order_is_sent_once_whatever_is_cut(step):
    async def live():
        async with running() as (upstream, submitter):
            upstream.choose_faults(Faults(cut=step))
            submitter.submit(ORDER, 'a', b'x')
            outcome = await submitter.outcome('a')
            begun = upstream.record.count_of('a').at('begun')
            assert begun <= 1
            if begun:
                assert outcome == Unknown(reason=reasons.CUT)
            assert upstream.record.count_of('a').at('arrived') <= 1
            counts = await submitter.counts()
            assert counts.slots == 0

    asyncio.run(live())


@scenario
async def test_repeatable_work_is_tried_again(upstream, submitter):
    upstream.choose_faults(Faults(cut='before-answer'))
    submitter.submit(QUERY, 'a', b'x')
    assert await submitter.outcome('a') == Unknown(reason=reasons.CUT)
    assert upstream.record.count_of('a').at('begun') == MAX_ATTEMPTS
    assert submitter.accepted['a'] == 1


@scenario
async def test_cancelled_work_is_not_tried_again(upstream, submitter):
    submitter.submit(QUERY, 'a', b'x', path=LONG_WORK)
    await upstream.record.wait_for('a', 'begun')
    submitter.tasks.tell(Withdraw(key='a'))
    assert await submitter.outcome('a') == Unknown(reason=reasons.CANCELLED)
    await upstream.record.wait_for('a', 'cancelled')
    assert upstream.record.count_of('a').at('begun') == 1
    assert (await submitter.counts()).slots == 0


@scenario
async def test_cancellation_beside_a_cut_ends_the_tries(upstream, submitter):
    tasks = submitter.tasks
    submitter.submit(QUERY, 'a', last=False)
    await submitter.counts()
    # The cut was on its way while the cancellation came.
    tasks.tell(Withdraw(key='a'))
    cut = Unknown(reason=reasons.CUT)
    tasks.tell(AnswerEnd(key='a', outcome=cut))
    assert await submitter.outcome('a') == cut
    assert (await submitter.counts()).slots == 0


@scenario
async def test_cancellation_reaches_an_order(upstream, submitter):
    submitter.submit(ORDER, 'a', b'x', path=LONG_WORK)
    await upstream.record.wait_for('a', 'begun')
    submitter.tasks.tell(Withdraw(key='a'))
    assert await submitter.outcome('a') == Unknown(reason=reasons.CANCELLED)
    await upstream.record.wait_for('a', 'cancelled')
    assert upstream.record.count_of('a').at('finished') == 0


@scenario
async def test_late_answer_leaves_no_connection(upstream, submitter):
    submitter.submit(QUERY, 'late', b'x', path=LONG_WORK, seconds=0.2)
    assert await submitter.outcome('late') == Unknown(reason=reasons.LATE)
    assert not len(submitter.tasks._idle)
    await upstream.record.wait_for('late', 'cancelled')
    submitter.submit(QUERY, 'next', b'y')
    assert await submitter.outcome('next') == Answered(status=200)
    digest = hashlib.sha256(b'y').hexdigest().encode()
    assert submitter.answers['next'] == digest


@scenario
async def test_waiting_work_starts_in_turn_or_is_withdrawn(upstream, submitter):
    keys = [f'{number}' for number in range(5)]
    for key in keys:
        submitter.submit(ORDER, key, b'x', path=LONG_WORK)
    await upstream.record.wait_for('2', 'begun')
    assert (await submitter.counts()).waiting == 2
    submitter.tasks.tell(Withdraw(key='3'))
    assert await submitter.outcome('3') == NotRun(reason=reasons.WITHDRAWN)
    submitter.tasks.tell(Withdraw(key='0'))
    await upstream.record.wait_for('4', 'begun')
    assert upstream.record.count_of('3').at('arrived') == 0


@scenario
async def test_refusal_while_the_body_still_arrives(upstream, submitter):
    submitter.tasks.tell(DrainRequests())
    submitter.submit(ORDER, 'a', b'x', last=False)
    assert await submitter.outcome('a') == NotRun(reason=reasons.DRAINING)
    for _ in range(3 * BODY_PARTS_WINDOW):
        submitter.give('a', b'more', last=False)
    submitter.give('a', b'', last=True)
    assert (await submitter.counts()).waiting == 0
    assert upstream.record.count_of('a').at('arrived') == 0


@scenario
async def test_observer_hears_of_each_shed_attempt(upstream, submitter):
    upstream.choose_faults(Faults(shed=True))
    submitter.submit(ORDER, 'a', b'x')
    assert await submitter.outcome('a') == NotRun(reason=reasons.SHED)
    await submitter.until(lambda: submitter.shed == MAX_ATTEMPTS)


@scenario
async def test_waiting_ends_by_itself(upstream, submitter):
    for key in ('0', '1', '2', '3'):
        submitter.submit(ORDER, key, b'x', path=LONG_WORK)
    assert await submitter.outcome('3') == NotRun(
        reason=reasons.WAITED_TOO_LONG,
    )
    assert upstream.record.count_of('3').at('arrived') == 0


@scenario
async def test_changed_room_starts_what_waits(upstream, submitter):
    for key in ('0', '1', '2', '3'):
        submitter.submit(ORDER, key, b'x', path=LONG_WORK)
    await upstream.record.wait_for('2', 'begun')
    upstream._free_slots.release()
    more = COUNTER.replace(slots=4)
    submitter.tasks.tell(SharesChanged(service=more, kinds=KINDS))
    await upstream.record.wait_for('3', 'begun')
    submitter.tasks.tell(SharesChanged(service=more, kinds=(FEED,)))
    submitter.submit(ORDER, '4', b'x')
    refused = NotRun(reason=reasons.NOT_SERVED)
    assert await submitter.outcome('4') == refused
    assert (await submitter.counts()).slots == 4


@scenario
async def test_kind_that_may_no_longer_be_repeated(upstream, submitter):
    once = (ORDER, FEED, QUERY.replace(repeatable=False))
    submitter.tasks.tell(SharesChanged(service=COUNTER, kinds=once))
    upstream.choose_faults(Faults(cut='before-answer'))
    submitter.submit(QUERY, 'a', b'x')
    assert await submitter.outcome('a') == Unknown(reason=reasons.CUT)
    assert upstream.record.count_of('a').at('begun') == 1


def test_later_refusal_does_not_deny_a_try_that_may_have_run():
    async def serve_once(reader, writer):
        listening.pop().close()
        await reader.read(1)
        writer.close()

    async def live():
        server = await asyncio.start_server(serve_once, HOST, 0)
        listening.append(server)
        async with running() as (_, submitter):
            submitter.tasks._upstream = Endpoint(
                host=HOST,
                port=server.sockets[0].getsockname()[1],
            )
            submitter.submit(QUERY, 'a', b'x')
            cut = Unknown(reason=reasons.CUT)
            assert await submitter.outcome('a') == cut
            counts = (await submitter.counts()).counts
            assert 'retried' in {count.name for count in counts}

    listening = []
    asyncio.run(live())
