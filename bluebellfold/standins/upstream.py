"""Run the upstream stand-in, with configurable faults."""

import asyncio
import hashlib
import signal
import time
from collections import deque
from http import HTTPStatus
from typing import Any

import fire
from aiohttp import web

from bluebellfold.core import Record, read_only

MS_PER_SECOND = 1000
FEED_INTERVAL_SECONDS = 0.2
WAIT_TIMEOUT_SECONDS = 10
MAX_LOAD_CHANGES = 1000
CUT_STEPS = ('accept', 'head', 'body', 'before-answer', 'in-answer')
NO_CUT = ''
RUN_STEPS = ('arrived', 'begun', 'cancelled', 'finished')


class Faults(Record):
    """State the faults of the upstream.

    ``cut`` is the step at which connections are closed, ``slow_ms`` is
    added to the time of all work, ``shed`` refuses work, ``load_lag_ms`` is
    the age of the reported load, ``claimed_load`` replaces the reported
    load, and ``healthy`` is the result of the health check.
    """

    __slots__ = (
        '_claimed_load',
        '_cut',
        '_healthy',
        '_load_lag_ms',
        '_shed',
        '_slow_ms',
    )

    claimed_load: float | None = read_only('_claimed_load')
    healthy: bool = read_only('_healthy')
    cut: str = read_only('_cut')
    load_lag_ms: float = read_only('_load_lag_ms')
    shed: bool = read_only('_shed')
    slow_ms: float = read_only('_slow_ms')

    def __init__(
        self,
        *,
        cut: str = NO_CUT,
        slow_ms: float = 0,
        shed: bool = False,
        load_lag_ms: float = 0,
        claimed_load: float | None = None,
        healthy: bool = True,
    ) -> None:
        self._cut = cut
        self._slow_ms = slow_ms
        self._shed = shed
        self._load_lag_ms = load_lag_ms
        self._claimed_load = claimed_load
        self._healthy = healthy


class RunCount:
    """Count how often one request reached each step at this upstream."""

    __slots__ = ('_steps',)

    def __init__(self) -> None:
        self._steps = dict.fromkeys(RUN_STEPS, 0)

    def add(self, step: str) -> None:
        """Increment the count of the step."""
        self._steps[step] += 1

    def at(self, step: str) -> int:
        """Return how often the step was reached."""
        return self._steps[step]

    def as_json(self) -> dict[str, int]:
        """Return the counts by step name."""
        return dict(self._steps)


class RunRecord:
    """Hold the step counts of each request, by request id."""

    __slots__ = ('_changed', '_counts')

    def __init__(self) -> None:
        self._changed = asyncio.Event()
        self._counts: dict[str, RunCount] = {}

    def count_of(self, request_id: str) -> RunCount:
        """Return the counts of a request, creating them if needed."""
        return self._counts.setdefault(request_id, RunCount())

    def add(self, request_id: str, step: str) -> None:
        """Count that a request reached a step."""
        self.count_of(request_id).add(step)
        self._changed.set()

    async def wait_for(self, request_id: str, step: str) -> None:
        """Wait until a request has reached a step, or raise TimeoutError."""
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not self.count_of(request_id).at(step):
                self._changed.clear()
                await self._changed.wait()

    def as_json(self) -> dict[str, dict[str, int]]:
        """Return the counts by request id and step name."""
        return {
            request_id: count.as_json()
            for request_id, count in self._counts.items()
        }


class LoadHistory:
    """Record the slots in use over time, for load reports with a delay."""

    __slots__ = ('_changes', '_in_use')

    def __init__(self) -> None:
        self._in_use = 0
        self._changes: deque[tuple[float, int]] = deque(
            [(0, 0)],
            MAX_LOAD_CHANGES,
        )

    def update_in_use(self, slots_change: int) -> None:
        """Add to the number of slots in use; negative to release slots."""
        self._in_use += slots_change
        self._changes.append((time.monotonic(), self._in_use))

    def at(self, moment: float) -> int:
        """Return the number of slots in use at a monotonic time in seconds."""
        for changed_at, in_use in reversed(self._changes):
            if changed_at <= moment:
                return in_use
        return 0


class _AbortedConnection(asyncio.Protocol):
    """Abort each connection as soon as it is accepted."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Abort the connection."""
        transport.abort()


class UpstreamStandin:
    """Serve a feed and work requests over HTTP, and record each step."""

    def __init__(self, *, name: str, slots: int) -> None:
        self._name = name
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._faults = Faults()
        self._record = RunRecord()
        self._load_history = LoadHistory()
        self._server: asyncio.Server | None = None
        self._runner: web.AppRunner | None = None

    @property
    def record(self) -> RunRecord:
        """Return the step counts of all requests."""
        return self._record

    async def start(self, *, host: str, port: int) -> int:
        """Start listening and return the port."""
        application = web.Application(client_max_size=0)
        application.on_response_prepare.append(self._add_name_header)
        application.add_routes(
            [
                web.get('/feed', self._serve_feed),
                web.get('/record', self._serve_record),
                web.get('/load', self._serve_load),
                web.get('/health', self._serve_health),
                web.put('/faults', self._serve_faults),
                *[
                    web.post(path, self._serve_work)
                    for path in ('/order', '/batch', '/chunk', '/registration')
                ],
            ]
        )
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            shutdown_timeout=1,
        )
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_protocol, host, port
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the socket and stop the server."""
        self._server.close()
        await self._runner.cleanup()

    def update_faults(self, faults: Faults) -> None:
        """Apply these faults from now on."""
        self._faults = faults

    def _create_protocol(self) -> asyncio.BaseProtocol:
        if self._faults.cut == 'accept':
            return _AbortedConnection()
        return self._runner.server()

    async def _add_name_header(
        self,
        _request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        response.headers['upstream'] = self._name

    async def _serve_feed(self, request: web.Request) -> web.StreamResponse:
        lines = int(request.query.get('lines', 0))
        interval_ms = request.query.get('interval_ms')
        interval = FEED_INTERVAL_SECONDS
        if interval_ms is not None:
            interval = float(interval_ms) / MS_PER_SECOND
        response = web.StreamResponse()
        await response.prepare(request)
        number = 0
        while not lines or number < lines:
            await response.write(f'{self._name} {number}\n'.encode())
            number += 1
            await asyncio.sleep(interval)
        return response

    async def _serve_work(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get('request-id', '')
        self._record.add(request_id, 'arrived')
        if self._faults.shed:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={'bluebellfold-not-run': '1'},
            )
        self._cut_if_set('head', request)
        digest = await self._read_body(request)
        work_ms = float(request.query.get('work_ms', 0))
        self._record.add(request_id, 'begun')
        try:
            await self._hold_slot(work_ms + self._faults.slow_ms)
        except asyncio.CancelledError:
            self._record.add(request_id, 'cancelled')
            raise
        self._record.add(request_id, 'finished')
        self._cut_if_set('before-answer', request)
        return await self._respond(request, digest)

    async def _read_body(self, request: web.Request) -> str:
        digest = hashlib.sha256()
        async for part in request.content.iter_any():
            digest.update(part)
            self._cut_if_set('body', request)
        return digest.hexdigest()

    async def _hold_slot(self, work_ms: float) -> None:
        async with self._free_slots:
            self._load_history.update_in_use(1)
            try:
                await asyncio.sleep(work_ms / MS_PER_SECOND)
            finally:
                self._load_history.update_in_use(-1)

    async def _respond(
        self,
        request: web.Request,
        digest: str,
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(digest)
        await response.prepare(request)
        half = len(digest) // 2
        await response.write(digest[:half].encode())
        self._cut_if_set('in-answer', request)
        await response.write(digest[half:].encode())
        return response

    def _cut_if_set(self, step: str, request: web.Request) -> None:
        if self._faults.cut != step:
            return
        request.transport.abort()
        raise ConnectionResetError(f'connection aborted at step {step}')

    async def _serve_record(self, request: web.Request) -> web.Response:
        return web.json_response(self._record.as_json())

    async def _serve_load(self, request: web.Request) -> web.Response:
        if self._faults.claimed_load is not None:
            return web.json_response({'load': self._faults.claimed_load})
        lag_seconds = self._faults.load_lag_ms / MS_PER_SECOND
        in_use = self._load_history.at(time.monotonic() - lag_seconds)
        return web.json_response({'load': in_use / self._slots})

    async def _serve_health(self, request: web.Request) -> web.Response:
        return web.json_response({'healthy': self._faults.healthy})

    async def _serve_faults(self, request: web.Request) -> web.Response:
        fields: dict[str, Any] = await request.json()
        self.update_faults(Faults(**fields))
        return web.Response(status=HTTPStatus.NO_CONTENT)


async def _serve(host: str, port: int, name: str, slots: int) -> None:
    upstream = UpstreamStandin(name=name, slots=slots)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    await upstream.start(host=host, port=port)
    print('ready', flush=True)  # noqa: WPS421 - parent waits for it
    await stop_requested.wait()
    await upstream.stop()


def main(host: str, port: int, name: str, slots: int = 3) -> None:
    """Serve until SIGTERM."""
    asyncio.run(_serve(host, port, name, slots))


if __name__ == '__main__':
    fire.Fire(main)
