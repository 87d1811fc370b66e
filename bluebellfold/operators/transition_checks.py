"""Validate the change from the configuration in force to a new one.

Tokens and envelopes in transit contain the numbers of services and kinds,
and clients know the ports. While processes have different configurations in
force, a number or port must have the same meaning in all of them.
"""

from collections.abc import Iterator
from typing import Any

from bluebellfold.core import Registry, Site
from bluebellfold.ini.violation import Violation

TRANSITION_CHECKS: Registry[str, Any] = Registry(name='checks of a transition')


def validate_transition(
    current: Site,
    proposed: Site,
) -> Iterator[Violation]:
    """Yield the violations of every registered check, in order."""
    for name in TRANSITION_CHECKS:
        yield from TRANSITION_CHECKS.find(name)(current, proposed)


@TRANSITION_CHECKS.add('site')
def check_site(current: Site, proposed: Site) -> Iterator[Violation]:
    """Yield a violation if the name of the site differs."""
    if current.name != proposed.name:
        yield Violation(
            sections=('site',),
            key='name',
            problem=f'the configuration in force is for site {current.name}',
            remedy='apply the overlay of that site',
        )


@TRANSITION_CHECKS.add('services')
def check_services(current: Site, proposed: Site) -> Iterator[Violation]:
    """Yield a violation for each service that reuses another's number."""
    return _check_not_reused('services', 'number', current, proposed)


@TRANSITION_CHECKS.add('kinds')
def check_kinds(current: Site, proposed: Site) -> Iterator[Violation]:
    """Yield a violation for each kind that reuses another's number or port."""
    yield from _check_not_reused('kinds', 'number', current, proposed)
    yield from _check_not_reused('kinds', 'port', current, proposed)


@TRANSITION_CHECKS.add('moves')
def check_moves(current: Site, proposed: Site) -> Iterator[Violation]:
    """Yield a violation for each kind of work that changes its service."""
    services = {kind.name: kind.service for kind in current.kinds}
    for kind in proposed.kinds:
        service = services.get(kind.name, kind.service)
        if service == kind.service:
            continue
        yield Violation(
            sections=('kinds', kind.name),
            key='service',
            problem=f'its open flows belong to {service}',
            remedy='add a kind with another name, number and port instead',
        )


def _check_not_reused(
    section: str,
    key: str,
    current: Site,
    proposed: Site,
) -> Iterator[Violation]:
    names: dict[int, str] = {
        getattr(entry, key): entry.name for entry in getattr(current, section)
    }
    for entry in getattr(proposed, section):
        number = getattr(entry, key)
        name = names.get(number, entry.name)
        if name == entry.name:
            continue
        yield Violation(
            sections=(section, entry.name),
            key=key,
            problem=f'{key} {number} belongs to {name} in the version in force',
            remedy=f'choose a {key} that was never used',
        )
