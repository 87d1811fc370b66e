"""Report the state and the load of an upstream to balancers."""

from bluebellfold.core import Announcement
from bluebellfold.relay.agents import (
    DRAINING,
    NO_FLOW_LIMIT,
    READY,
    STATE_NAMES,
    UNKNOWN,
    Address,
    AgentLoad,
    ArrivalRate,
    Evacuation,
    LoadReport,
    RequestStats,
    Subscribe,
    Versions,
    Warmup,
)
from bluebellfold.relay.balancers import Subscriptions
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.known_versions import KnownVersions
from bluebellfold.relay.upstreams.performance import Performance
from bluebellfold.relay.upstreams.transport import Transport
from bluebellfold.relay.upstreams.warmup import WarmupLimit

# Used while no balancer tells the configured idle time, which may have been
# raised since one told it. The platform keeps no flow for longer without a
# packet.
DEFAULT_IDLE_SECONDS = 60.0
# Flows stay in the table longer than clients may resume them.
IDLE_MARGIN_SECONDS = 5.0
# Balancers treat an agent as unreachable after 0.7 s without a report.
REPORT_INTERVAL_SECONDS = 0.2
# Delay between a change and its reports, per subscribed balancer: 24 balancers
# get 6 reports a second each. A balancer that offers a flow gets a report at
# once, so that the others need none more often than 17 times a second.
REPORT_DELAY_PER_BALANCER_SECONDS = 0.007
MIN_REPORT_DELAY_SECONDS = 0.06


class LoadReporter:
    """Send load reports to subscribed balancers."""

    __slots__ = (
        '_arrivals',
        '_changed',
        '_flows',
        '_health',
        '_idle_seconds',
        '_incarnation',
        '_journal',
        '_known_versions',
        '_performance',
        '_reported_at',
        '_reported_state',
        '_sequence',
        '_stopping',
        '_subscriptions',
        '_transport',
        '_was_limited',
        '_warmup_limit',
        '_zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        incarnation: int,
        health: UpstreamHealth,
        flows: FlowTable,
        performance: Performance,
        warmup: WarmupLimit,
        transport: Transport,
        journal: Journal,
        now: float,
    ) -> None:
        self._zone = zone
        self._incarnation = incarnation
        self._health = health
        self._flows = flows
        self._performance = performance
        self._warmup_limit = warmup
        self._was_limited = False
        self._transport = transport
        self._journal = journal
        self._subscriptions = Subscriptions()
        self._arrivals = ArrivalRate(now=now)
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._sequence = 0
        self._reported_at = now
        self._reported_state = UNKNOWN
        self._changed = True
        self._stopping = False
        self._known_versions = KnownVersions()

    @property
    def idle_seconds(self) -> float:
        """Return after how long without a packet a flow expires.

        It is the longest idle time that balancers tell, and a margin.
        """
        return self._idle_seconds + IDLE_MARGIN_SECONDS

    @property
    def subscriptions(self) -> Subscriptions:
        """Return the subscribed balancers."""
        return self._subscriptions

    @property
    def versions(self) -> Versions:
        """Return the newest versions that balancers have told."""
        return self._known_versions.newest

    @property
    def evacuation(self) -> Evacuation:
        """Return the newest state of the zone that balancers have told."""
        return self._known_versions.evacuation

    @property
    def report_due(self) -> float:
        """Return when the next report is due."""
        if not self._changed:
            return self._reported_at + REPORT_INTERVAL_SECONDS
        delay = REPORT_DELAY_PER_BALANCER_SECONDS * len(self._subscriptions)
        delay = max(delay, MIN_REPORT_DELAY_SECONDS)
        return self._reported_at + min(delay, REPORT_INTERVAL_SECONDS)

    def state(self, now: float) -> int:
        """Return the state that is reported to balancers."""
        if self._stopping and not self._health.deregistered:
            return DRAINING
        state = self._health.state(now)
        return READY if state == UNKNOWN else state

    def has_state_changed(self, now: float) -> bool:
        """Tell whether the state differs from the last reported one."""
        return self.state(now) != self._reported_state

    def stop(self, now: float) -> None:
        """Report the upstream as draining, since the agent is to stop."""
        self._stopping = True
        self.report_state_change(now)

    def arrivals_per_second(self, now: float) -> float:
        """Return the recent rate of new flows."""
        return self._arrivals.per_second(now)

    def count_arrival(self, now: float) -> None:
        """Count a new flow that was admitted."""
        self._arrivals.count(now)

    def mark_changed(self) -> None:
        """Record that the load has changed."""
        self._changed = True

    def subscribe(
        self, message: Subscribe, address: Address, now: float
    ) -> bool:
        """Subscribe a balancer, or renew its subscription.

        Return whether it wasn't subscribed.
        """
        is_new = self._subscriptions.renew(
            address,
            idle_seconds=message.idle_seconds,
            offers_sent=message.offers_sent,
            once=message.once,
            now=now,
        )
        # Reports carry these to balancers whose watch has missed a change.
        was_evacuated = self.evacuation.evacuated
        self._learn_versions(message, address, now)
        self._learn_warmup_rate(message, now)
        if is_new:
            self._journal.log('BBF0726', balancer=address[0], subscribed=True)
        if is_new or message.once:
            self.report_to(address, now)
        if self.evacuation.evacuated != was_evacuated:
            self._report_evacuation(address, now)
        self._update_idle_time()
        return is_new

    def report_state_change(
        self, now: float, announcement: Announcement | None = None
    ) -> None:
        """Report to all balancers at once if the state has changed.

        The log line names the announcement that changed it, if any.
        """
        self._changed = True
        state = self.state(now)
        if state == self._reported_state:
            return
        before = self._reported_state
        self._reported_state = state
        fields = {}
        if announcement is not None:
            fields = {
                'upstream': announcement.name,
                'born': announcement.born,
                'sequence': announcement.sequence,
            }
        self._journal.log(
            'BBF0720',
            state=STATE_NAMES[state],
            state_before=STATE_NAMES[before],
            **fields,
        )
        self.report(now)

    def report(self, now: float) -> None:
        """Send a load report to all subscribed balancers."""
        self._reported_at = now
        # A cold upstream takes further flows as time passes.
        self._changed = self._detect_warmup_limit(now)
        self._sequence += 1
        in_flight = self._flows.in_flight(now)
        for address, offers_seen in self._subscriptions.offer_counts():
            self._send_report(address, offers_seen, in_flight, now)

    def report_to(self, address: Address, now: float) -> None:
        """Send a load report to one balancer, if it is subscribed."""
        offers_seen = self._subscriptions.offer_count(address)
        if offers_seen is None:
            return
        self._sequence += 1
        self._send_report(address, offers_seen, self._flows.in_flight(now), now)

    def expire(self, now: float) -> None:
        """Remove balancers whose subscription has expired."""
        for address in self._subscriptions.expire(now):
            self._journal.log('BBF0726', balancer=address[0], subscribed=False)
        self._update_idle_time()

    def _report_evacuation(self, balancer: Address, now: float) -> None:
        self._journal.log(
            'BBF0747',
            zone=self._zone,
            evacuated=self.evacuation.evacuated,
            era=self.evacuation.position.era,
            revision=self.evacuation.position.revision,
            balancer=balancer[0],
        )
        self.report(now)

    def _learn_versions(
        self, message: Subscribe, balancer: Address, now: float
    ) -> None:
        era_before = self._known_versions.era
        if not self._known_versions.learn(message.versions, now):
            return
        self._journal.count('store-eras-begun')
        self._journal.log(
            'BBF0761',
            era=self._known_versions.era,
            era_before=era_before,
            source=balancer[0],
        )

    def _update_idle_time(self) -> None:
        # A balancer without a configuration sends 0.
        told = self._subscriptions.idle_seconds
        self._idle_seconds = told or DEFAULT_IDLE_SECONDS

    def _learn_warmup_rate(self, message: Subscribe, now: float) -> None:
        before = self._warmup_limit.flows_per_second
        changed = self._warmup_limit.learn_rate(
            message.warmup_flows_per_second,
            version=message.versions.configuration,
            now=now,
        )
        if not changed:
            return
        self._changed = True
        self._journal.log(
            'BBF0749',
            flows_per_second=self._warmup_limit.flows_per_second,
            flows_per_second_before=before,
            version=message.versions.configuration,
        )

    def _detect_warmup_limit(self, now: float) -> bool:
        """Return whether new flows are limited, and log when this changes."""
        limited = self._is_warmup_limited(now)
        if limited != self._was_limited:
            self._was_limited = limited
            self._journal.log(
                'BBF0750',
                limited=limited,
                flows_per_second=self._warmup_limit.flows_per_second,
            )
        return limited

    def _is_warmup_limited(self, now: float) -> bool:
        return self._warmup_limit.is_limited and self._health.may_be_cold(now)

    def _warmup(self, now: float) -> Warmup | None:
        if self._is_warmup_limited(now):
            return Warmup(flows_left=self._warmup_limit.flows_left(now))
        if not self._health.is_warming(now):
            return None
        return Warmup(flows_left=NO_FLOW_LIMIT)

    def _send_report(
        self, address: Address, offers_seen: int, in_flight: int, now: float
    ) -> None:
        load = AgentLoad(
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=self.state(now),
            service=self._health.service,
            zone=self._zone,
            slots=self._health.slots,
            in_flight=in_flight,
            flows=len(self._flows),
            warmup=self._warmup(now),
            request_stats=RequestStats(
                work_seconds=self._performance.work_seconds,
                work_error=self._performance.work_error(now),
                failure_share=self._performance.failure_share(now),
                arrivals_per_second=self.arrivals_per_second(now),
            ),
            offers_seen=offers_seen,
            versions=self.versions,
        )
        report = LoadReport(load=load, followers=len(self._subscriptions))
        self._transport.send_to_balancer(address, report)
