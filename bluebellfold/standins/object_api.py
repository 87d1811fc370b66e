"""Serve the object store of the platform stand-in, with faults."""

import asyncio
from collections import Counter
from typing import Any

from aiohttp import web

from bluebellfold.core import Endpoint, SettingsError
from bluebellfold.standins.object_calls import (
    LOSE_RESPONSES,
    STALE_READS,
    WRITE,
    WRITES,
    call_kind,
    calls,
)
from bluebellfold.standins.object_store import ObjectStore

SLOW_SECONDS = 'slow_seconds'
REFUSE = 'refuse'
# The next writes, this many, aren't answered and are executed later.
HOLD_WRITES = 'hold_writes'
# The methods of writes that are held, all by default.
HOLD_METHODS = 'hold_methods'
# The responses don't name the era of the store.
HIDE_ERA = 'hide_era'
ERA_HEADER = 'Store-Era'
LOOPBACK = '127.0.0.1'
# JSON escapes can make a request larger than its object of at most 1 MiB.
MAX_REQUEST_BYTES = 8_000_000
# Time limit for open watches when the server stops; 0 would mean no limit.
SHUTDOWN_SECONDS = 0.05
KIND_PATH = '/bluebellfold/objects/{kind}'
FAULTS = (
    SLOW_SECONDS,
    REFUSE,
    LOSE_RESPONSES,
    STALE_READS,
    HOLD_WRITES,
    HOLD_METHODS,
    HIDE_ERA,
)


class PlatformStandin:
    """Serve an in-memory object store.

    With port 0 ``start`` binds a free port, which ``endpoint`` then gives.
    """

    def __init__(self) -> None:
        self.store = ObjectStore()
        self._counts: Counter[str] = Counter()
        self._faults: dict[str, Any] = {}
        self._held: list[web.Request] = []
        self._runner = web.AppRunner(
            self._application(), shutdown_timeout=SHUTDOWN_SECONDS
        )
        self._endpoint = Endpoint(host=LOOPBACK, port=0)

    @property
    def endpoint(self) -> Endpoint:
        """Return the address that the server listens on."""
        return self._endpoint

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of received calls of each kind."""
        return dict(self._counts)

    async def start(self, *, host: str = LOOPBACK, port: int = 0) -> None:
        """Listen on the host and port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound = self._runner.addresses[0]
        self._endpoint = Endpoint(host=bound[0], port=bound[1])

    async def stop(self) -> None:
        """Close every connection."""
        await self._runner.cleanup()

    def inject(self, **faults: Any) -> None:
        """Set the given faults and wake the watches, which then apply them."""
        unknown = faults.keys() - FAULTS
        if unknown:
            raise SettingsError(
                problem=f'unknown fault of the platform stand-in: {unknown}',
                remedy=f'use some of {FAULTS}',
            )
        self._faults.update(faults)
        self.store.wake()

    async def execute_held(self) -> None:
        """Execute the held writes whose conditions still hold, in order."""
        while self._held:
            request = self._held.pop(0)
            await calls.find(call_kind(request))(self, request)

    def fault(self, name: str) -> Any:
        """Return the setting of a fault, or None."""
        return self._faults.get(name)

    def consume_fault(self, name: str) -> bool:
        """Return whether a counted fault occurs, and decrement its counter."""
        remaining = self._faults.get(name) or 0
        self._faults[name] = max(0, remaining - 1)
        return remaining > 0

    def raise_if_refusing(self) -> None:
        """Raise HTTPServiceUnavailable if the platform refuses calls."""
        if self.fault(REFUSE):
            raise web.HTTPServiceUnavailable

    async def serve_object(self, request: web.Request) -> web.StreamResponse:
        """Serve one call on an object after applying the faults."""
        kind = call_kind(request)
        self._counts[WRITE if kind in WRITES else kind] += 1
        # The write takes effect even if the client closes the connection
        # during the delay.
        await request.read()
        await self._apply_faults()
        held_methods = self.fault(HOLD_METHODS) or WRITES
        if kind in held_methods and self.consume_fault(HOLD_WRITES):
            self._held.append(request)
            return self._end_unanswered(request)
        return await calls.find(kind)(self, request)

    async def serve_calls(self, request: web.Request) -> web.Response:
        """Return the number of received calls of each kind."""
        return web.json_response(self.counts)

    async def serve_faults(self, request: web.Request) -> web.Response:
        """Set the faults given in the request body."""
        self.inject(**await request.json())
        return web.json_response(self._faults)

    def _end_unanswered(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def _name_era(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if not self.fault(HIDE_ERA):
            response.headers[ERA_HEADER] = str(self.store.era)

    async def _apply_faults(self) -> None:
        await asyncio.sleep(self.fault(SLOW_SECONDS) or 0)
        self.raise_if_refusing()

    def _application(self) -> web.Application:
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        application.on_response_prepare.append(self._name_era)
        application.add_routes(
            [
                web.get('/calls', self.serve_calls),
                web.put('/faults', self.serve_faults),
                web.route('*', KIND_PATH, self.serve_object),
                web.route('*', f'{KIND_PATH}/{{name}}', self.serve_object),
            ]
        )
        return application
