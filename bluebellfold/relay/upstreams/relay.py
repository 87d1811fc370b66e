"""Decide what happens to each packet at an agent, apart from its sockets.

The agent runs beside one upstream and sees all of its packets. Only the agent
decides whether to admit a new flow, and it tracks which flows the upstream
holds.
"""

from functools import singledispatchmethod

from bluebellfold.core import Announcement, Message, Packet
from bluebellfold.relay.agents import (
    Address,
    FlowLookup,
    FlowOwner,
    ForwardedPacket,
    Offer,
    Subscribe,
    Versions,
)
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.admission import FlowAdmission
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.forwarding import Forwarder
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.load_reporter import LoadReporter
from bluebellfold.relay.upstreams.missing_followers import MissingFollowers
from bluebellfold.relay.upstreams.performance import (
    HUNG_REQUEST_SECONDS,
    Performance,
)
from bluebellfold.relay.upstreams.silence import UpstreamSilence
from bluebellfold.relay.upstreams.start_order import StartVerdict
from bluebellfold.relay.upstreams.transport import Transport
from bluebellfold.relay.upstreams.unknown_flows import (
    PORT_CLOSED,
    UPSTREAM_RESTARTED,
    UnknownFlows,
)
from bluebellfold.relay.upstreams.warmup import WarmupLimit

# A client gives up opening a flow after 1.4 s.
HALF_OPEN_SECONDS = 1.5
SWEEP_INTERVAL_SECONDS = 2.0


class UpstreamRelay:
    """Admit new flows to an upstream, and forward the packets of its flows.

    Every method takes the time in seconds of a monotonic clock.
    """

    __slots__ = (
        '_admission',
        '_agent_start',
        '_flows',
        '_forwarder',
        '_health',
        '_journal',
        '_missing_followers',
        '_performance',
        '_reporter',
        '_silence',
        '_sweep_due',
        '_transport',
        '_unknown_flows',
        '_warmup',
    )

    def __init__(
        self,
        *,
        zone: str,
        incarnation: int,
        agent_start: AgentStart,
        health: UpstreamHealth,
        transport: Transport,
        journal: Journal,
        now: float,
        warmup: WarmupLimit | None = None,
    ) -> None:
        self._agent_start = agent_start
        self._transport = transport
        self._warmup = warmup or WarmupLimit(now=now)
        self._health = health
        self._journal = journal
        self._flows = FlowTable()
        self._missing_followers = MissingFollowers(now=now)
        self._performance = Performance(now=now)
        self._reporter = LoadReporter(
            zone=zone,
            incarnation=incarnation,
            health=health,
            flows=self._flows,
            performance=self._performance,
            warmup=self._warmup,
            transport=transport,
            journal=journal,
            now=now,
        )
        self._unknown_flows = UnknownFlows(now=now)
        self._silence = UpstreamSilence(
            announcement_seconds=health.announcement_seconds, now=now
        )
        self._admission = FlowAdmission(
            reporter=self._reporter,
            health=health,
            flows=self._flows,
            unknown_flows=self._unknown_flows,
            warmup=self._warmup,
            transport=transport,
            journal=journal,
        )
        self._forwarder = Forwarder(
            reporter=self._reporter,
            unknown_flows=self._unknown_flows,
            health=health,
            flows=self._flows,
            performance=self._performance,
            transport=transport,
            journal=journal,
        )
        self._sweep_due = now + SWEEP_INTERVAL_SECONDS

    def in_flight(self, now: float) -> int:
        """Return how many flows are opening or await a response."""
        return self._flows.in_flight(now)

    def arrivals_per_second(self, now: float) -> float:
        """Return the recent rate of new flows."""
        return self._reporter.arrivals_per_second(now)

    @property
    def flow_count(self) -> int:
        """Return how many flows the upstream is known to hold."""
        return len(self._flows)

    @property
    def balancer_count(self) -> int:
        """Return how many balancers are subscribed."""
        return len(self._reporter.subscriptions)

    @property
    def upstream_present(self) -> bool:
        """Tell whether the upstream is heard and hasn't deregistered."""
        return self._health.is_heard and not self._health.deregistered

    @property
    def versions(self) -> Versions:
        """Return the newest versions that balancers have told."""
        return self._reporter.versions

    @property
    def zone_evacuated(self) -> bool:
        """Return whether the zone is evacuated, as balancers have told."""
        return self._reporter.evacuation.evacuated

    @property
    def warmup_flows_per_second(self) -> float:
        """Return the limit of a cold upstream, 0 if there is none."""
        return self._warmup.flows_per_second

    @property
    def upstream_left(self) -> bool:
        """Tell whether the upstream has deregistered or isn't there at all."""
        if self._health.deregistered:
            return True
        if self._health.is_announced or self._health.has_served:
            return False
        return self._silence.is_long

    def awaits_upstream(self, seconds: float) -> bool:
        """Tell whether a time from now on shows if there is an upstream.

        False if that is known already.
        """
        if self._health.is_heard:
            return False
        return 0 < self._silence.seconds_left <= seconds

    def report_due(self) -> float:
        """Return when the next report is due."""
        return self._reporter.report_due

    def state(self, now: float) -> int:
        """Return the state that is reported to balancers."""
        return self._reporter.state(now)

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> bool:
        """Apply an announcement; return False if it doesn't apply."""
        known = self._health.announcement
        verdict = self._health.apply_announcement(announcement, now)
        if not verdict.accepted:
            self._journal.count('announcements-older')
            self._log_verdict('BBF0727', verdict, announcement, known)
            return False
        if known is None:
            self._unknown_flows.record_silent(silent=False)
            self._compare_starts(announcement, now)
        if verdict.restarted:
            self._log_verdict('BBF0743', verdict, announcement, known)
            self._performance.reset(now)
            self._forget_flows('the upstream restarted')
            self._unknown_flows.record_cleared(now, UPSTREAM_RESTARTED)
        self._reporter.report_state_change(now, announcement)
        return True

    def apply_deregistration(self, name: str, now: float) -> bool:
        """Record that an upstream has deregistered; return False if unknown."""
        if not self._health.apply_deregistration(name):
            return False
        self._reporter.report_state_change(now)
        return True

    def stop(self, now: float) -> None:
        """Report the upstream as draining, since the agent is to stop."""
        self._reporter.stop(now)

    def handle_refusal(self, now: float) -> None:
        """Handle a refused packet.

        The upstream's port is closed, so it holds no flows.
        """
        self._health.mark_refused()
        self._unknown_flows.record_no_flows(PORT_CLOSED)
        # Sent first, so that balancers know the state when they select other
        # agents for the declined flows.
        self._reporter.report_state_change(now)
        self._admission.decline_offered()
        self._forwarder.return_probes()
        self._forget_flows('the upstream refused a packet')

    @singledispatchmethod
    def handle_message(
        self, message: Message, address: Address, now: float
    ) -> None:
        """Handle a message from a balancer."""
        self._journal.count('balancers-unexpected-message')

    def handle_upstream_packet(self, packet: Packet, now: float) -> None:
        """Handle a packet that the upstream sends or returns."""
        self._health.mark_alive(now)
        self._forwarder.handle_upstream_packet(packet, now)
        if self._health.has_served:
            self._unknown_flows.record_silent(silent=False)

    def tick(self, now: float) -> None:
        """Act on expired timers; call at the latest when a report is due."""
        if not self._health.is_announced:
            self._observe_silence(now)
        self._admission.decline_unanswered(now)
        for _ in range(
            self._flows.count_newly_hung(now - HUNG_REQUEST_SECONDS)
        ):
            self._performance.record_failure(now=now)
        if self._reporter.has_state_changed(now):
            self._reporter.report_state_change(now)
        if now >= self._reporter.report_due:
            self._reporter.report(now)
        if self._missing_followers.detect_check_due(self.balancer_count, now):
            self._transport.verify_registration()
        if now >= self._sweep_due:
            self._sweep(now)

    @handle_message.register
    def _handle_subscribe(
        self, message: Subscribe, address: Address, now: float
    ) -> None:
        if message.is_unlisted:
            self._transport.verify_registration()
        if self._reporter.subscribe(message, address, now):
            subscriptions = self._reporter.subscriptions
            self._unknown_flows.record_subscriber(
                offers_sent=message.offers_sent,
                offers_received=subscriptions.offers_received(address),
            )

    @handle_message.register
    def _handle_offer(
        self, message: Offer, address: Address, now: float
    ) -> None:
        self._admission.admit(message, address, now)

    @handle_message.register
    def _handle_packet(
        self, message: ForwardedPacket, address: Address, now: float
    ) -> None:
        self._forwarder.handle_client_packet(message.packet, address, now)

    @handle_message.register
    def _handle_lookup(
        self, message: FlowLookup, address: Address, now: float
    ) -> None:
        self._forwarder.handle_lookup(message, address, now)

    @handle_message.register
    def _handle_owner(
        self, message: FlowOwner, address: Address, now: float
    ) -> None:
        self._forwarder.record_owner(message, now)

    def _log_verdict(
        self,
        event: str,
        verdict: StartVerdict,
        announcement: Announcement,
        known: Announcement | None,
    ) -> None:
        fields = {}
        if known is not None:
            fields = {
                'known_upstream': known.name,
                'known_born': known.born,
                'known_sequence': known.sequence,
            }
        self._journal.log(
            event,
            upstream=announcement.name,
            service=announcement.service,
            born=announcement.born,
            sequence=announcement.sequence,
            draining=announcement.draining,
            reason=verdict.evidence,
            **fields,
        )

    def _compare_starts(self, announcement: Announcement, now: float) -> None:
        started_later = self._agent_start.precedes(announcement, now)
        self._journal.log(
            'BBF0742',
            upstream=announcement.name,
            born=announcement.born,
            agent_created=self._agent_start.created_ms,
            younger=started_later,
        )
        if started_later:
            self._unknown_flows.record_started_later()

    def _observe_silence(self, now: float) -> None:
        self._silence.observe(now)
        self._unknown_flows.record_silent(
            silent=self._silence.is_long and not self._health.has_served
        )

    def _forget_flows(self, reason: str) -> None:
        forgotten = self._flows.clear()
        self._reporter.mark_changed()
        self._journal.log('BBF0728', flows=forgotten, reason=reason)

    def _sweep(self, now: float) -> None:
        self._sweep_due = now + SWEEP_INTERVAL_SECONDS
        last_packet_at = self._flows.expire(
            idle_before=now - self._reporter.idle_seconds,
            half_open_before=now - HALF_OPEN_SECONDS,
        )
        self._unknown_flows.record_expired(last_packet_at)
        self._forwarder.forget_probes()
        self._forwarder.expire_owners(now)
        self._reporter.expire(now)
