"""Share an agent's load with the peers that may hand it flows."""

from bluebellfold.agents import FlowAssigner, LoadReport
from bluebellfold.callers.quic.answers import FlowAnswers
from bluebellfold.callers.quic.loads import LoadTimer
from bluebellfold.core import Clock, Registry
from bluebellfold.upstreams import (
    UpstreamLoadReported,
    UpstreamShed,
    UsageChanged,
)

LoadNews = UsageChanged | UpstreamShed | UpstreamLoadReported

_reactions = Registry(name='reactions to news of the load')


class LoadSharing:
    """Note what changes the load, and report it, in the flows task."""

    __slots__ = ('_answers', '_clock', '_placer', '_timer')

    def __init__(
        self,
        *,
        placer: FlowAssigner,
        answers: FlowAnswers,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._answers = answers
        self._clock = clock
        self._timer = LoadTimer(report=self._report)

    def take(self, news: LoadNews) -> None:
        """Act on what the requests task or the probe told."""
        _reactions.find(type(news))(self, news)
        self._timer.note_change()

    def note_flows(self, flows: int) -> None:
        """Take the number of open flows."""
        self._placer.update_flows(flows, now=self._clock.now())
        self._timer.note_change()

    def note_peers(self) -> None:
        """Tell new peers soon."""
        self._timer.note_change()

    def close(self) -> None:
        """Report no more."""
        self._timer.close()

    @_reactions.add(UsageChanged)
    def _note_busy(self, news: UsageChanged) -> None:
        self._placer.update_usage(
            news.slots,
            news.connections,
            now=self._clock.now(),
        )

    @_reactions.add(UpstreamShed)
    def _note_shed(self, _news: UpstreamShed) -> None:
        self._placer.record_shed(now=self._clock.now())

    @_reactions.add(UpstreamLoadReported)
    def _note_claim(self, news: UpstreamLoadReported) -> None:
        now = self._clock.now()
        self._placer.update_upstream_load(
            news.load, at=news.requested_at, now=now
        )

    def _report(self) -> None:
        now = self._clock.now()
        if not self._placer.report_due(now=now):
            return
        report = LoadReport(load=self._placer.own_load(now=now))
        for peer in self._placer.report_recipients:
            self._answers.send(report, peer)
