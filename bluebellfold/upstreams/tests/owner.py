"""Provide request kinds, requests and an exchange owner for tests."""

import asyncio
from collections.abc import Iterable

from bluebellfold.core import (
    CONNECTION,
    SLOT,
    Actor,
    Endpoint,
    Kind,
    MonotonicClock,
    Registry,
    Service,
    Stop,
)
from bluebellfold.core.http import HttpConnection
from bluebellfold.upstreams import (
    BodyPart,
    BodyPartSent,
    ConnectionReturned,
    ExchangeTask,
    HeaderField,
    Outcome,
    Request,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    WindowUpdate,
)

LONG_SECONDS = 30.0
COUNTER = Service(
    name='counter',
    number=1,
    upstreams=7,
    slots=3,
    connections=2000,
)
ORDER = Kind(
    name='order',
    number=1,
    service='counter',
    port=7001,
    urgency=0,
    share=0.5,
    repeatable=False,
    holds=SLOT,
    queue_seconds=1.0,
    deadline_seconds=5.0,
    first_flights_per_second=1000,
)
FEED = ORDER.replace(name='feed', number=2, repeatable=True, holds=CONNECTION)
BATCH = ORDER.replace(name='batch', number=3, urgency=2, share=0.2)
STOCK = ORDER.replace(name='stock', number=4, urgency=1, share=0.3)


def request_of(
    kind: Kind,
    key: str,
    *,
    method: str = 'POST',
    path: str = '/order',
    now: float = 0,
    seconds: float = LONG_SECONDS,
) -> Request:
    return Request(
        key=key,
        kind=kind,
        method=method,
        path=path,
        fields=(HeaderField(name='request-id', text=key),),
        arrived_at=now,
        deadline_at=now + seconds,
    )


def live_request(kind: Kind, key: str, **fields: object) -> Request:
    """Return a request that arrives now, by the monotonic clock."""
    return request_of(kind, key, now=MonotonicClock().now(), **fields)


def parts_of(payloads: Iterable[bytes]) -> list[BodyPart]:
    parts = [BodyPart(payload=payload, last=False) for payload in payloads]
    return [*parts, BodyPart(payload=b'', last=True)]


class Owner(Actor):
    """Collect the messages of an exchange and acknowledge response parts."""

    reactions = Registry(name='reactions of the test owner')

    def __init__(self, *, acknowledges: bool = True) -> None:
        super().__init__(name='owner')
        self.task: ExchangeTask | None = None
        self.running_task: asyncio.Task[None] | None = None
        self.status = 0
        self.fields = ()
        self.response_body = b''
        self.response_parts = 0
        self.connection: HttpConnection | None = None
        self.outcomes: list[Outcome] = []
        self.ended = asyncio.Event()
        self.head_received = asyncio.Event()
        self.part_received = asyncio.Event()
        self.body_window = asyncio.Semaphore(16)
        self._acknowledges = acknowledges

    async def start(
        self,
        request: Request,
        endpoint: Endpoint,
        idle: HttpConnection | None = None,
    ) -> None:
        self.task = ExchangeTask(
            request=request,
            owner=self,
            endpoint=endpoint,
            clock=MonotonicClock(),
            idle_connection=idle,
        )
        self.running_task = asyncio.ensure_future(
            asyncio.wait_for(
                asyncio.gather(self.run(), self.task.run()),
                LONG_SECONDS,
            ),
        )

    async def send(self, *payloads: bytes) -> None:
        for part in parts_of(payloads):
            await self.body_window.acquire()  # noqa: WPS476 - in order
            self.task.tell(part)

    async def wait_for_outcome(self) -> Outcome:
        await self.running_task
        assert len(self.outcomes) == 1
        return self.outcomes[0]

    @reactions.add(ResponseHead)
    def _store_head(self, message: ResponseHead) -> None:
        assert not self.status
        self.status = message.status
        self.fields = message.fields
        self.head_received.set()

    @reactions.add(ResponseBody)
    def _store_body(self, message: ResponseBody) -> None:
        assert self.status
        self.response_body += message.payload
        self.response_parts += 1
        self.part_received.set()
        if self._acknowledges:
            self.task.tell(WindowUpdate())

    @reactions.add(BodyPartSent)
    def _release_body_window(self, message: BodyPartSent) -> None:
        self.body_window.release()

    @reactions.add(ConnectionReturned)
    def _store_connection(self, message: ConnectionReturned) -> None:
        self.connection = message.connection

    @reactions.add(ResponseEnd)
    def _store_outcome(self, message: ResponseEnd) -> None:
        self.outcomes.append(message.outcome)
        self.tell(Stop())
