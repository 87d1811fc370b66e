"""Run a site on loopback with clients, and check its guarantees."""

import asyncio
import hashlib
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import fire

from bluebellfold.core import CONNECTION, Kind
from bluebellfold.standins.fleet import Fleet
from bluebellfold.standins.quic_client import (
    ClientFlow,
    FlowBrokenError,
    FlowResponse,
)
from scripts.demo_report import DemoReport

BALANCERS = 3
STREAMS = 28
STREAM_SECONDS = 8.0
REQUESTS_PER_KIND = 40
MAX_CONCURRENT_REQUESTS = 6
MAX_BODY_BYTES = 60_000
MEMBERSHIP_TIMEOUT_SECONDS = 15.0
WORK_MS = 20
SEED_BITS = 32


class StreamChecker:
    """Check that the lines of a stream arrive in sequence."""

    def __init__(self) -> None:
        self._next_number = 0
        self._sequence_errors = 0
        self._upstream = ''

    @property
    def upstream(self) -> str:
        """Return the name of the upstream that serves the stream."""
        return self._upstream

    @property
    def sequence_errors(self) -> int:
        """Return the number of lines that arrived out of sequence."""
        return self._sequence_errors

    async def follow(self, flow: ClientFlow) -> None:
        """Read the stream until it ends, or raise FlowBrokenError."""
        await flow.connect()
        async for line in flow.lines('/feed'):
            self._upstream, number = line.split()  # noqa: WPS414
            self._sequence_errors += int(number) != self._next_number
            self._next_number += 1


class Demo:
    """Own the fleet of one run and its report."""

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._report = DemoReport()

    async def run(self) -> bool:
        """Run the demo and return whether all guarantees held."""
        started_at = time.monotonic()
        await self._start()
        _print_progress('processes started', started_at)
        streams = [
            asyncio.create_task(self._hold_stream(kind))
            for kind in self._kinds(streaming=True)
            for _ in range(STREAMS)
        ]
        requests = [
            self._send_requests(kind) for kind in self._kinds(streaming=False)
        ]
        await asyncio.gather(*requests)
        _print_progress('all requests completed', started_at)
        await asyncio.gather(*streams)
        _print_progress('all streams closed', started_at)
        await self._report.check_records(self._fleet)
        self._report.print_table()
        return not self._report.violations

    async def _start(self) -> None:
        await self._fleet.start_platform()
        await asyncio.gather(
            *(self._fleet.start_balancer(index) for index in range(BALANCERS)),
        )
        await asyncio.gather(
            *(
                self._fleet.start_service(service.name)
                for service in self._fleet.settings.site.services
            ),
        )
        async with asyncio.timeout(MEMBERSHIP_TIMEOUT_SECONDS):
            await self._fleet.wait_for_members()

    def _kinds(self, *, streaming: bool) -> tuple[Kind, ...]:
        return tuple(
            kind
            for kind in self._fleet.settings.site.kinds
            if (kind.holds == CONNECTION) is streaming
        )

    async def _hold_stream(self, kind: Kind) -> None:
        """Keep a stream open for STREAM_SECONDS and check its lines."""
        flow = self._open_flow(kind)
        checker = StreamChecker()
        try:
            await asyncio.wait_for(checker.follow(flow), STREAM_SECONDS)
        except TimeoutError:
            self._report.record_stream(kind.name, checker.upstream)
        except FlowBrokenError as error:
            self._report.record_violation(f'stream broken: {error}')
        if checker.sequence_errors:
            self._report.record_violation(
                f'lines out of sequence: {checker.sequence_errors}'
            )
        flow.close()

    async def _send_requests(self, kind: Kind) -> None:
        limiter = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        await asyncio.gather(
            *(
                self._send_request(kind, f'{kind.name}-{number}', limiter)
                for number in range(REQUESTS_PER_KIND)
            ),
        )

    async def _send_request(
        self,
        kind: Kind,
        name: str,
        limiter: asyncio.Semaphore,
    ) -> None:
        body = self._random.randbytes(
            self._random.randrange(1, MAX_BODY_BYTES),
        )
        async with limiter:
            flow = self._open_flow(kind)
            try:
                response = await _request(flow, f'/{kind.name}', name, body)
            except (FlowBrokenError, TimeoutError) as error:
                self._report.record_violation(
                    f'{name}: no complete response: {error}'
                )
                return
            finally:
                flow.close()
        digest = hashlib.sha256(body).hexdigest().encode()
        self._report.record_response(
            kind.name, name, response, expected_body=digest
        )

    def _open_flow(self, kind: Kind) -> ClientFlow:
        return ClientFlow(
            balancers=self._fleet.addresses(kind.name),
            seed=self._random.getrandbits(SEED_BITS),
        )


async def _request(
    flow: ClientFlow,
    path: str,
    name: str,
    body: bytes,
) -> FlowResponse:
    await flow.connect()
    return await flow.request(
        'POST',
        f'{path}?work_ms={WORK_MS}',
        fields=(('request-id', name),),
        body=body,
    )


def _print_progress(text: str, started_at: float) -> None:
    seconds = round(time.monotonic() - started_at, 1)
    sys.stdout.write(f'{seconds} s: {text}\n')
    sys.stdout.flush()


async def _keep_running(fleet: Fleet) -> None:
    """Keep the site running until SIGINT or SIGTERM."""
    files = f'--base {fleet.base} --site {fleet.overlay}'
    sys.stdout.write(
        '\nthe site keeps running until Ctrl-C; in another terminal:\n'
        f'  .venv/bin/bluebellfold status {files}\n'
        f'  .venv/bin/bluebellfold drain agent-NAME {files} --wait\n',
    )
    sys.stdout.flush()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(stop_signal, stop_requested.set)
    await stop_requested.wait()


async def _run(site: str, seed: int, *, hold: bool) -> bool:
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), site=site)
        try:
            return await _run_demo(fleet, seed, hold=hold)
        finally:
            await fleet.stop()


async def _run_demo(fleet: Fleet, seed: int, *, hold: bool) -> bool:
    succeeded = await Demo(fleet=fleet, seed=seed).run()
    if hold:
        await _keep_running(fleet)
    return succeeded


def main(site: str = 'marrinup', seed: int = 1, hold: bool = False) -> None:
    """Run the demo; exit with 1 if a guarantee was violated.

    Args:
        site: Name of the overlay in settings/.
        seed: Seed of the request bodies and of the fabric.
        hold: Keep the site running until Ctrl-C.
    """
    sys.exit(0 if asyncio.run(_run(site, seed, hold=hold)) else 1)


if __name__ == '__main__':
    fire.Fire(main)
