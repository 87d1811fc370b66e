"""Measure the processor time of one exchange with an upstream.

The upstream is a few lines of asyncio in the same process, so that the
figures hold both ends; the same upstream called by h11 alone is the naive
version beside it.
"""

import asyncio
import time
from collections.abc import Awaitable

import h11

from bluebellfold.core import (
    SLOT,
    Actor,
    Endpoint,
    Kind,
    MonotonicClock,
    Registry,
    Stop,
)
from bluebellfold.core.http import HttpConnection
from bluebellfold.upstreams import (
    BodyPart,
    BodyPartSent,
    ConnectionReturned,
    ExchangeTask,
    IdleConnections,
    Request,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    WindowUpdate,
)

HOST = '127.0.0.1'
EXCHANGES = 2000
MICROSECONDS = 1_000_000
LAST_READ_SECONDS = 0.01
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
KIND = Kind(
    name='order',
    number=1,
    service='counter',
    port=7001,
    urgency=0,
    share=1,
    repeatable=True,
    holds=SLOT,
    queue_seconds=1,
    deadline_seconds=30,
    first_flights_per_second=1000,
)


class Owner(Actor):
    """Start one exchange after the other."""

    reactions = Registry(name='reactions of the benchmark')

    def __init__(self, *, endpoint: Endpoint, reuses: bool) -> None:
        super().__init__(name='owner')
        self._endpoint = endpoint
        self._idle = IdleConnections()
        self._reuses = reuses
        self._left = EXCHANGES
        self._task: ExchangeTask | None = None

    async def open(self) -> None:
        """Start the first exchange."""
        self.start_next()

    def start_next(self) -> None:
        """Start an exchange, or end after the last."""
        if not self._left:
            self._idle.close()
            self.tell(Stop())
            return
        self._left -= 1
        clock = MonotonicClock()
        now = clock.now()
        request = Request(
            key=self._left,
            kind=KIND,
            method='GET',
            path='/order',
            fields=(),
            arrived_at=now,
            deadline_at=now + KIND.deadline_seconds,
        )
        self._task = ExchangeTask(
            request=request,
            owner=self,
            endpoint=self._endpoint,
            clock=clock,
            idle=self._idle.acquire(KIND, now),
        )
        self.spawn(self._task.run(), name='exchange')
        self._task.tell(BodyPart(payload=b'', last=True))

    @reactions.add(ResponseHead)
    @reactions.add(BodyPartSent)
    def ignore(self, message: object) -> None:
        """Need nothing of the message."""

    @reactions.add(ResponseBody)
    def acknowledge(self, message: ResponseBody) -> None:
        """Ask for more."""
        self._task.tell(WindowUpdate())

    @reactions.add(ConnectionReturned)
    def keep(self, message: ConnectionReturned) -> None:
        """Keep the connection, or close it."""
        if self._reuses:
            self._idle.keep(message.connection, MonotonicClock().now())
            return
        message.connection.close()

    @reactions.add(ResponseEnd)
    def end(self, message: ResponseEnd) -> None:
        """Go on with the next exchange."""
        self.start_next()


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer each head with the same bytes."""
    try:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(ANSWER)
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def call_naively(endpoint: Endpoint) -> None:
    """Send the same requests over one connection, with h11 alone."""
    connection = HttpConnection(endpoint=endpoint)
    await connection.connect()
    head = h11.Request(
        method='GET',
        target='/order',
        headers=[('host', str(endpoint))],
    )
    left = EXCHANGES
    while left:
        await connection.send(head)
        await connection.send(h11.EndOfMessage())
        event = None
        while not isinstance(event, h11.EndOfMessage):
            event = await connection.receive()
        connection.start_next()
        left -= 1
    connection.close()


async def spend(way: str, work: Awaitable[None]) -> None:
    """Print what the work spends for each exchange."""
    started = time.process_time()
    await work
    spent = (time.process_time() - started) / EXCHANGES
    print(f'{way}: {spent * MICROSECONDS:.0f} us of processor time each')


async def measure() -> None:
    """Print a row for each way."""
    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    endpoint = Endpoint(host=HOST, port=port)
    print(f'{EXCHANGES} exchanges, both ends in one process')
    await spend('h11 alone, one connection', call_naively(endpoint))
    reusing = Owner(endpoint=endpoint, reuses=True)
    await spend('exchange, idle connection', reusing.run())
    opening = Owner(endpoint=endpoint, reuses=False)
    await spend('exchange, fresh connection', opening.run())
    server.close()
    while len(asyncio.all_tasks()) > 1:
        await asyncio.sleep(LAST_READ_SECONDS)


if __name__ == '__main__':
    asyncio.run(measure())
