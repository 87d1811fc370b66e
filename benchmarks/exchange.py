"""Measure the processor time of one exchange with an upstream.

The upstream is a minimal asyncio server in the same process, so the figures
include both ends. A plain h11 client of the same server is the baseline.
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
CLOSE_POLL_SECONDS = 0.01
RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
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
    """Run EXCHANGES exchanges one after another."""

    reactions = Registry(name='reactions of the benchmark')

    def __init__(self, *, endpoint: Endpoint, reuse_connections: bool) -> None:
        super().__init__(name='owner')
        self._endpoint = endpoint
        self._idle = IdleConnections()
        self._reuse_connections = reuse_connections
        self._remaining = EXCHANGES
        self._task: ExchangeTask | None = None

    async def open(self) -> None:
        """Start the first exchange."""
        self.start_next()

    def start_next(self) -> None:
        """Start the next exchange, or stop after the last."""
        if not self._remaining:
            self._idle.close()
            self.tell(Stop())
            return
        self._remaining -= 1
        clock = MonotonicClock()
        now = clock.now()
        request = Request(
            key=self._remaining,
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
            idle_connection=self._idle.acquire(KIND, now),
        )
        self.spawn(self._task.run(), name='exchange')
        self._task.tell(BodyPart(payload=b'', last=True))

    @reactions.add(ResponseHead)
    @reactions.add(BodyPartSent)
    def ignore(self, message: object) -> None:
        """Ignore the message."""

    @reactions.add(ResponseBody)
    def open_window(self, message: ResponseBody) -> None:
        """Allow the upstream to send more."""
        self._task.tell(WindowUpdate())

    @reactions.add(ConnectionReturned)
    def keep_connection(self, message: ConnectionReturned) -> None:
        """Keep the connection for reuse, or close it."""
        if self._reuse_connections:
            self._idle.keep(message.connection, MonotonicClock().now())
            return
        message.connection.close()

    @reactions.add(ResponseEnd)
    def end(self, message: ResponseEnd) -> None:
        """Start the next exchange."""
        self.start_next()


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the same response to every request head."""
    try:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(RESPONSE)
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def call_with_h11(endpoint: Endpoint) -> None:
    """Send the same requests over one connection, using only h11."""
    connection = HttpConnection(endpoint=endpoint)
    await connection.connect()
    head = h11.Request(
        method='GET',
        target='/order',
        headers=[('host', str(endpoint))],
    )
    remaining = EXCHANGES
    while remaining:
        await connection.send(head)
        await connection.send(h11.EndOfMessage())
        event = None
        while not isinstance(event, h11.EndOfMessage):
            event = await connection.receive()
        connection.start_next()
        remaining -= 1
    connection.close()


async def print_cost(label: str, work: Awaitable[None]) -> None:
    """Print the processor time per exchange."""
    started = time.process_time()
    await work
    spent = (time.process_time() - started) / EXCHANGES
    print(f'{label}: {spent * MICROSECONDS:.0f} us of processor time each')


async def measure() -> None:
    """Print the cost with h11, with a reused and with a new connection."""
    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    endpoint = Endpoint(host=HOST, port=port)
    print(f'{EXCHANGES} exchanges, both ends in one process')
    await print_cost('h11 alone, one connection', call_with_h11(endpoint))
    reusing = Owner(endpoint=endpoint, reuse_connections=True)
    await print_cost('exchange, idle connection', reusing.run())
    opening = Owner(endpoint=endpoint, reuse_connections=False)
    await print_cost('exchange, fresh connection', opening.run())
    server.close()
    while len(asyncio.all_tasks()) > 1:
        await asyncio.sleep(CLOSE_POLL_SECONDS)


if __name__ == '__main__':
    asyncio.run(measure())
