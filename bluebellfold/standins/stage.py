"""Bring about failures in a fleet, and wait for what it reports."""

import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from bluebellfold.core import Endpoint, Record, Sentinel, read_only
from bluebellfold.operators import StatusReport, ask_all
from bluebellfold.standins.asking import ask_standin, ask_upstream
from bluebellfold.standins.caller import CallerAnswer, CallerFlow
from bluebellfold.standins.fleet import (
    CONTROL_PORT,
    Fleet,
)

# Longer than any wait that a promise allows: a hang shows as a failure.
PATIENCE_SECONDS = 15.0

Reports = tuple[StatusReport | Sentinel, ...]


class Command(Record):
    """Hold how a command line ended, and what it showed."""

    __slots__ = ('_code', '_shown')

    code: int = read_only('_code')
    shown: str = read_only('_shown')

    def __init__(self, *, code: int, shown: str) -> None:
        self._code = code
        self._shown = shown


class Stage:
    """Act on the processes of a fleet by name."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet

    @property
    def fleet(self) -> Fleet:
        """Return the fleet that is acted on."""
        return self._fleet

    async def start_balancers(self) -> None:
        """Start every balancer of the site."""
        balancers = self._fleet.settings.site.balancers
        await asyncio.gather(
            *map(self._fleet.start_balancer, range(len(balancers))),
        )

    async def break_platform(self, **faults: Any) -> None:
        """Set faults of the platform's stand-in."""
        await self._ask_platform('/faults', 'PUT', json.dumps(faults).encode())

    async def platform_calls(self) -> dict[str, int]:
        """Return how many calls of each kind the platform has counted."""
        return json.loads(await self._ask_platform('/calls', 'GET', b''))

    def freeze(self, name: str) -> None:
        """Stop a process without its knowing."""
        self._fleet.child(name).send(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        self._fleet.child(name).send(signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """End a process at once, and return when it has ended."""
        child = self._fleet.child(name)
        child.kill()
        await child.wait()

    async def reports(self, *names: str) -> Reports:
        """Return the status of the named balancers and agents."""
        return await ask_all(map(self._control_of, names))

    async def wait_for(
        self,
        is_reached: Callable[[Any], bool],
        *names: str,
        seconds: float = PATIENCE_SECONDS,
    ) -> float:
        """Return after how many seconds all reports show it.

        Raise TimeoutError when they do not in time.
        """
        started_at = time.monotonic()
        async with asyncio.timeout(seconds):
            while not _all_show(is_reached, await self.reports(*names)):
                # A process in this state answers at once: let others run.
                await asyncio.sleep(0)
        return time.monotonic() - started_at

    async def command(self, *arguments: str) -> Command:
        """Run a command line on the site's files to its end."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bluebellfold.operators.command',
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        shown, _ = await process.communicate()
        return Command(code=process.returncode, shown=shown.decode())

    def flow(self, kind: str, *balancers: str, seed: int = 1) -> CallerFlow:
        """Return a caller's flow, sprayed over the named balancers or all."""
        addresses: tuple[Endpoint, ...] = tuple(
            self._fleet.address_of(name, kind) for name in balancers
        )
        return CallerFlow(
            balancers=addresses or self._fleet.addresses(kind),
            seed=seed,
        )

    async def ask(
        self,
        kind: str,
        request_id: str,
        *balancers: str,
        seed: int = 1,
        path: str = '',
    ) -> CallerAnswer:
        """Send one request on a flow of its own, return the answer.

        ``path`` is the kind's name by default.
        """
        flow = self.flow(kind, *balancers, seed=seed)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                return await _open_and_send(flow, path or kind, request_id)
        finally:
            flow.close()

    async def runs(self, upstream: str) -> dict[str, dict[str, int]]:
        """Return the upstream's own record of what it ran."""
        return json.loads(await ask_upstream(self._fleet, upstream, '/record'))

    async def _ask_platform(self, path: str, method: str, body: bytes) -> bytes:
        site = self._fleet.settings.site
        return await ask_standin(
            self._fleet.child('platform'),
            site.platform.port,
            path,
            method=method,
            body=body,
        )

    def _control_of(self, name: str) -> Endpoint:
        host = self._fleet.child(name).host
        site = self._fleet.settings.site
        for balancer in site.balancers:
            if balancer.host == host:
                return balancer
        return Endpoint(host=host, port=CONTROL_PORT)


async def send(flow: CallerFlow, path: str, request_id: str) -> CallerAnswer:
    """Send one request on a flow, return the whole answer."""
    return await flow.request(
        'POST',
        f'/{path}',
        fields=(('request-id', request_id),),
        body=request_id.encode(),
    )


async def _open_and_send(
    flow: CallerFlow,
    path: str,
    request_id: str,
) -> CallerAnswer:
    await flow.connect()
    return await send(flow, path, request_id)


def _all_show(is_reached: Callable[[Any], bool], reports: Reports) -> bool:
    return all(report and is_reached(report) for report in reports)
