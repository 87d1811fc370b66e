"""Probe the upstream's own health and load endpoints."""

import asyncio

import h11

from bluebellfold.core import (
    Actor,
    Clock,
    Endpoint,
    Message,
    Registry,
    read_only,
)
from bluebellfold.core.http import HttpConnection
from bluebellfold.upstreams.load_reports import parse_load_report

LOAD_PATH = '/load'
HEALTH_PATH = '/health'
PROBE_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 1.0
# Larger responses are ignored.
MAX_BODY_BYTES = 4096
OK_STATUS = 200


class UpstreamLoadReported(Message):
    """Report the load that the upstream states, from 0 to 1.

    ``requested_at`` is when the probe began, in seconds of the clock; the
    upstream may have measured the load earlier.
    """

    __slots__ = ('_load', '_requested_at')

    requested_at: float = read_only('_requested_at')
    load: float = read_only('_load')

    def __init__(self, *, load: float, requested_at: float) -> None:
        self._load = load
        self._requested_at = requested_at


class Probe(Message):
    """Probe the upstream now."""

    __slots__ = ()


class ProbeTask(Actor):
    """Probe the upstream periodically and report its load to the observer.

    Nothing is reported without a usable response: failing exchanges show
    whether the upstream is reachable.
    """

    reactions = Registry(name='reactions of the probe task')

    def __init__(
        self,
        *,
        upstream: Endpoint,
        observer: Actor,
        clock: Clock,
        interval_seconds: float = PROBE_INTERVAL_SECONDS,
    ) -> None:
        super().__init__(name='probe')
        self._upstream = upstream
        self._observer = observer
        self._clock = clock
        self._interval_seconds = interval_seconds
        self._timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Start the first probe at once."""
        self.tell(Probe())

    async def close(self) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
        await super().close()

    @reactions.add(Probe)
    def _probe(self, _message: Probe) -> None:
        self.spawn(self._run_probe(), name='ask')

    async def _run_probe(self) -> None:
        requested_at = self._clock.now()
        health_body = await self._fetch(HEALTH_PATH)
        load_body = await self._fetch(LOAD_PATH)
        load = parse_load_report(load_body, health_body)
        # Scheduled after the responses, so that slow probes do not overlap.
        self._timer = asyncio.get_running_loop().call_later(
            self._interval_seconds,
            self.tell,
            Probe(),
        )
        if load is not None:
            self._observer.tell(
                UpstreamLoadReported(load=load, requested_at=requested_at)
            )

    async def _fetch(self, path: str) -> bytes:
        connection = HttpConnection(endpoint=self._upstream)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                return await self._get(connection, path)
        except (OSError, TimeoutError, h11.ProtocolError):
            return b''
        finally:
            connection.abort()

    async def _get(self, connection: HttpConnection, path: str) -> bytes:
        await connection.connect()
        host = ('host', str(self._upstream))
        await connection.send(
            h11.Request(method='GET', target=path, headers=[host]),
        )
        await connection.send(h11.EndOfMessage())
        response = await connection.receive()
        if response.status_code != OK_STATUS:
            return b''
        return await _receive_body(connection)


async def _receive_body(connection: HttpConnection) -> bytes:
    body = bytearray()
    event = await connection.receive()
    while isinstance(event, h11.Data):
        body += event.data
        if len(body) > MAX_BODY_BYTES:
            return b''
        event = await connection.receive()
    return bytes(body)
