"""Hold where an upstream stands, and tell balancers."""

from bluebellfold.core import NO_VERSION, Announcement
from bluebellfold.relay.agents import (
    DRAINING,
    READY,
    STATE_NAMES,
    UNKNOWN,
    Address,
    AgentLoad,
    Hello,
    LoadReport,
    Served,
    Versions,
)
from bluebellfold.relay.balancers import Subscriptions
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.outlet import Outlet
from bluebellfold.relay.upstreams.performance import Performance

# How long flows are remembered until a balancer has told the idle time; the
# oldest flow that the platform keeps.
LONGEST_IDLE_SECONDS = 60.0
IDLE_MARGIN_SECONDS = 5.0
# Balancers take an agent for silent after 0.7 s.
REPORT_SECONDS = 0.2
# Reports follow a change after this, for each balancer that is told: 6
# balancers are told 24 times a second, 24 of them 6 times. A balancer that
# offers a flow is told at once.
REPORT_PAUSE_PER_BALANCER = 0.007


class Standing:
    """Report the state and the load of an upstream to balancers."""

    __slots__ = (
        '_changed',
        '_flows',
        '_health',
        '_journal',
        '_outlet',
        '_performance',
        '_reported_at',
        '_reported_state',
        '_sequence',
        '_start',
        '_stopping',
        '_subscriptions',
        '_uncertain_since',
        '_uncertain_until',
        '_versions',
        '_zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        start: int,
        health: UpstreamHealth,
        flows: FlowTable,
        performance: Performance,
        outlet: Outlet,
        journal: Journal,
        now: float,
    ) -> None:
        self._zone = zone
        self._start = start
        self._health = health
        self._flows = flows
        self._performance = performance
        self._outlet = outlet
        self._journal = journal
        self._subscriptions = Subscriptions()
        # What the upstream held before this process started is not known.
        self._uncertain_since = now
        self._uncertain_until = now + LONGEST_IDLE_SECONDS
        self._sequence = 0
        self._reported_at = now
        self._reported_state = UNKNOWN
        self._changed = True
        self._stopping = False
        self._versions = Versions(configuration=NO_VERSION, agents=NO_VERSION)

    @property
    def idle_seconds(self) -> float:
        """Return after how long without a packet a flow is forgotten."""
        told = self._subscriptions.idle_seconds
        return (told or LONGEST_IDLE_SECONDS) + IDLE_MARGIN_SECONDS

    @property
    def subscriptions(self) -> Subscriptions:
        """Return the balancers that are told."""
        return self._subscriptions

    @property
    def report_due(self) -> float:
        """Return when the next report is due."""
        if not self._changed:
            return self._reported_at + REPORT_SECONDS
        pause = REPORT_PAUSE_PER_BALANCER * len(self._subscriptions)
        return self._reported_at + min(pause, REPORT_SECONDS)

    def is_certain(self, now: float) -> bool:
        """Tell whether every flow that the upstream holds is known."""
        return now >= self._uncertain_until

    def be_certain(self, now: float) -> None:
        """Note that the upstream holds no flow that isn't known."""
        self._uncertain_until = now

    def be_uncertain(self, now: float) -> None:
        """Note that the upstream may hold flows that aren't known."""
        # Flows that opened before are met again within the idle time.
        self._uncertain_since = now
        self._uncertain_until = now + self.idle_seconds

    def state(self, now: float) -> int:
        """Return the state that balancers are told."""
        if self._stopping:
            return DRAINING
        state = self._health.state(now)
        return READY if state == UNKNOWN else state

    def has_changed(self, now: float) -> bool:
        """Tell whether balancers were told another state."""
        return self.state(now) != self._reported_state

    def stop(self, now: float) -> None:
        """Tell balancers to bring no new flow: the agent is to end."""
        self._stopping = True
        self.note_state(now)

    def change(self) -> None:
        """Note that the load has changed."""
        self._changed = True

    def greet(self, message: Hello, address: Address, now: float) -> None:
        """Take a balancer's hello."""
        is_new = self._subscriptions.renew(
            address,
            idle_seconds=message.idle_seconds,
            offers_sent=message.offers_sent,
            now=now,
        )
        # A balancer whose watch has missed a change learns of it here.
        known, told = self._versions, message.versions
        self._versions = Versions(
            configuration=max(known.configuration, told.configuration),
            agents=max(known.agents, told.agents),
        )
        if is_new:
            self._journal.note('BBF0726', balancer=address[0], subscribed=True)
            self.report(now)
        if message.idle_seconds:
            # Flows older than the idle time are gone, so certainty returns
            # once the agent has watched for that long. A balancer that has no
            # configuration yet tells no idle time, and nothing follows.
            latest = self._uncertain_since + self.idle_seconds
            self._uncertain_until = min(self._uncertain_until, latest)

    def note_state(
        self, now: float, announcement: Announcement | None = None
    ) -> None:
        """Tell balancers at once if the state has changed."""
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
        self._journal.note(
            'BBF0720',
            state=STATE_NAMES[state],
            state_before=STATE_NAMES[before],
            **fields,
        )
        self.report(now)

    def report(self, now: float) -> None:
        """Tell all balancers the load."""
        self._reported_at = now
        self._changed = False
        self._sequence += 1
        busy = self._flows.busy(now)
        for address, offers_seen in self._subscriptions.offers_by_address():
            self._tell(address, offers_seen, busy, now)

    def report_to(self, address: Address, now: float) -> None:
        """Tell one balancer, which has just offered a flow."""
        offers_seen = self._subscriptions.offers_of(address)
        if offers_seen is None:
            return
        self._sequence += 1
        self._tell(address, offers_seen, self._flows.busy(now), now)

    def expire(self, now: float) -> None:
        """Forget the balancers that have gone silent."""
        for address in self._subscriptions.expire(now):
            self._journal.note('BBF0726', balancer=address[0], subscribed=False)

    def _tell(
        self, address: Address, offers_seen: int, busy: int, now: float
    ) -> None:
        load = AgentLoad(
            start=self._start,
            sequence=self._sequence,
            state=self.state(now),
            service=self._health.service,
            zone=self._zone,
            slots=self._health.slots,
            busy=busy,
            flows=len(self._flows),
            warming=self._health.is_warming(now),
            served=Served(
                work_seconds=self._performance.work_seconds,
                failure_share=self._performance.failure_share(now),
            ),
            offers_seen=offers_seen,
            versions=self._versions,
        )
        self._outlet.tell_balancer(address, LoadReport(load=load))
