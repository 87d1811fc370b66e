"""Proxy connections to the platform, and silently drop their traffic."""

import asyncio

from bluebellfold.core import Endpoint

READ_BYTES = 65_536


class Blackhole:
    """Forward to an endpoint; ``drop_traffic`` blocks the open connections.

    Later connections are forwarded again. This simulates a network that
    reroutes traffic without resetting the old connections.
    """

    def __init__(self, *, endpoint):
        self._endpoint = endpoint
        self._generation = 0
        self._relays = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        bound = self._server.sockets[0].getsockname()
        return Endpoint(host=bound[0], port=bound[1])

    def drop_traffic(self):
        self._generation += 1

    async def stop(self):
        self._server.close()
        for relay in self._relays:
            relay.cancel()
        await asyncio.gather(*self._relays, return_exceptions=True)

    async def _accept(self, reader, writer):
        target = await asyncio.open_connection(
            self._endpoint.host,
            self._endpoint.port,
        )
        self._spawn(reader, target[1])
        self._spawn(target[0], writer)

    def _spawn(self, reader, writer):
        relay = self._relay(reader, writer, self._generation)
        self._relays.add(asyncio.ensure_future(relay))

    async def _relay(self, reader, writer, generation):
        received = await reader.read(READ_BYTES)
        while received:
            if generation == self._generation:
                writer.write(received)
            received = await reader.read(READ_BYTES)
        writer.close()
