"""Harness that runs a flows task without sockets, on a manual clock."""

import asyncio
from collections.abc import Iterator

from bluebellfold.agents import ClientDatagram, FlowAssigner, ReplyDatagram
from bluebellfold.callers.quic.envelopes import ReceivedMessage
from bluebellfold.callers.quic.flows import FlowsTask
from bluebellfold.callers.quic.messages import (
    FlowCounts,
    GetFlowCounts,
    ServiceChanged,
)
from bluebellfold.callers.quic.tests.flow_harness import (
    AGENT,
    BALANCER,
    CLIENT,
    FEED,
    SERVICE,
    STEP_SECONDS,
    Client,
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
    """In-memory substitute for the agent's socket."""

    def __init__(self) -> None:
        self.arrived: list[ReceivedMessage] = []
        self.sent: list[tuple[Message, Endpoint]] = []

    def receive(self) -> Iterator[ReceivedMessage]:
        arrived, self.arrived = self.arrived, []
        return iter(arrived)

    def send(self, message: Message, target: Endpoint) -> bool:
        self.sent.append((message, target))
        return True

    def close(self) -> None:
        """Do nothing."""


class FakeRequests:
    """Substitute for the requests task that records its messages."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def tell(self, message: Message) -> None:
        self.messages.append(message)

    def of_type(self, message_type: type[Message]) -> list[Message]:
        return [
            message
            for message in self.messages
            if isinstance(message, message_type)
        ]


class FlowsTaskHarness:
    """Connect clients to a flows task through the balancer ``via``."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.envelopes = FakeEnvelopes()
        self.requests = FakeRequests()
        self.clients: dict[Endpoint, Client] = {}
        self.reply_targets: list[Endpoint] = []
        self.via = BALANCER
        self.task = FlowsTask(
            envelopes=self.envelopes,
            opener=opener_at(),
            assigner=FlowAssigner(member=MEMBER, service=COUNTER),
            service=ServiceChanged(
                service=COUNTER,
                kinds=(FEED,),
                members=(MEMBER,),
            ),
            requests=self.requests,
            traces=NoTraces(),
            clock=self.clock,
        )

    def add(self, client: Client) -> Endpoint:
        """Add a client and return its endpoint."""
        endpoint = CLIENT.replace(port=CLIENT.port + len(self.clients))
        self.clients[endpoint] = client
        return endpoint

    def connect(self) -> Client:
        """Return a new client whose handshake with the task is complete."""
        client = Client()
        self.add(client)
        self.exchange_all()
        return client

    def deliver(self, payload: bytes, client: Endpoint = CLIENT) -> None:
        self.receive(
            ClientDatagram(
                address=FEED.number,
                client=client,
                payload=payload,
                candidates=(AGENT,),
            ),
            self.via,
        )

    def receive(self, message: Message, source: Endpoint) -> None:
        self.envelopes.arrived.append(
            ReceivedMessage(message=message, source=source),
        )
        self.task._read_messages()

    def exchange_all(self) -> None:
        """Exchange datagrams until neither side has any to send."""
        exchanged = True
        while exchanged:
            self.clock.advance(STEP_SECONDS)
            self.handle_timers()
            exchanged = self._exchange()

    def handle_timers(self) -> None:
        """Run the flow timers that are due."""
        now = self.clock.now()
        for flow in self.task._flows:
            if flow.next_timer_at is not None and flow.next_timer_at <= now:
                self.task._handle_timer(flow)

    def run_next_timer(self) -> None:
        """Advance the clock past the first flow timer and run it."""
        timer_at = min(flow.next_timer_at for flow in self.task._flows)
        remaining = max(0, timer_at - self.clock.now())
        self.clock.advance(remaining + STEP_SECONDS)
        self.handle_timers()

    async def counts(self) -> FlowCounts:
        reply = Reply()
        self.task.handle_message(GetFlowCounts(reply=reply))
        return await reply.wait()

    def _exchange(self) -> bool:
        now = self.clock.now()
        replies, self.envelopes.sent = self.envelopes.sent, []
        for message, target in replies:
            if isinstance(message, ReplyDatagram):
                self.reply_targets.append(target)
                client = self.clients[message.client]
                client.receive(message.payload, now=now)
        sent = [
            (payload, endpoint)
            for endpoint, client in self.clients.items()
            for payload in client.send(now=now)
        ]
        for payload, endpoint in sent:
            self.deliver(payload, endpoint)
        return bool(replies or sent)


def count_of(counts: FlowCounts, name: str) -> int:
    """Return the count with this name."""
    return sum(count.times for count in counts.counts if count.name == name)


def in_loop(test):
    """Turn an asynchronous test into a synchronous one."""

    def run():
        asyncio.run(test())

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run
