"""Summarise what a balancer knows of agents, to compare it with others."""

from bluebellfold.core import Record, read_only
from bluebellfold.relay.agents.agent_table import AgentTable


class AgentTableSummary(Record):
    """Count the listed and the followed agents.

    ``oldest_report_seconds`` is the greatest age of a followed agent's report.
    ``unserved`` counts the listed services of which no followed agent takes
    new flows.
    """

    __slots__ = (
        '_checksum',
        '_followed',
        '_listed',
        '_live',
        '_oldest_report_seconds',
        '_unserved',
    )

    checksum: int = read_only('_checksum')
    followed: int = read_only('_followed')
    listed: int = read_only('_listed')
    live: int = read_only('_live')
    oldest_report_seconds: float = read_only('_oldest_report_seconds')
    unserved: int = read_only('_unserved')

    def __init__(
        self,
        *,
        listed: int,
        checksum: int,
        followed: int,
        live: int,
        oldest_report_seconds: float,
        unserved: int,
    ) -> None:
        self._listed = listed
        self._checksum = checksum
        self._followed = followed
        self._live = live
        self._oldest_report_seconds = oldest_report_seconds
        self._unserved = unserved


def summarise_table(table: AgentTable, now: float) -> AgentTableSummary:
    """Return the summary; its cost doesn't grow with the list of agents."""
    followed = table.followed
    ages = [view.report_age_seconds(now) for view in followed]
    served = {
        view.reported_load.service
        for view in followed
        if view.accepts_flows(now)
    }
    unserved = [
        service
        for service in table.services
        if service and service not in served
    ]
    return AgentTableSummary(
        listed=len(table),
        checksum=table.checksum,
        followed=len(followed),
        live=sum(view.is_live(now) for view in followed),
        oldest_report_seconds=max(ages, default=0),
        unserved=len(unserved),
    )
