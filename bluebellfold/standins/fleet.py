"""Run all processes of a site on loopback, for the demo and the tests."""

import asyncio
import os
import random
import sys
from collections.abc import Iterable
from pathlib import Path

from bluebellfold.core import Endpoint, Kind, Sentinel, Service
from bluebellfold.operators import (
    SiteSettings,
    StatusReport,
    fetch_all_statuses,
    load_site,
    new_keys,
)
from bluebellfold.standins.certificates import write_certificate
from bluebellfold.standins.child import Child
from bluebellfold.standins.lease_holder import LEASE_HELD_LINE

UPSTREAM_PORT = 8490
DATAGRAM_PORT = 8491
CONTROL_PORT = 8492
LEASED_OBJECT = 'leased'
READY_LINE = 'ready'
STARTED_EVENT = 'BBF0003'
SETTINGS = Path(__file__).parents[2] / 'settings'
_LOOPBACK_PREFIX = '127.0.0.'
_OCTET_LIMIT = 250
_MIN_OCTET = 1


class Fleet:
    """Own the processes of one site, with a directory for their files.

    The loopback addresses of the site are moved to a /24 network derived from
    the id of this process, so that several fleets can run at the same time.
    """

    def __init__(self, *, directory: Path, site: str) -> None:
        self._directory = directory
        self._address_prefix = _choose_address_prefix()
        self._base = SETTINGS / 'base.ini'
        self._overlay = self._relocate_overlay(SETTINGS / f'{site}.ini')
        self._children: dict[str, Child] = {}
        self._zones: dict[str, str] = {}
        self._next_host = 100
        self._keys_file = directory / 'keys.ini'
        new_keys(str(self._keys_file))
        write_certificate(directory)

    @property
    def base(self) -> Path:
        """Return the path of the base settings file."""
        return self._base

    @property
    def overlay(self) -> Path:
        """Return the path of the site's overlay."""
        return self._overlay

    @property
    def keys_file(self) -> Path:
        """Return the path of the key file that all processes share."""
        return self._keys_file

    @property
    def directory(self) -> Path:
        """Return the directory of the settings and the logs."""
        return self._directory

    @property
    def settings(self) -> SiteSettings:
        """Return the settings of the site, read from the files each time."""
        return load_site(self._base, self._overlay)

    @property
    def children(self) -> tuple[Child, ...]:
        """Return all processes that were started."""
        return tuple(self._children.values())

    def child(self, name: str) -> Child:
        """Return a process by its name."""
        return self._children[name]

    def addresses(self, kind: str) -> tuple[Endpoint, ...]:
        """Return the balancer addresses at which clients send a kind."""
        site = self.settings.site
        port = site.kind_named(kind).port
        return tuple(
            Endpoint(host=balancer.host, port=port)
            for balancer in site.balancers
        )

    def address_of(self, balancer: str, kind: str) -> Endpoint:
        """Return the address of one balancer for a kind."""
        definition: Kind = self.settings.site.kind_named(kind)
        return Endpoint(host=self.child(balancer).host, port=definition.port)

    async def start_platform(self) -> Child:
        """Start the platform stand-in."""
        platform = self.settings.site.platform
        return await self._start(
            'platform',
            platform.host,
            _standin_command(
                'platform',
                host=platform.host,
                port=platform.port,
            ),
            READY_LINE,
        )

    async def start_balancer(self, index: int, *, name: str = '') -> Child:
        """Start the balancer with this index in the settings."""
        settings = self.settings
        control = settings.site.balancers[index]
        zones = settings.site.zones
        position = index + 1
        name = name or f'balancer-{position}'
        settings_path = self._write_process_settings(
            name,
            zone=zones[index % len(zones)],
            host=control.host,
            control_port=control.port,
        )
        return await self._start_role(
            'balancer', name, control.host, settings_path
        )

    async def start_upstream(
        self,
        service: str,
        name: str,
        *,
        host: str = '',
    ) -> Child:
        """Start an upstream stand-in, by default on a new host."""
        host = host or self._allocate_host()
        definition: Service = self.settings.site.service_named(service)
        return await self._start(
            name,
            host,
            _standin_command(
                'upstream',
                host=host,
                port=UPSTREAM_PORT,
                name=name,
                slots=definition.slots,
            ),
            READY_LINE,
        )

    async def start_agent(
        self,
        service: str,
        name: str,
        *,
        zone: str,
        generation: int = 0,
        weight: float = 1,
    ) -> Child:
        """Start the agent on the host of a running upstream.

        Each ``generation`` uses different ports on the same host.
        """
        host = self.child(name).host
        self._zones[name] = zone
        agent = f'agent-{name}'
        if generation:
            agent = f'{agent}-{generation}'
        settings_path = self._write_process_settings(
            agent,
            zone=zone,
            host=host,
            control_port=CONTROL_PORT + 2 * generation,
            datagram_port=DATAGRAM_PORT + 2 * generation,
            service=service,
            upstream=f'{host}:{UPSTREAM_PORT}',
            certificate='certificate.pem',
            private_key='key.pem',
            weight=weight,
        )
        return await self._start_role('agent', agent, host, settings_path)

    async def start_lease_holder(
        self,
        name: str,
        *,
        duration_seconds: float,
    ) -> Child:
        """Start a lease holder and wait until it holds the lease."""
        platform = self.settings.site.platform
        return await self._start(
            name,
            platform.host,
            _standin_command(
                'lease_holder',
                host=platform.host,
                port=platform.port,
                name=LEASED_OBJECT,
                holder=name,
                duration_seconds=duration_seconds,
            ),
            LEASE_HELD_LINE,
        )

    async def start_service(self, service: str, count: int = 0) -> None:
        """Start upstreams and their agents, distributed over the zones."""
        site = self.settings.site
        count = count or site.service_named(service).upstreams
        names = [f'{service}-{position}' for position in range(1, count + 1)]
        await asyncio.gather(
            *(self.start_upstream(service, name) for name in names),
        )
        await asyncio.gather(
            *(
                self.start_agent(
                    service,
                    name,
                    zone=site.zones[index % len(site.zones)],
                )
                for index, name in enumerate(names)
            ),
        )

    @property
    def upstream_zones(self) -> tuple[tuple[str, str], ...]:
        """Return the name and zone of each upstream that has an agent."""
        return tuple(self._zones.items())

    async def wait_for_members(self) -> None:
        """Wait until every balancer lists every agent that was started."""
        agents = {f'agent-{name}' for name, _zone in self.upstream_zones}
        balancers = self.settings.site.balancers
        known: frozenset[str] = frozenset()
        while not agents <= known:
            reports = await fetch_all_statuses(balancers)
            known = _known_to_all(reports)

    async def stop(self) -> None:
        """Kill all processes and wait until they have exited."""
        for child in self.children:
            child.kill()
        await asyncio.gather(*map(Child.wait, self.children))

    def _allocate_host(self) -> str:
        self._next_host += 1
        return ''.join((self._address_prefix, str(self._next_host)))

    def _relocate_overlay(self, source: Path) -> Path:
        target = self._directory / source.name
        text = source.read_text(encoding='utf-8')
        networks = f'{_LOOPBACK_PREFIX}0/8'
        masked = text.replace(networks, '{networks}')
        relocated = masked.replace(_LOOPBACK_PREFIX, self._address_prefix)
        target.write_text(
            relocated.replace('{networks}', networks),
            encoding='utf-8',
        )
        return target

    def _write_process_settings(self, name: str, **settings: object) -> Path:
        path = self._directory.joinpath(f'{name}.ini')
        lines = ['[process]', f'name = {name}']
        lines.extend(
            ' = '.join((key, str(setting))) for key, setting in settings.items()
        )
        if 'datagram_port' not in settings:
            lines.append(f'datagram_port = {DATAGRAM_PORT}')
        keys_name = self._keys_file.name
        lines.append(f'keys_file = {keys_name}')
        path.write_text('\n'.join((*lines, '')), encoding='utf-8')
        return path

    async def _start_role(
        self,
        role: str,
        name: str,
        host: str,
        settings_path: Path,
    ) -> Child:
        return await self._start(
            name,
            host,
            (
                '-m',
                'bluebellfold.operators.command',
                role,
                str(self._base),
                str(self._overlay),
                str(settings_path),
            ),
            STARTED_EVENT,
        )

    async def _start(
        self,
        name: str,
        host: str,
        arguments: tuple[str, ...],
        ready_text: str,
    ) -> Child:
        child = Child(name=name, host=host, ready=ready_text)
        self._children[name] = child
        await child.start(
            (sys.executable, *arguments),
            log=self._directory.joinpath(f'{name}.log'),
        )
        return child


def _known_to_all(
    reports: Iterable[StatusReport | Sentinel],
) -> frozenset[str]:
    known = [
        {member.name for member in report.members} if report else set()
        for report in reports
    ]
    return frozenset(set.intersection(*known))


def _standin_command(standin: str, **options: object) -> tuple[str, ...]:
    command = ['-m', f'bluebellfold.standins.{standin}']
    for name, option in options.items():
        command.extend((f'--{name}', str(option)))
    return tuple(command)


def _choose_address_prefix() -> str:
    rng = random.Random(os.getpid())
    second = rng.randrange(_MIN_OCTET, _OCTET_LIMIT)
    third = rng.randrange(_MIN_OCTET, _OCTET_LIMIT)
    return f'127.{second}.{third}.'
