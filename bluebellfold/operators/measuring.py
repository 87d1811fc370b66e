"""Export the status of a process as metrics."""

import asyncio
import logging

from bluebellfold.collectors import Metrics, Sample, log_event
from bluebellfold.core import Actor, InboxFullError, Registry, Reply
from bluebellfold.operators.messages import GetStatus, StatusReport

_log = logging.getLogger(__name__)


class MetricsTask(Actor):
    """Export a sample of a process's status at each interval."""

    reactions = Registry(name='reactions of a metrics task')

    def __init__(
        self,
        *,
        status_source: Actor,
        metrics: Metrics,
        interval_seconds: float,
    ) -> None:
        super().__init__(name='measuring')
        self._status_source = status_source
        self._metrics = metrics
        self._interval_seconds = interval_seconds

    async def open(self) -> None:
        """Start the periodic export."""
        self.spawn(self._observe_periodically(), name='intervals')

    async def close(self) -> None:
        """Stop, then close the metrics, which exports the last sample."""
        await super().close()
        await asyncio.to_thread(self._metrics.close)

    async def _observe_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._interval_seconds)
            await self._observe()

    async def _observe(self) -> None:
        reply = Reply()
        try:
            self._status_source.tell(GetStatus(reply=reply))
        except InboxFullError as error:
            log_event(_log, 'BBF0105', problem=error.problem)
            return
        try:
            report = await reply.wait()
        except TimeoutError:
            log_event(_log, 'BBF0105', problem='no status reply in time')
            return
        self._metrics.observe(make_sample(report))


def make_sample(report: StatusReport) -> Sample:
    """Return the part of a report that is exported as metrics."""
    return Sample(
        flows=report.flows,
        requests=report.requests,
        drops=report.drops,
        slots=report.slots,
        connections=report.connections,
    )
