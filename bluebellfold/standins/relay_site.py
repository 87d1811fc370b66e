"""Run relay processes on loopback, with stand-ins for their peers."""

import asyncio
import itertools
import json
import sys
from collections.abc import AsyncIterator, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus
from pathlib import Path
from typing import Any

from bluebellfold.core import Endpoint, PlatformUnavailableError
from bluebellfold.core.http_client import (
    ClientRequest,
    ClientResponse,
    HttpClient,
)
from bluebellfold.standins.child import Child
from bluebellfold.standins.object_api import PlatformStandin
from bluebellfold.standins.object_store import ObjectStore
from bluebellfold.standins.packets import SERVICE
from bluebellfold.standins.relay_peers import StandinClient, StandinUpstream

STARTED_EVENT = 'BBF0003'
DATAGRAM_PORT = 28_172
PEER_PORT = 28_720
READINESS_PORT = 28_167
OUTBOUND_PORT = 28_162
CONTROL_PORT = 28_166
UPSTREAM_PORT = 28_080
METRICS_PORT = 28_464
COPIES_PORT = 28_721
# A site names the hosts of its first balancers as seeds, even of missing ones.
SEED_COUNT = 3
ANNOUNCEMENT_INTERVAL_MS = 300
REQUEST_TIMEOUT_SECONDS = 2.0
IDLE_MS = 15_000
UPSTREAM_START_MS = 1_760_000_000_000
SERVICE_NAME = 'counter'

BALANCER_SETTINGS = """
[process]
name = {name}
zone = {zone}
regions = '{{"a": "north"}}'
[balancer]
callers = {host}:{datagram}
agents = {host}:{peer}
peers = {host}:{copies}
seeds = '{seeds}'
readiness = {host}:{readiness}
metrics = {host}:{metrics}
[bounds]
evacuate_milliseconds = 5000
[store]
address = {store}
"""
AGENT_SETTINGS = """
[process]
name = {name}
zone = {zone}
[agent]
datagrams = {host}:{datagram}
outbound = {host}:{outbound}
upstream = {host}:{upstream}
service = counter
announcements = {host}:{control}
announcement_milliseconds = {announcement_interval}
readiness = {host}:{readiness}
metrics = {host}:{metrics}
[store]
address = {store}
"""


def make_configuration(
    version: int,
    *ports: int,
    idle_ms: int = IDLE_MS,
    warmup_rate: float = 0,
    allowed_regions: tuple[str, ...] = (),
) -> dict:
    """Return a configuration with one route for each port of the service.

    A cold upstream takes ``warmup_rate`` new flows per second, 0: no limit.
    """
    routes = [
        {
            'Name': f'r-{port}',
            'Hostname': SERVICE[0],
            'PathPrefix': f'/{port}/',
            'Type': 'idempotent',
            'TimeoutMs': 3000,
            'TargetLatencyMs': 200,
            'Priority': 1,
            'Service': SERVICE_NAME,
            'AllowedRegions': list(allowed_regions),
        }
        for port in ports
    ]
    return {
        'Version': version,
        'Routes': routes,
        'Services': [{'Name': SERVICE_NAME, 'WarmupPerS': warmup_rate}],
        'Limits': {'IdleTimeoutMs': idle_ms},
    }


class RelaySite:
    """Run a platform store, balancers, and upstreams with one agent each.

    All hosts are in 127.``net``.0.0/16, so that sites with different values
    of ``net`` can run at the same time.
    """

    agent_settings = AGENT_SETTINGS
    warmup_rate: float = 0
    # Ports of the routes, and the zones of the processes, in turn.
    ports: tuple[int, ...] = (SERVICE[1],)
    zones: tuple[str, ...] = ('a',)

    def __init__(self, *, folder: Path, net: int = 0) -> None:
        self._net = net
        self.platform = PlatformStandin()
        self.balancers: list[Child] = []
        self.agents: list[Child] = []
        self.upstreams: list[StandinUpstream] = []
        self._folder = folder
        # Includes processes that never became ready.
        self._started: list[Child] = []
        self._stack = AsyncExitStack()
        self._counter = itertools.count()
        self._clients = itertools.count(1)
        self._sequences = itertools.count(1)

    @property
    def store(self) -> ObjectStore:
        """Return the object store of the platform."""
        return self.platform.store

    @asynccontextmanager
    async def running(
        self, *, balancers: int, agents: int
    ) -> AsyncIterator[None]:
        """Run the site; stop all processes on exit."""
        self._stack.push_async_callback(self._end_children)
        async with self._stack:
            await self._start_all(balancers, agents)
            yield

    def announcements(self) -> list[Coroutine[Any, Any, int]]:
        """Return one coroutine for each upstream that announces it."""
        return [self.announce(number) for number in range(len(self.upstreams))]

    async def start_balancer(self, host: str) -> Child:
        """Start a balancer and wait until it is ready."""
        return await self._start('balancer', host, BALANCER_SETTINGS)

    async def start_agent(self, host: str) -> Child:
        """Start an agent and wait until it is ready."""
        return await self._start('agent', host, self.agent_settings)

    def client(self, *, balancer_index: int | None = None) -> StandinClient:
        """Return a client.

        Its packets go to all balancers in turn, or to the one with the index
        ``balancer_index``.
        """
        client = StandinClient(
            host=f'127.{self._net}.64.{next(self._clients)}',
            port=DATAGRAM_PORT,
            route=lambda: self._route(balancer_index),
        )
        self._stack.callback(client.close)
        return client

    async def store_endpoint(self, host: str) -> Endpoint:
        """Return the store address that the process on a host uses."""
        return self.platform.endpoint

    def restart_upstream(self, index: int) -> StandinUpstream:
        """Start an upstream again at the same address, without its flows."""
        previous = self.upstreams[index]
        upstream = StandinUpstream(
            name=previous.name,
            endpoint=Endpoint(host=self._agent_host(index), port=UPSTREAM_PORT),
            outbound=Endpoint(host=self._agent_host(index), port=OUTBOUND_PORT),
        )
        upstream.on_request = previous.on_request
        upstream.work_seconds = previous.work_seconds
        self.upstreams[index] = upstream
        self._stack.callback(upstream.close)
        return upstream

    async def announce(
        self,
        number: int,
        *,
        state: str = 'ready',
        born: int = UPSTREAM_START_MS,
        warmup_ms: int = 0,
    ) -> int:
        """Announce an upstream and return the status of the response.

        ``born`` is the start time of the upstream in milliseconds, and
        ``warmup_ms`` how long it is still cold.
        """
        host = self._agent_host(number)
        body = {
            'Service': SERVICE_NAME,
            'Address': f'{host}:{UPSTREAM_PORT}',
            'Zone': self.zone(number),
            'Version': 'v1',
            'Concurrency': 2,
            'State': state,
            'WarmupLeftMs': warmup_ms,
            'Sequence': next(self._sequences),
            'born': born,
        }
        response = await self._send_request(
            host,
            CONTROL_PORT,
            ClientRequest(
                method='POST',
                target=f'/bluebellfold/Instances.Heartbeat/i-{number}',
                body=json.dumps(body).encode(),
            ),
        )
        return response.status

    def zone(self, number: int) -> str:
        """Return the zone of an agent or a balancer."""
        return self.zones[number % len(self.zones)]

    async def deregister(self, number: int) -> None:
        """Deregister an upstream."""
        request = ClientRequest(
            method='POST',
            target=f'/bluebellfold/Instances.Deregister/i-{number}',
        )
        await self._send_request(
            self._agent_host(number), CONTROL_PORT, request
        )

    async def is_ready(self, host: str) -> bool:
        """Return whether a balancer accepts new flows."""
        request = ClientRequest(method='GET', target='/bluebellfold/ready')
        try:
            response = await self._send_request(host, READINESS_PORT, request)
        except PlatformUnavailableError:
            # The HTTP client treats a 503 as an unavailable endpoint.
            return False
        return response.status == HTTPStatus.OK

    async def metrics(self, host: str) -> str:
        """Return the metrics page of a process."""
        request = ClientRequest(method='GET', target='/metrics')
        return (
            await self._send_request(host, METRICS_PORT, request)
        ).body.decode()

    async def _end_children(self) -> None:
        for running in self._started:
            running.kill()
        await asyncio.gather(*(child.wait() for child in self._started))

    async def _start_all(self, balancers: int, agents: int) -> None:
        await self.platform.start()
        self._stack.push_async_callback(self.platform.stop)
        self.store.put(
            'config',
            'main',
            make_configuration(1, *self.ports, warmup_rate=self.warmup_rate),
        )
        for number in range(agents):
            self._add_upstream(number)
        self.agents = await asyncio.gather(
            *(
                self.start_agent(self._agent_host(each))
                for each in range(agents)
            )
        )
        self.balancers = await asyncio.gather(
            *(
                self.start_balancer(self._balancer_host(each))
                for each in range(balancers)
            )
        )
        await asyncio.gather(*self.announcements())

    def _add_upstream(self, index: int) -> None:
        host = self._agent_host(index)
        upstream = StandinUpstream(
            name=f'upstream-{index}',
            endpoint=Endpoint(host=host, port=UPSTREAM_PORT),
            outbound=Endpoint(host=host, port=OUTBOUND_PORT),
        )
        self.upstreams.append(upstream)
        self._stack.callback(upstream.close)

    def _route(self, balancer_index: int | None) -> tuple[str, int]:
        number = (
            next(self._counter) if balancer_index is None else balancer_index
        )
        balancer = self.balancers[number % len(self.balancers)]
        return (balancer.host, DATAGRAM_PORT)

    async def _start(self, role: str, host: str, settings: str) -> Child:
        name = f'{role}-{host}-{next(self._counter)}'
        path = self._folder / f'{name}.ini'
        path.write_text(
            settings.format(
                name=name,
                zone=self.zone(int(host.rpartition('.')[2])),
                host=host,
                datagram=DATAGRAM_PORT,
                peer=PEER_PORT,
                copies=COPIES_PORT,
                seeds=json.dumps(self._seeds()),
                readiness=READINESS_PORT,
                outbound=OUTBOUND_PORT,
                control=CONTROL_PORT,
                upstream=UPSTREAM_PORT,
                metrics=METRICS_PORT,
                announcement_interval=ANNOUNCEMENT_INTERVAL_MS,
                store=await self.store_endpoint(host),
            ),
            encoding='utf-8',
        )
        child = Child(name=name, host=host, ready=STARTED_EVENT)
        self._started.append(child)
        command = (
            sys.executable,
            '-m',
            f'bluebellfold.daemons.relay_{role}',
            str(path),
        )
        await child.start(command, log=self._folder / f'{name}.log')
        return child

    async def _send_request(
        self, host: str, port: int, request: ClientRequest
    ) -> ClientResponse:
        client = HttpClient(endpoint=Endpoint(host=host, port=port))
        try:
            return await client.send_request(
                request, timeout_seconds=REQUEST_TIMEOUT_SECONDS
            )
        finally:
            client.close()

    def _seeds(self) -> list[str]:
        return [
            f'{self._balancer_host(number)}:{COPIES_PORT}'
            for number in range(SEED_COUNT)
        ]

    def _agent_host(self, number: int) -> str:
        return f'127.{self._net}.2.{number}'

    def _balancer_host(self, number: int) -> str:
        return f'127.{self._net}.1.{number}'
