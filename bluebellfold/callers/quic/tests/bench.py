"""Drive a flows task in memory: no sockets, a clock of its own."""

import asyncio
from collections.abc import Iterator

from bluebellfold.agents import ClientDatagram, FlowAssigner, ReplyDatagram
from bluebellfold.callers.quic.envelopes import Received
from bluebellfold.callers.quic.flows import FlowsTask
from bluebellfold.callers.quic.messages import (
    FlowCounts,
    GetFlowCounts,
    ServiceChanged,
)
from bluebellfold.callers.quic.tests.pairs import (
    AGENT,
    BALANCER,
    CALLER,
    FEED,
    SERVICE,
    STEP_SECONDS,
    Caller,
    opener_at,
)
from bluebellfold.collectors import NoTraces
from bluebellfold.core import (
    SERVING,
    Endpoint,
    ManualClock,
    Member,
    Message,
    Reply,
    Service,
)

COUNTER = Service(
    name='counter',
    number=SERVICE,
    upstreams=1,
    slots=3,
    connections=100,
)
MEMBER = Member(
    name='agent-1',
    service=COUNTER.number,
    zone='a',
    endpoint=AGENT,
    control_port=1,
    weight=1,
    state=SERVING,
    incarnation=1,
    sequence=1,
)


class FakeEnvelopes:
    """Stand in for the agent's socket."""

    def __init__(self) -> None:
        self.arrived: list[Received] = []
        self.sent: list[tuple[Message, Endpoint]] = []

    def receive(self) -> Iterator[Received]:
        arrived, self.arrived = self.arrived, []
        return iter(arrived)

    def send(self, message: Message, target: Endpoint) -> bool:
        self.sent.append((message, target))
        return True

    def close(self) -> None:
        """Have nothing to close."""


class FakeRequests:
    """Stand in for the requests task, and keep what it is told."""

    def __init__(self) -> None:
        self.told: list[Message] = []

    def tell(self, message: Message) -> None:
        self.told.append(message)

    def of(self, message_type: type[Message]) -> list[Message]:
        return [told for told in self.told if isinstance(told, message_type)]


class Bench:
    """Join a flows task and callers, each datagram by a chosen balancer."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.envelopes = FakeEnvelopes()
        self.requests = FakeRequests()
        self.callers: dict[Endpoint, Caller] = {}
        self.used: list[Endpoint] = []
        self.via = BALANCER
        self.task = FlowsTask(
            envelopes=self.envelopes,
            opener=opener_at(),
            placer=FlowAssigner(member=MEMBER, service=COUNTER),
            service=ServiceChanged(
                service=COUNTER,
                kinds=(FEED,),
                members=(MEMBER,),
            ),
            requests=self.requests,
            traces=NoTraces(),
            clock=self.clock,
        )

    def add(self, caller: Caller) -> Endpoint:
        """Return the endpoint of a new caller."""
        endpoint = CALLER.replace(port=CALLER.port + len(self.callers))
        self.callers[endpoint] = caller
        return endpoint

    def connect(self) -> Caller:
        """Return a caller whose handshake with the task is complete."""
        caller = Caller()
        self.add(caller)
        self.settle()
        return caller

    def deliver(self, payload: bytes, caller: Endpoint = CALLER) -> None:
        self.receive(
            ClientDatagram(
                address=FEED.number,
                client=caller,
                payload=payload,
                candidates=(AGENT,),
            ),
            self.via,
        )

    def receive(self, message: Message, source: Endpoint) -> None:
        self.envelopes.arrived.append(
            Received(message=message, source=source),
        )
        self.task._read()

    def settle(self) -> None:
        """Exchange datagrams until neither side has any to send."""
        moved = True
        while moved:
            self.clock.advance(STEP_SECONDS)
            self.wake()
            moved = self._exchange()

    def wake(self) -> None:
        """Wake the flows whose timers are due."""
        now = self.clock.now()
        for flow in self.task._flows:
            if flow.wakes_at is not None and flow.wakes_at <= now:
                self.task._wake(flow)

    def wait_for_timer(self) -> None:
        """Go past the time of the first timer, and wake its flow."""
        wakes_at = min(flow.wakes_at for flow in self.task._flows)
        passed = max(0, wakes_at - self.clock.now())
        self.clock.advance(passed + STEP_SECONDS)
        self.wake()

    async def counts(self) -> FlowCounts:
        asked = Reply()
        self.task.react(GetFlowCounts(reply=asked))
        return await asked.wait()

    def _exchange(self) -> bool:
        now = self.clock.now()
        answers, self.envelopes.sent = self.envelopes.sent, []
        for message, target in answers:
            if isinstance(message, ReplyDatagram):
                self.used.append(target)
                caller = self.callers[message.client]
                caller.receive(message.payload, now=now)
        sent = [
            (payload, endpoint)
            for endpoint, caller in self.callers.items()
            for payload in caller.send(now=now)
        ]
        for payload, endpoint in sent:
            self.deliver(payload, endpoint)
        return bool(answers or sent)


def times(counts: FlowCounts, name: str) -> int:
    """Return how often something happened."""
    return sum(count.times for count in counts.counts if count.name == name)


def in_loop(test):
    """Run an asynchronous test."""

    def run():
        asyncio.run(test())

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run
