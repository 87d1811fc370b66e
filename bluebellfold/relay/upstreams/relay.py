"""Decide what happens to each packet at an agent, without doing it.

The agent stands beside one upstream and sees all of its packets. It alone
decides whether the upstream takes a new flow, and it knows which flows the
upstream holds.
"""

from functools import singledispatchmethod

from bluebellfold.core import Announcement, Message, Packet
from bluebellfold.relay.agents import Address, Carry, Hello, Offer, Seek
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.ages import AgentStart
from bluebellfold.relay.upstreams.carriage import Carriage
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.health import (
    OLDER_ANNOUNCEMENT,
    UpstreamHealth,
)
from bluebellfold.relay.upstreams.intake import Intake
from bluebellfold.relay.upstreams.outlet import Outlet
from bluebellfold.relay.upstreams.performance import (
    HANGING_SECONDS,
    Performance,
)
from bluebellfold.relay.upstreams.standing import Standing

# A client gives up an opening flow after 1.4 s.
HALF_OPEN_SECONDS = 1.5
SWEEP_SECONDS = 2.0


class UpstreamRelay:
    """Take new flows for an upstream and carry the packets of its flows.

    Every method takes the time in seconds of a clock that never goes back.
    """

    __slots__ = (
        '_carriage',
        '_flows',
        '_health',
        '_intake',
        '_journal',
        '_performance',
        '_own_start',
        '_standing',
        '_sweep_due',
    )

    def __init__(
        self,
        *,
        zone: str,
        start: int,
        own_start: AgentStart,
        health: UpstreamHealth,
        outlet: Outlet,
        journal: Journal,
        now: float,
    ) -> None:
        self._own_start = own_start
        self._health = health
        self._journal = journal
        self._flows = FlowTable()
        self._performance = Performance(now=now)
        self._standing = Standing(
            zone=zone,
            start=start,
            health=health,
            flows=self._flows,
            performance=self._performance,
            outlet=outlet,
            journal=journal,
            now=now,
        )
        self._intake = Intake(
            standing=self._standing,
            health=health,
            flows=self._flows,
            outlet=outlet,
            journal=journal,
        )
        self._carriage = Carriage(
            standing=self._standing,
            health=health,
            flows=self._flows,
            performance=self._performance,
            outlet=outlet,
            journal=journal,
        )
        self._sweep_due = now + SWEEP_SECONDS

    def busy(self, now: float) -> int:
        """Return the requests in progress and the flows about to open."""
        return self._flows.busy(now)

    @property
    def flows(self) -> int:
        """Return the flows that the upstream is known to hold."""
        return len(self._flows)

    @property
    def balancers(self) -> int:
        """Return how many balancers are told the load."""
        return len(self._standing.subscriptions)

    @property
    def upstream_ended(self) -> bool:
        """Tell whether the upstream told that it ends."""
        return self._health.withdrawn

    def report_due(self) -> float:
        """Return when the next report is due."""
        return self._standing.report_due

    def state(self, now: float) -> int:
        """Return the state that balancers are told."""
        return self._standing.state(now)

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Take what the upstream says, and tell whether it was news."""
        is_first = not self._health.is_announced
        taken = self._health.announce(announcement, now)
        if taken is OLDER_ANNOUNCEMENT:
            self._journal.count('announcements-older')
            self._journal.note(
                'BBF0727',
                upstream=announcement.name,
                born=announcement.born,
                sequence=announcement.sequence,
                reason=OLDER_ANNOUNCEMENT.name,
            )
            return False
        if is_first:
            self._compare_starts(announcement, now)
        if taken:
            self._performance.begin_anew(now)
            self._forget_flows(now, 'a new start of the upstream')
        self._standing.note_state(now, announcement)
        return True

    def withdraw(self, name: str, now: float) -> None:
        """Take that the upstream ends."""
        if self._health.withdraw(name):
            self._standing.note_state(now)

    def stop(self, now: float) -> None:
        """Tell balancers to bring no new flow: the agent is to end."""
        self._standing.stop(now)

    def refuse(self, now: float) -> None:
        """Take that nobody listens at the upstream's address."""
        self._health.refuse()
        self._forget_flows(now, 'the upstream refused a packet')
        self._standing.be_certain(now)
        self._standing.note_state(now)

    @singledispatchmethod
    def take_message(
        self, message: Message, address: Address, now: float
    ) -> None:
        """Act on what a balancer tells."""
        self._journal.count('balancers-unexpected-message')

    def take_upstream(self, packet: Packet, now: float) -> None:
        """Act on what the upstream sends or gives back."""
        self._health.hear(now)
        self._carriage.take(packet, now)

    def tick(self, now: float) -> None:
        """Do what is due; call this when a report is due at the latest."""
        self._intake.tick(now)
        for _ in range(self._flows.count_hanging(now - HANGING_SECONDS)):
            self._performance.note_failure(now=now)
        if self._standing.has_changed(now):
            self._standing.note_state(now)
        if now >= self._standing.report_due:
            self._standing.report(now)
        if now >= self._sweep_due:
            self._sweep(now)

    @take_message.register
    def _take_hello(self, message: Hello, address: Address, now: float) -> None:
        self._standing.greet(message, address, now)

    @take_message.register
    def _take_offer(self, message: Offer, address: Address, now: float) -> None:
        self._intake.take(message, address, now)

    @take_message.register
    def _take_carry(self, message: Carry, address: Address, now: float) -> None:
        self._carriage.bring(message.packet, address, now)

    @take_message.register
    def _take_seek(self, message: Seek, address: Address, now: float) -> None:
        self._carriage.answer(message, address, now)

    def _compare_starts(self, announcement: Announcement, now: float) -> None:
        younger = self._own_start.precedes(announcement, now)
        self._journal.note(
            'BBF0742',
            upstream=announcement.name,
            born=announcement.born,
            agent_created=self._own_start.created_ms,
            younger=younger,
        )
        if younger:
            self._standing.be_certain(now)

    def _forget_flows(self, now: float, reason: str) -> None:
        forgotten = self._flows.clear()
        self._standing.change()
        self._standing.be_uncertain(now)
        self._journal.note('BBF0728', flows=forgotten, reason=reason)

    def _sweep(self, now: float) -> None:
        self._sweep_due = now + SWEEP_SECONDS
        self._flows.expire(
            idle_before=now - self._standing.idle_seconds,
            half_open_before=now - HALF_OPEN_SECONDS,
        )
        self._carriage.forget_searches()
        self._standing.expire(now)
