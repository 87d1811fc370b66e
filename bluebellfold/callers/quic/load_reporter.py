"""Report an agent's load to the peers that may forward flows to it."""

from bluebellfold.agents import FlowAssigner, LoadReport
from bluebellfold.callers.quic.datagram_sender import DatagramSender
from bluebellfold.callers.quic.load_report_timer import LoadReportTimer
from bluebellfold.core import Clock, Registry
from bluebellfold.upstreams import (
    UpstreamLoadReported,
    UpstreamShed,
    UsageChanged,
)

LoadChange = UsageChanged | UpstreamShed | UpstreamLoadReported

_reactions = Registry(name='reactions to load changes')


class LoadReporter:
    """Record load changes and send load reports for the flows task."""

    __slots__ = ('_sender', '_clock', '_assigner', '_timer')

    def __init__(
        self,
        *,
        assigner: FlowAssigner,
        sender: DatagramSender,
        clock: Clock,
    ) -> None:
        self._assigner = assigner
        self._sender = sender
        self._clock = clock
        self._timer = LoadReportTimer(report=self._report)

    def record_change(self, change: LoadChange) -> None:
        """Record a change reported by the requests task or the probe."""
        _reactions.find(type(change))(self, change)
        self._timer.record_change()

    def update_flows(self, flows: int) -> None:
        """Update the number of open flows."""
        self._assigner.update_flows(flows, now=self._clock.now())
        self._timer.record_change()

    def schedule_report(self) -> None:
        """Schedule a report, so that new peers learn the load."""
        self._timer.record_change()

    def close(self) -> None:
        """Stop reporting."""
        self._timer.close()

    @_reactions.add(UsageChanged)
    def _update_usage(self, change: UsageChanged) -> None:
        self._assigner.update_usage(
            change.slots,
            change.connections,
            now=self._clock.now(),
        )

    @_reactions.add(UpstreamShed)
    def _record_shed(self, _change: UpstreamShed) -> None:
        self._assigner.record_shed(now=self._clock.now())

    @_reactions.add(UpstreamLoadReported)
    def _update_upstream_load(self, change: UpstreamLoadReported) -> None:
        now = self._clock.now()
        self._assigner.update_upstream_load(
            change.load, at=change.requested_at, now=now
        )

    def _report(self) -> None:
        now = self._clock.now()
        if not self._assigner.report_due(now=now):
            return
        report = LoadReport(load=self._assigner.own_load(now=now))
        for peer in self._assigner.report_recipients:
            self._sender.send(report, peer)
