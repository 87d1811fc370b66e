"""Inject failures into a fleet and wait for status reports, in tests."""

import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from bluebellfold.core import Endpoint, Record, Sentinel, read_only
from bluebellfold.operators import StatusReport, fetch_all_statuses
from bluebellfold.standins.control_requests import (
    send_control_request,
    send_upstream_request,
)
from bluebellfold.standins.fleet import (
    CONTROL_PORT,
    Fleet,
)
from bluebellfold.standins.quic_client import ClientFlow, FlowResponse

# Longer than any time limit that the tests check, so that a hang fails.
WAIT_TIMEOUT_SECONDS = 15.0

Reports = tuple[StatusReport | Sentinel, ...]


class CommandResult(Record):
    """Hold the exit code and the output of a command line."""

    __slots__ = ('_code', '_output')

    code: int = read_only('_code')
    output: str = read_only('_output')

    def __init__(self, *, code: int, output: str) -> None:
        self._code = code
        self._output = output


class FleetHarness:
    """Control the processes of a fleet by name."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet

    @property
    def fleet(self) -> Fleet:
        """Return the fleet."""
        return self._fleet

    async def start_balancers(self) -> None:
        """Start every balancer of the site."""
        balancers = self._fleet.settings.site.balancers
        await asyncio.gather(
            *map(self._fleet.start_balancer, range(len(balancers))),
        )

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform stand-in."""
        await self._request_platform(
            '/faults', 'PUT', json.dumps(faults).encode()
        )

    async def platform_call_counts(self) -> dict[str, int]:
        """Return the number of calls of each kind received by the platform."""
        return json.loads(await self._request_platform('/calls', 'GET', b''))

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self._fleet.child(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self._fleet.child(name).send_signal(signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        child = self._fleet.child(name)
        child.kill()
        await child.wait()

    async def reports(self, *names: str) -> Reports:
        """Return the status reports of the named balancers and agents."""
        return await fetch_all_statuses(map(self._control_endpoint_of, names))

    async def wait_for(
        self,
        condition: Callable[[Any], bool],
        *names: str,
        seconds: float = WAIT_TIMEOUT_SECONDS,
    ) -> float:
        """Wait until all named reports satisfy the condition.

        Returns the elapsed seconds, or raises TimeoutError.
        """
        started_at = time.monotonic()
        async with asyncio.timeout(seconds):
            while not _all_satisfy(condition, await self.reports(*names)):
                # Replies arrive immediately: let other tasks run between polls.
                await asyncio.sleep(0)
        return time.monotonic() - started_at

    async def run_command(self, *arguments: str) -> CommandResult:
        """Run a command line until it exits."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bluebellfold.operators.command',
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return CommandResult(code=process.returncode, output=output.decode())

    def flow(self, kind: str, *balancers: str, seed: int = 1) -> ClientFlow:
        """Return a flow of a client to the named balancers, or to all."""
        addresses: tuple[Endpoint, ...] = tuple(
            self._fleet.address_of(name, kind) for name in balancers
        )
        return ClientFlow(
            balancers=addresses or self._fleet.addresses(kind),
            seed=seed,
        )

    async def send_request(
        self,
        kind: str,
        request_id: str,
        *balancers: str,
        seed: int = 1,
        path: str = '',
    ) -> FlowResponse:
        """Send one request on a new flow and return the response.

        The default of ``path`` is the name of the kind.
        """
        flow = self.flow(kind, *balancers, seed=seed)
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                return await _open_and_send(flow, path or kind, request_id)
        finally:
            flow.close()

    async def run_counts(self, upstream: str) -> dict[str, dict[str, int]]:
        """Return the step counts that an upstream recorded, by request id."""
        return json.loads(
            await send_upstream_request(self._fleet, upstream, '/record')
        )

    async def _request_platform(
        self, path: str, method: str, body: bytes
    ) -> bytes:
        site = self._fleet.settings.site
        return await send_control_request(
            self._fleet.child('platform'),
            site.platform.port,
            path,
            method=method,
            body=body,
        )

    def _control_endpoint_of(self, name: str) -> Endpoint:
        host = self._fleet.child(name).host
        site = self._fleet.settings.site
        for balancer in site.balancers:
            if balancer.host == host:
                return balancer
        return Endpoint(host=host, port=CONTROL_PORT)


async def send_on_flow(
    flow: ClientFlow, path: str, request_id: str
) -> FlowResponse:
    """Send one request on a flow and return the complete response."""
    return await flow.request(
        'POST',
        f'/{path}',
        fields=(('request-id', request_id),),
        body=request_id.encode(),
    )


async def _open_and_send(
    flow: ClientFlow,
    path: str,
    request_id: str,
) -> FlowResponse:
    await flow.connect()
    return await send_on_flow(flow, path, request_id)


def _all_satisfy(condition: Callable[[Any], bool], reports: Reports) -> bool:
    return all(report and condition(report) for report in reports)
