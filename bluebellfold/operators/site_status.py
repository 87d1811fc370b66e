"""Fetch the status of all processes of a site."""

from bluebellfold.core import LEFT, Endpoint, Member, Record, Site, read_only
from bluebellfold.operators.control_client import fetch_all_statuses
from bluebellfold.operators.messages import StatusReport


class SiteStatus(Record):
    """Hold the status reports of a site and the unreachable endpoints."""

    __slots__ = ('_reports', '_unreachable')

    reports: tuple[StatusReport, ...] = read_only('_reports')
    unreachable: tuple[Endpoint, ...] = read_only('_unreachable')

    def __init__(
        self,
        *,
        reports: tuple[StatusReport, ...],
        unreachable: tuple[Endpoint, ...],
    ) -> None:
        self._reports = reports
        self._unreachable = unreachable

    def members(self) -> tuple[Member, ...]:
        """Return the newest row of each agent, sorted by name."""
        newest: dict[str, Member] = {}
        for report in self._reports:
            for member in report.members:
                known = newest.get(member.name)
                if known is None or known.version < member.version:
                    newest[member.name] = member
        return tuple(newest[name] for name in sorted(newest))

    def merge(self, other: 'SiteStatus') -> 'SiteStatus':
        """Return the reports and unreachable endpoints of both."""
        return SiteStatus(
            reports=self._reports + other.reports,
            unreachable=self._unreachable + other.unreachable,
        )


async def fetch_site_status(site: Site) -> SiteStatus:
    """Fetch the status of the balancers, then of the agents they know."""
    balancer_status = await collect_reports(site.balancers)
    agent_status = await collect_reports(
        tuple(
            control_endpoint_of(member)
            for member in balancer_status.members()
            if member.state != LEFT
        ),
    )
    return balancer_status.merge(agent_status)


async def collect_reports(endpoints: tuple[Endpoint, ...]) -> SiteStatus:
    """Fetch the status of the processes at control endpoints."""
    reports = await fetch_all_statuses(endpoints)
    return SiteStatus(
        reports=tuple(report for report in reports if report),
        unreachable=tuple(
            endpoint
            for endpoint, report in zip(endpoints, reports, strict=True)
            if not report
        ),
    )


def control_endpoint_of(member: Member) -> Endpoint:
    """Return the endpoint of an agent's control service."""
    return Endpoint(host=member.endpoint.host, port=member.control_port)
