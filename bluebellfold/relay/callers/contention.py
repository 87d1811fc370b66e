"""Observe which services are contended, and what they can assign.

After a power loss, thousands of flows wait until the first upstreams are back.
The wait before that does not show that upstreams lack capacity, so contention
is observed only while agents of the service are ready.
"""

from bluebellfold.relay.agents import READY, AgentTable, AgentView
from bluebellfold.relay.callers.flow_queue import FlowQueue
from bluebellfold.relay.callers.service_queue import ServiceQueue
from bluebellfold.relay.collectors import Journal

# Queues are observed each 0.05 s. After a gap of this length the process or its
# VM stood still, and what it assigned meanwhile shows no lack of capacity.
MAX_GAP_SECONDS = 0.2


class ContentionMonitor:
    """Tell the queue of each service what its agents and time have changed."""

    __slots__ = ('_agent_table', '_journal', '_observed_at')

    def __init__(self, *, agent_table: AgentTable, journal: Journal) -> None:
        self._agent_table = agent_table
        self._journal = journal
        self._observed_at = float(0)

    def observe(self, queue: FlowQueue, now: float) -> None:
        """Update the queues of all services, and log what has changed."""
        for drained in queue.pop_drained(now):
            if drained.is_contended:
                self._log_relieved(drained.name)
        has_paused = now - self._observed_at > MAX_GAP_SECONDS
        self._observed_at = now
        for service_queue in queue.services:
            if has_paused:
                service_queue.rate.restart(now)
            self._observe_service(service_queue, now)

    def _observe_service(self, service_queue: ServiceQueue, now: float) -> None:
        was_contended = service_queue.is_contended
        views = self._agent_table.of_service(service_queue.name)
        ready_agents = sum(_is_ready(view, now) for view in views)
        service_queue.observe_ready_agents(ready_agents, now)
        if was_contended and not service_queue.is_contended:
            self._log_relieved(service_queue.name)
        if not service_queue.detect_contention(now):
            return
        self._journal.count('services-contended')
        self._journal.log(
            'BBF0751',
            service=service_queue.name,
            waiting=len(service_queue),
            flows_per_second=round(service_queue.rate.mean(now)),
        )

    def _log_relieved(self, service: str) -> None:
        self._journal.log('BBF0752', service=service)


def _is_ready(view: AgentView, now: float) -> bool:
    # An agent that isn't followed reports only now and then, so a new report
    # does not show that it is back.
    return (
        view.is_followed
        and view.is_live(now)
        and view.reported_load.state == READY
    )
