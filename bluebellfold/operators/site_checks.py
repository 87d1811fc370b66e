"""Validate that the settings of a site are consistent."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from bluebellfold.core import Endpoint, Kind, Registry, Service
from bluebellfold.ini.violation import (
    Violation,
    use_address_in,
    use_one_of,
)
from bluebellfold.operators.site_settings import SiteSettings

WHOLE_SHARE = 1
# Sums are rounded before the comparison to remove binary rounding errors.
SHARE_DECIMALS = 6

SITE_CHECKS: Registry[str, Any] = Registry(name='checks of a site')


def validate_site_settings(settings: SiteSettings) -> Iterator[Violation]:
    """Yield the violations of every registered check, in order."""
    for name in SITE_CHECKS:
        yield from SITE_CHECKS.find(name)(settings)


@SITE_CHECKS.add('zones')
def check_zones(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each availability zone listed twice."""
    for zone in _duplicates(settings.site.zones):
        yield Violation(
            sections=('site',),
            key='zones',
            problem=f'zone {zone} is listed twice',
            remedy='list each availability zone once',
        )


@SITE_CHECKS.add('addresses')
def check_addresses(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each address outside the site's networks."""
    site = settings.site
    for balancer in site.balancers:
        yield from _check_endpoint(settings, 'balancers', balancer)
    yield from _check_endpoint(settings, 'platform', site.platform)


@SITE_CHECKS.add('balancers')
def check_balancers(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each balancer listed twice."""
    for endpoint in _duplicates(settings.site.balancers):
        yield Violation(
            sections=('site',),
            key='balancers',
            problem=f'{endpoint} is listed twice',
            remedy='give each balancer its own endpoint',
        )


@SITE_CHECKS.add('numbers')
def check_numbers(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each duplicate service or kind number."""
    yield from _check_unique('services', 'number', settings.site.services)
    yield from _check_unique('kinds', 'number', settings.site.kinds)


@SITE_CHECKS.add('ports')
def check_ports(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each kind of work with a duplicate port."""
    yield from _check_unique('kinds', 'port', settings.site.kinds)


@SITE_CHECKS.add('services')
def check_services(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each kind of work with an unknown service."""
    service_names = tuple(service.name for service in settings.site.services)
    for kind in settings.site.kinds:
        if kind.service in service_names:
            continue
        yield Violation(
            sections=('kinds', kind.name),
            key='service',
            problem=f'the site has no service {kind.service}',
            remedy=use_one_of(service_names),
        )


@SITE_CHECKS.add('shares')
def check_shares(settings: SiteSettings) -> Iterator[Violation]:
    """Yield a violation for each kind whose share raises a sum above 1."""
    totals: Counter[str] = Counter()
    for kind in settings.site.kinds:
        resource = f'{kind.holds}s of {kind.service}'
        totals[resource] += kind.share
        total = round(totals[resource], SHARE_DECIMALS)
        if total <= WHOLE_SHARE:
            continue
        yield Violation(
            sections=('kinds', kind.name),
            key='share',
            problem=f'the shares of {resource} add up to {total}',
            remedy='lower shares of its kinds until the sum is at most 1',
        )


def _check_endpoint(
    settings: SiteSettings,
    key: str,
    endpoint: Endpoint,
) -> Iterator[Violation]:
    if settings.contains_address(endpoint.host):
        return
    yield Violation(
        sections=('site',),
        key=key,
        problem=f'{endpoint} is not an address of this site',
        remedy=use_address_in(settings.networks),
    )


def _check_unique(
    section: str,
    key: str,
    entries: tuple[Service, ...] | tuple[Kind, ...],
) -> Iterator[Violation]:
    owners: dict[int, str] = {}
    for entry in entries:
        number = getattr(entry, key)
        owner = owners.setdefault(number, entry.name)
        if owner == entry.name:
            continue
        yield Violation(
            sections=(section, entry.name),
            key=key,
            problem=f'{key} {number} is taken by {owner}',
            remedy=f'choose a {key} that no other entry uses',
        )


def _duplicates(entries: tuple[Any, ...]) -> list[Any]:
    return [entry for entry, count in Counter(entries).items() if count > 1]
