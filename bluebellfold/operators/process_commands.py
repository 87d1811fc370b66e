"""Run the commands that show the status of a site and drain a process."""

import asyncio
from itertools import chain

from bluebellfold.core import BluebellfoldError, Endpoint, Site
from bluebellfold.operators.control_client import (
    fetch_all_statuses,
    request_drain,
    wait_until_unreachable,
)
from bluebellfold.operators.exit_codes import FAILED, SUCCEEDED
from bluebellfold.operators.invocation import write_error, write_output
from bluebellfold.operators.report_json import format_json
from bluebellfold.operators.settings import load_site
from bluebellfold.operators.site_status import (
    SiteStatus,
    collect_reports,
    control_endpoint_of,
    fetch_site_status,
)
from bluebellfold.operators.tables import (
    count_table,
    group_table,
    process_table,
)

# Time to close the remaining flows after the drain deadline.
STOP_MARGIN_SECONDS = 5.0


class UnknownProcessError(BluebellfoldError):
    """Report that no process of the site has the given name."""

    __slots__ = ()


class NoReplyError(BluebellfoldError):
    """Report that a process did not reply to a control call."""

    __slots__ = ()


async def show_status(base: str, overlay: str, *, as_json: bool) -> int:
    """Write the status of each process; fail if any is unreachable."""
    site_status = await fetch_site_status(load_site(base, overlay).site)
    if as_json:
        _write_json(site_status)
    else:
        _write_tables(site_status)
    for endpoint in site_status.unreachable:
        write_error(f'{endpoint} did not answer')
    return FAILED if site_status.unreachable else SUCCEEDED


async def drain_process(
    name: str,
    base: str,
    overlay: str,
    *,
    deadline_seconds: float | None,
    wait: bool,
) -> int:
    """Start a graceful stop of a process and optionally wait for its end."""
    site = load_site(base, overlay).site
    endpoint = await _find_process(name, site)
    if deadline_seconds is None:
        deadline_seconds = site.drain_seconds
    report = await request_drain(endpoint, deadline_seconds)
    if not report:
        raise NoReplyError(
            problem=f'{name} at {endpoint} did not answer',
            remedy='run the same command again: a drain is idempotent',
        )
    write_output(f'{name}: {report.state}, {report.flows} flows')
    if not wait:
        return SUCCEEDED
    return await _wait_until_unreachable(name, endpoint, deadline_seconds)


async def _wait_until_unreachable(
    name: str,
    endpoint: Endpoint,
    deadline_seconds: float,
) -> int:
    try:
        async with asyncio.timeout(deadline_seconds + STOP_MARGIN_SECONDS):
            await wait_until_unreachable(endpoint)
    except TimeoutError:
        write_error(f'{name} at {endpoint} still answers')
        return FAILED
    write_output(f'{name}: gone')
    return SUCCEEDED


async def _find_process(name: str, site: Site) -> Endpoint:
    balancer_status = await collect_reports(site.balancers)
    for member in balancer_status.members():
        if member.name == name:
            return control_endpoint_of(member)
    return await _find_balancer(name, site)


async def _find_balancer(name: str, site: Site) -> Endpoint:
    reports = await fetch_all_statuses(site.balancers)
    for endpoint, report in zip(site.balancers, reports, strict=True):
        if report and report.name == name:
            return endpoint
    raise UnknownProcessError(
        problem=f'the balancers of {site.name} do not know process {name}',
        remedy='use a name that bluebellfold status shows',
    )


def _write_json(site_status: SiteStatus) -> None:
    for report in site_status.reports:
        write_output(format_json(report))


def _write_tables(site_status: SiteStatus) -> None:
    requests = chain.from_iterable(one.requests for one in site_status.reports)
    drops = chain.from_iterable(one.drops for one in site_status.reports)
    write_output(process_table(site_status.reports))
    write_output('\nLoad by service and zone')
    write_output(group_table(site_status.reports))
    write_output('\nRequests by outcome')
    write_output(count_table(requests))
    write_output('\nRefusals and drops by reason')
    write_output(count_table(drops))
