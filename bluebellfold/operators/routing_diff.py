"""List the differences from the configuration in force, sorted by risk."""

from collections.abc import Iterator
from enum import IntEnum

from bluebellfold.core import Record, read_only
from bluebellfold.platform import Configuration


class Risk(IntEnum):
    """Order differences by what they do to open and new flows."""

    removed_route = 1
    removed_service = 2
    changed_service = 3
    lowered_limit = 4
    changed_route = 5
    added = 6
    raised_limit = 7


class Difference(Record):
    """Name a changed route, service or limit, and the effect."""

    __slots__ = ('_effect', '_name', '_risk')

    effect: str = read_only('_effect')
    name: str = read_only('_name')
    risk: Risk = read_only('_risk')

    def __init__(self, *, risk: Risk, name: str, effect: str) -> None:
        self._risk = risk
        self._name = name
        self._effect = effect


Differences = Iterator[Difference]


def compare_configurations(
    current: Configuration, wanted: Configuration
) -> tuple[Difference, ...]:
    """Return the differences, those with the highest risk first.

    None are returned if a field of either document is unreadable: the entry
    with it would count as removed or added.
    """
    if current.problems or wanted.problems:
        return ()
    found = (
        *_compare_routes(current, wanted),
        *_compare_services(current, wanted),
        *_compare_limits(current, wanted),
    )
    return tuple(sorted(found, key=_sort_key))


def _compare_routes(
    current: Configuration, wanted: Configuration
) -> Differences:
    old = {entry.route.name: entry for entry in current.routes}
    new = {entry.route.name: entry for entry in wanted.routes}
    added = new.keys() - old.keys()
    added_by_address = {new[name].route.address: name for name in added}
    for name in old.keys() - new.keys():
        successor = added_by_address.get(old[name].route.address)
        if successor is None:
            yield Difference(
                risk=Risk.removed_route,
                name=f'route {name}',
                effect='removed: its open flows are dropped',
            )
        else:
            added.discard(successor)
            yield Difference(
                risk=Risk.changed_route,
                name=f'route {name}',
                effect=f'renamed to {successor}: new flows follow its fields',
            )
    for name in added:
        yield Difference(risk=Risk.added, name=f'route {name}', effect='added')
    for name in old.keys() & new.keys():
        if old[name].route.address != new[name].route.address:
            yield Difference(
                risk=Risk.removed_route,
                name=f'route {name}',
                effect='moved: open flows of the old address are dropped',
            )
        elif not old[name].has_same_fields(new[name]):
            yield Difference(
                risk=Risk.changed_route,
                name=f'route {name}',
                effect='changed: new flows follow the new fields',
            )


def _compare_services(
    current: Configuration, wanted: Configuration
) -> Differences:
    old = {entry.service.name: entry.fields for entry in current.services}
    new = {entry.service.name: entry.fields for entry in wanted.services}
    for name in old.keys() - new.keys():
        yield Difference(
            risk=Risk.removed_service,
            name=f'service {name}',
            effect='removed: its limits no longer apply',
        )
    for name in new.keys() - old.keys():
        yield Difference(
            risk=Risk.added, name=f'service {name}', effect='added'
        )
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            yield Difference(
                risk=Risk.changed_service,
                name=f'service {name}',
                effect='changed: its upstreams follow the new fields',
            )


def _compare_limits(
    current: Configuration, wanted: Configuration
) -> Differences:
    for name in current.limits.keys() | wanted.limits.keys():
        old, new = current.limits.get(name), wanted.limits.get(name)
        if old == new:
            continue
        risk = Risk.lowered_limit
        if new is None:
            effect = 'removed'
        elif old is None:
            effect = f'added: {new}'
        elif new < old:
            effect = f'lowered to {new}'
        else:
            risk, effect = Risk.raised_limit, f'raised to {new}'
        yield Difference(risk=risk, name=f'limit {name}', effect=effect)


def _sort_key(difference: Difference) -> tuple[Risk, str]:
    return difference.risk, difference.name
