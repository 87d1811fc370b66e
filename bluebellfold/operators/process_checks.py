"""Validate the settings of a process against its site."""

from collections.abc import Iterator
from typing import Any

from bluebellfold.core import Process, Registry
from bluebellfold.ini.violation import (
    Violation,
    use_address_in,
    use_one_of,
)
from bluebellfold.operators.site_settings import SiteSettings

PROCESS = 'process'
PROCESS_CHECKS: Registry[str, Any] = Registry(name='checks of a process')


def validate_process(
    process: Process,
    settings: SiteSettings,
) -> Iterator[Violation]:
    """Yield the violations of every registered check, in order."""
    for key in PROCESS_CHECKS:
        yield from PROCESS_CHECKS.find(key)(process, settings)


@PROCESS_CHECKS.add('zone')
def check_zone(
    process: Process,
    settings: SiteSettings,
) -> Iterator[Violation]:
    """Yield a violation if the site does not have the zone."""
    site = settings.site
    if process.zone not in site.zones:
        yield process_violation(
            'zone',
            f'site {site.name} has no zone {process.zone}',
            use_one_of(site.zones),
        )


@PROCESS_CHECKS.add('service')
def check_service(
    process: Process,
    settings: SiteSettings,
) -> Iterator[Violation]:
    """Yield a violation if the site does not have the service."""
    site = settings.site
    services = tuple(service.name for service in site.services)
    if process.service and process.service not in services:
        yield process_violation(
            'service',
            f'site {site.name} has no service {process.service}',
            use_one_of(services),
        )


@PROCESS_CHECKS.add('addresses')
def check_addresses(
    process: Process,
    settings: SiteSettings,
) -> Iterator[Violation]:
    """Yield a violation for each address outside the site's networks."""
    if not settings.contains_address(process.host):
        yield _address_violation('host', process.host, settings)
    upstream = process.upstream
    if upstream is not None and not settings.contains_address(upstream.host):
        yield _address_violation('upstream', str(upstream), settings)


@PROCESS_CHECKS.add('datagram_port')
def check_datagram_port(
    process: Process,
    settings: SiteSettings,
) -> Iterator[Violation]:
    """Yield a violation if a kind of work uses the datagram port."""
    for kind in settings.site.kinds:
        if kind.port == process.datagram_port:
            yield process_violation(
                'datagram_port',
                f'port {kind.port} is taken by kind {kind.name}',
                'choose a port that no kind of work uses',
            )


def process_violation(key: str, problem: str, remedy: str) -> Violation:
    """Return a violation for one key of the process section."""
    return Violation(
        sections=(PROCESS,),
        key=key,
        problem=problem,
        remedy=remedy,
    )


def _address_violation(
    key: str, address: str, settings: SiteSettings
) -> Violation:
    return process_violation(
        key,
        f'{address} is not an address of this site',
        use_address_in(settings.networks),
    )
