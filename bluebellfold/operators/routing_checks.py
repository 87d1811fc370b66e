"""Find unreadable fields, and entries of a configuration that never match.

Addresses the load that a wrong configuration causes: routes that lead nowhere
are refused at every balancer within a second of the submission.
"""

from collections import Counter
from collections.abc import Iterator

from bluebellfold.operators.check_rules import CheckInput, Findings, rule
from bluebellfold.operators.findings import Finding, Severity
from bluebellfold.platform import (
    DOCUMENT_ROOT,
    RouteEntry,
    index_path,
    join_path,
)
from bluebellfold.platform import configuration_fields as document

ERROR = Severity.error
WARNING = Severity.warning


@rule('RC100', ERROR, 'the file is no JSON object')
def check_root(checked: CheckInput) -> Findings:
    """Yield a document without any field to read."""
    for problem in checked.configuration.problems:
        if problem.path == DOCUMENT_ROOT:
            yield Finding(
                path=problem.path,
                expected=problem.expected,
                remedy='correct the syntax; settings need an overlay as well',
            )


@rule('RC101', ERROR, 'a field is missing, of the wrong type or out of range')
def check_fields(checked: CheckInput) -> Findings:
    """Yield each field that is unusable."""
    for problem in checked.configuration.problems:
        if problem.path == DOCUMENT_ROOT:
            continue
        yield Finding(
            path=problem.path,
            expected=problem.expected,
            remedy='correct or add the field',
        )


@rule('RC102', ERROR, 'the version is not above that in force')
def check_version(checked: CheckInput) -> Findings:
    """Yield the version if processes would ignore it as outdated."""
    version = checked.configuration.version
    in_force = None if checked.current is None else checked.current.version
    if version is None or in_force is None:
        return
    if version <= in_force:
        yield Finding(
            path=document.VERSION.key,
            expected=f'a number above {in_force}',
            remedy='start from the version in force and raise the number',
        )


@rule('RC103', WARNING, 'the version in force is unreadable in part')
def check_current(checked: CheckInput) -> Findings:
    """Yield the document in force if the comparison with it is partial."""
    if checked.current is None or not checked.current.problems:
        return
    yield Finding(
        path=checked.current.problems[0].path,
        expected='a version in force that is readable',
        remedy='compare by hand: no differences are shown',
    )


@rule('RC104', WARNING, 'a field has a name that is not known')
def check_unknown(checked: CheckInput) -> Findings:
    """Yield each field that is ignored, such as a misspelt optional one."""
    for path in checked.configuration.unknown_paths:
        yield Finding(
            path=path,
            expected='the name of a known field',
            remedy='correct the name, or remove the field',
        )


@rule('RC105', WARNING, 'an address is not written as four decimal numbers')
def check_addresses(checked: CheckInput) -> Findings:
    """Yield each address that a reader may take for another one."""
    for entry in checked.configuration.routes:
        if not entry.decimal_address:
            yield Finding(
                path=entry.path_of(document.ADDRESS),
                expected='four decimal numbers without leading zeros',
                remedy='write the address out, such as 10.0.0.1',
            )


@rule('RC201', ERROR, 'a route is shadowed by another on the same address')
def check_shadowed(checked: CheckInput) -> Findings:
    """Yield each route that can never match: the last one is used."""
    last: dict[bytes, RouteEntry] = {
        entry.route.address: entry for entry in checked.configuration.routes
    }
    for entry in checked.configuration.routes:
        winner = last[entry.route.address]
        used = winner.path
        if winner is not entry:
            yield Finding(
                path=entry.path,
                expected=f'an address and port other than those of {used}',
                remedy='remove one of the routes, or change its port',
            )


@rule('RC202', ERROR, 'two routes or two services have the same name')
def check_names(checked: CheckInput) -> Findings:
    """Yield each entry with the name of an earlier one."""
    configuration = checked.configuration
    yield from _find_repeated(
        (entry.path, entry.route.name) for entry in configuration.routes
    )
    yield from _find_repeated(
        (entry.path, entry.service.name) for entry in configuration.services
    )


@rule('RC203', ERROR, 'all shares of a route have weight 0')
def check_all_shares(checked: CheckInput) -> Findings:
    """Yield each route that sends flows to no service."""
    for entry in checked.configuration.routes:
        if not any(share.weight for share in entry.route.shares):
            yield Finding(
                path=entry.path_of(document.SPLIT),
                expected='a weight above 0',
                remedy='give a service a weight, or remove the route',
            )


@rule('RC204', WARNING, 'a share of a route has weight 0')
def check_shares(checked: CheckInput) -> Findings:
    """Yield each share that receives no flows beside others that do."""
    for entry in checked.configuration.routes:
        shares = entry.route.shares
        if not any(share.weight for share in shares):
            continue
        for index, share in enumerate(shares):
            if share.weight == 0:
                yield Finding(
                    path=index_path(entry.path_of(document.SPLIT), index),
                    expected='a weight above 0',
                    remedy='remove the share, or give it a weight',
                )


@rule('RC205', ERROR, 'a route leads to a service that is not listed')
def check_missing_services(checked: CheckInput) -> Findings:
    """Yield each route to a missing service."""
    listed = checked.configuration.listed_services
    if listed is None:
        return
    for entry in checked.configuration.routes:
        for share in entry.route.shares:
            name = share.service
            if name not in listed:
                yield Finding(
                    path=entry.path,
                    expected=f'a listed service, not {name}',
                    remedy='add the service, or correct its name',
                )


@rule('RC206', WARNING, 'a service has no route')
def check_unused_services(checked: CheckInput) -> Findings:
    """Yield each service that no route leads to."""
    used = checked.configuration.routed_services
    if used is None:
        return
    for entry in checked.configuration.services:
        name = entry.service.name
        if name not in used:
            yield Finding(
                path=entry.path,
                expected=f'a route to {name}',
                remedy='add a route, or remove the service',
            )


@rule('RC207', ERROR, 'no home region of a route has an upstream')
def check_regions(checked: CheckInput) -> Findings:
    """Yield each route whose regions are all unknown, if any are given."""
    if not checked.regions:
        return
    known = ', '.join(sorted(checked.regions))
    for entry in checked.configuration.routes:
        wanted = entry.route.allowed_regions
        if wanted and not wanted & checked.regions:
            yield Finding(
                path=entry.path_of(document.REGIONS),
                expected=f'one of {known}',
                remedy='name a region with upstreams, or remove the field',
            )


def _find_repeated(named: Iterator[tuple[str, str]]) -> Findings:
    counts: Counter[str] = Counter()
    for path, name in named:
        counts[name] += 1
        if counts[name] > 1:
            yield Finding(
                path=join_path(path, document.NAME.key),
                expected=f'a name other than {name}, which is taken',
                remedy='rename one of the entries',
            )
