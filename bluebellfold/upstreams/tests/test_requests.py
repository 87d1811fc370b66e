"""Test the outcomes of the requests task against the upstream's record."""

import asyncio
import hashlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bluebellfold.core import (
    Actor,
    Endpoint,
    Kind,
    MonotonicClock,
    Registry,
    Stop,
)
from bluebellfold.standins.upstream import Faults, UpstreamStandin
from bluebellfold.upstreams import (
    Answered,
    BodyBytesSent,
    BodyPart,
    CancelRequest,
    DrainRequests,
    NotRun,
    Outcome,
    Request,
    RequestsTask,
    ResponseBody,
    ResponseEnd,
    ResponseForwarded,
    ResponseHead,
    Submit,
    SubmitBody,
    Unknown,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.tests.owner import (
    COUNTER,
    FEED,
    LONG_SECONDS,
    ORDER,
    live_request,
)

HOST = '127.0.0.1'
KINDS = (
    ORDER.replace(queue_seconds=LONG_SECONDS),
    FEED,
    ORDER.replace(name='read', number=5, repeatable=True, share=0.2),
)
ORDER_KIND, FEED_KIND, READ_KIND = KINDS
SLOW_ORDER_PATH = '/order?work_ms=60000'
FAULTS = (
    Faults(),
    Faults(shed=True),
    Faults(cut='accept'),
    Faults(cut='head'),
    Faults(cut='body'),
    Faults(cut='before-answer'),
    Faults(cut='in-answer'),
)


class Flow(Actor):
    """Submit requests and collect the response and outcome of each."""

    reactions = Registry(name='reactions of the test flow')

    def __init__(self, *, requests: RequestsTask) -> None:
        super().__init__(name='flow')
        self.requests = requests
        self.outcomes: dict[str, Outcome] = {}
        self.responses: dict[str, bytes] = {}
        self._changed = asyncio.Event()

    def submit(self, request: Request, payload: bytes = b'') -> None:
        self.requests.tell(Submit(request=request, owner=self))
        part = BodyPart(payload=payload, last=True)
        self.requests.tell(SubmitBody(key=request.key, part=part))

    async def outcome_of(self, key: str) -> Outcome:
        async with asyncio.timeout(LONG_SECONDS):
            while key not in self.outcomes:
                self._changed.clear()
                await self._changed.wait()
        return self.outcomes[key]

    @reactions.add(ResponseHead)
    def _start_response(self, message: ResponseHead) -> None:
        assert message.key not in self.responses
        self.responses[message.key] = b''

    @reactions.add(ResponseBody)
    def _append(self, message: ResponseBody) -> None:
        self.responses[message.key] += message.payload
        self.requests.tell(ResponseForwarded(key=message.key, parts=1))

    @reactions.add(BodyBytesSent)
    def _ignore(self, message: BodyBytesSent) -> None:
        """Ignore it: each body has a single part."""

    @reactions.add(ResponseEnd)
    def _record_outcome(self, message: ResponseEnd) -> None:
        assert message.key not in self.outcomes
        self.outcomes[message.key] = message.outcome
        self._changed.set()


@asynccontextmanager
async def running_task() -> AsyncIterator[tuple[UpstreamStandin, Flow]]:
    upstream = UpstreamStandin(name='counter-1', slots=COUNTER.slots)
    port = await upstream.start(host=HOST, port=0)
    requests = RequestsTask(
        service=COUNTER,
        kinds=KINDS,
        upstream=Endpoint(host=HOST, port=port),
        clock=MonotonicClock(),
    )
    flow = Flow(requests=requests)
    running = [asyncio.ensure_future(actor.run()) for actor in (requests, flow)]
    try:
        yield upstream, flow
    finally:
        await asyncio.gather(stop(requests), stop(flow), *running)
        await upstream.stop()


async def stop(actor: Actor) -> None:
    actor.tell(Stop())


async def wait_until_begun(
    upstream: UpstreamStandin, keys: tuple[str, ...]
) -> None:
    waits = [upstream.record.wait_for(key, 'begun') for key in keys]
    await asyncio.gather(*waits)


async def submit_under_faults(upstream, flow, seed) -> dict[str, Kind]:
    rng = random.Random(seed)
    kinds = {}
    for number in range(150):
        upstream.update_faults(rng.choice(FAULTS))
        key = str(number)
        kinds[key] = rng.choice((ORDER_KIND, READ_KIND))
        flow.submit(live_request(kinds[key], key), key.encode())
        # Some requests overlap, so that the faults change while they run.
        if rng.randrange(10) < 7:
            await flow.outcome_of(key)  # noqa: WPS476 - one after another
    await asyncio.gather(*[flow.outcome_of(key) for key in kinds])
    return kinds


def check_against_record(key, kind, flow, upstream) -> None:
    count = upstream.record.count_of(key)
    outcome = flow.outcomes[key]
    if not kind.repeatable:
        assert count.at('begun') <= 1
    if isinstance(outcome, NotRun):
        assert count.at('begun') == 0
    if isinstance(outcome, Answered):
        digest = hashlib.sha256(key.encode()).hexdigest()
        assert flow.responses[key].decode() == digest
        assert count.at('finished') >= 1


@pytest.mark.parametrize('seed', range(3))
def test_outcomes_agree_with_the_upstream_record_under_faults(seed):
    """Requests that may not be repeated run at most once despite retries."""

    async def scenario() -> None:
        async with running_task() as (upstream, flow):
            kinds = await submit_under_faults(upstream, flow, seed)
            for key, kind in kinds.items():
                check_against_record(key, kind, flow, upstream)
            outcome_types = {
                type(outcome) for outcome in flow.outcomes.values()
            }
            assert outcome_types == {Answered, NotRun, Unknown}

    asyncio.run(scenario())


def test_shed_request_is_retried_and_never_runs():
    async def scenario() -> None:
        async with running_task() as (upstream, flow):
            upstream.update_faults(Faults(shed=True))
            flow.submit(live_request(ORDER_KIND, 'a'), b'x')
            shed = NotRun(reason=reasons.SHED)
            assert await flow.outcome_of('a') == shed
            assert upstream.record.count_of('a').at('arrived') == 3
            assert upstream.record.count_of('a').at('begun') == 0

    asyncio.run(scenario())


def test_drain_refuses_new_requests_and_completes_submitted_ones():
    async def scenario() -> None:
        async with running_task() as (upstream, flow):
            keys = ('a', 'b', 'c')
            path = '/order?work_ms=200'
            for running in keys:
                flow.submit(live_request(ORDER_KIND, running, path=path))
            feed = '/feed?lines=20&interval_ms=10'
            flow.submit(
                live_request(FEED_KIND, 'feed', method='GET', path=feed)
            )
            await wait_until_begun(upstream, keys)
            flow.submit(live_request(ORDER_KIND, 'waiting'))
            flow.requests.tell(DrainRequests())
            flow.submit(live_request(FEED_KIND, 'new'))
            draining = NotRun(reason=reasons.DRAINING)
            assert await flow.outcome_of('new') == draining
            completed = (*keys, 'waiting', 'feed')
            outcomes = await asyncio.gather(*map(flow.outcome_of, completed))
            assert set(outcomes) == {Answered(status=200)}
            assert flow.responses['feed'].endswith(b'counter-1 19\n')
            assert upstream.record.count_of('waiting').at('finished') == 1
            assert upstream.record.count_of('new').at('arrived') == 0

    asyncio.run(scenario())


def test_slot_of_a_cancelled_request_is_reused():
    async def scenario() -> None:
        async with running_task() as (upstream, flow):
            keys = ('a', 'b', 'c')
            for running in keys:
                flow.submit(
                    live_request(ORDER_KIND, running, path=SLOW_ORDER_PATH)
                )
            await wait_until_begun(upstream, keys)
            flow.submit(live_request(ORDER_KIND, 'withdrawn'))
            flow.submit(live_request(ORDER_KIND, 'next'))
            flow.requests.tell(CancelRequest(key='withdrawn'))
            withdrawn = NotRun(reason=reasons.WITHDRAWN)
            assert await flow.outcome_of('withdrawn') == withdrawn
            flow.requests.tell(CancelRequest(key='a'))
            assert await flow.outcome_of('next') == Answered(status=200)
            await upstream.record.wait_for('a', 'cancelled')
            assert upstream.record.count_of('withdrawn').at('arrived') == 0
            flow.requests.tell(CancelRequest(key='b'))
            flow.requests.tell(CancelRequest(key='c'))
            await flow.outcome_of('c')

    asyncio.run(scenario())
