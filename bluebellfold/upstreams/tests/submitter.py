"""Provide a request owner and a stand-in upstream for tests."""

import asyncio
from contextlib import asynccontextmanager

from bluebellfold.core import (
    Actor,
    Endpoint,
    MonotonicClock,
    Registry,
    Reply,
    Stop,
)
from bluebellfold.standins.upstream import (
    UpstreamStandin,
)
from bluebellfold.upstreams import (
    BodyBytesSent,
    BodyPart,
    GetRequestCounts,
    RequestsTask,
    ResponseBody,
    ResponseEnd,
    ResponseForwarded,
    ResponseHead,
    SetObserver,
    Submit,
    SubmitBody,
    UpstreamShed,
    UsageChanged,
)
from bluebellfold.upstreams.tests.owner import (
    COUNTER,
    FEED,
    LONG_SECONDS,
    ORDER,
    live_request,
)

HOST = '127.0.0.1'
QUERY = ORDER.replace(name='query', number=5, repeatable=True, share=0.1)
KINDS = (ORDER, FEED, QUERY)


class Submitter(Actor):
    """Own requests like the flows task, and record received messages."""

    reactions = Registry(name='reactions of the submitter')

    def __init__(self, requests_task: RequestsTask) -> None:
        super().__init__(name='submitter')
        self.requests_task = requests_task
        self.forwards_responses = True
        self.statuses = {}
        self.responses = {}
        self.response_parts = {}
        self.sent_bytes = {}
        self.outcomes = {}
        self.usages = []
        self.shed_count = 0
        self.changed = asyncio.Condition()

    def submit(self, kind, key, *payloads, last=True, **fields):
        request = live_request(kind, key, **fields)
        self.requests_task.tell(Submit(request=request, owner=self))
        for payload in payloads:
            self.submit_part(key, payload, last=False)
        if last:
            self.submit_part(key, b'', last=True)

    def submit_part(self, key, payload, *, last):
        part = BodyPart(payload=payload, last=last)
        self.requests_task.tell(SubmitBody(key=key, part=part))

    async def wait_until(self, condition):
        async with self.changed:
            await self.changed.wait_for(condition)

    async def wait_for_outcome(self, key):
        await self.wait_until(lambda: key in self.outcomes)
        return self.outcomes[key]

    async def counts(self):
        reply = Reply()
        self.requests_task.tell(GetRequestCounts(reply=reply))
        return await reply.wait()

    def handle_message(self, message):
        super().handle_message(message)
        self.spawn(self.notify_waiters(), name='wake')

    async def notify_waiters(self):
        async with self.changed:
            self.changed.notify_all()

    @reactions.add(ResponseHead)
    def _store_status(self, message):
        assert message.key not in self.statuses
        self.statuses[message.key] = message.status

    @reactions.add(ResponseBody)
    def _store_body_part(self, message):
        key = message.key
        self.responses[key] = self.responses.get(key, b'') + message.payload
        self.response_parts[key] = self.response_parts.get(key, 0) + 1
        if self.forwards_responses:
            self.requests_task.tell(ResponseForwarded(key=key, parts=1))

    @reactions.add(BodyBytesSent)
    def _add_sent_bytes(self, message):
        key = message.key
        self.sent_bytes[key] = self.sent_bytes.get(key, 0) + message.size_bytes

    @reactions.add(ResponseEnd)
    def _store_outcome(self, message):
        assert message.key not in self.outcomes
        self.outcomes[message.key] = message.outcome

    @reactions.add(UsageChanged)
    def _store_usage(self, message):
        self.usages.append((message.slots, message.connections))

    @reactions.add(UpstreamShed)
    def _count_shed(self, _message):
        self.shed_count += 1


@asynccontextmanager
async def running_upstream(service=COUNTER, kinds=KINDS):
    upstream = UpstreamStandin(name='counter-1', slots=3)
    port = await upstream.start(host=HOST, port=0)
    requests_task = RequestsTask(
        service=service,
        kinds=kinds,
        upstream=Endpoint(host=HOST, port=port),
        clock=MonotonicClock(),
    )
    submitter = Submitter(requests_task)
    requests_task.tell(SetObserver(observer=submitter))
    actors = asyncio.gather(requests_task.run(), submitter.run())
    async with asyncio.timeout(LONG_SECONDS):
        yield upstream, submitter
    requests_task.tell(Stop())
    submitter.tell(Stop())
    await actors
    await upstream.stop()


def with_upstream(steps):
    """Wrap a coroutine test that gets the upstream and the submitter."""

    def run(**fields):
        async def run_test():
            async with running_upstream() as (upstream, submitter):
                await steps(upstream, submitter, **fields)

        asyncio.run(run_test())

    run.__name__ = steps.__name__
    return run
