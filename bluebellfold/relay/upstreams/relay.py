"""Decide what happens to each packet at an agent, without doing it.

The agent stands beside one upstream and sees all of its packets. It alone
decides whether the upstream takes a new flow, and it knows which flows the
upstream holds.
"""

import socket
from functools import singledispatchmethod
from typing import Protocol

from bluebellfold.core import (
    NO_VERSION,
    Announcement,
    Message,
    Packet,
    show_flow,
)
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_DOWN,
    DECLINED_DRAINING,
    DECLINED_FULL,
    DECLINED_SERVICE,
    DECLINED_UNANSWERED,
    DOWN,
    DRAINING,
    READY,
    STATE_NAMES,
    UNKNOWN,
    Address,
    AgentLoad,
    Carry,
    Declined,
    Held,
    Hello,
    LoadReport,
    NotHeld,
    Offer,
    Seek,
    room_for,
)
from bluebellfold.relay.balancers import Subscriptions
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flows import (
    ANSWERED,
    OFFERED,
    OPEN,
    FlowTable,
    UpstreamFlow,
)
from bluebellfold.relay.upstreams.health import (
    OLDER_ANNOUNCEMENT,
    UpstreamHealth,
)

# The upstream's kernel answers an opening packet within a millisecond.
UNANSWERED_SECONDS = 0.1
# A client gives up an opening flow after 1.4 s.
HALF_OPEN_SECONDS = 1.5
# How long flows are remembered until a balancer has told the idle time; the
# oldest flow that the platform keeps.
LONGEST_IDLE_SECONDS = 60.0
IDLE_MARGIN_SECONDS = 5.0
SWEEP_SECONDS = 2.0
# Balancers take an agent for silent after 0.7 s.
REPORT_SECONDS = 0.2
# Reports follow a change after this, for each balancer that is told: 6
# balancers are told 50 times a second, 24 of them 12 times.
REPORT_PAUSE_PER_BALANCER = 0.0035
# Requests in progress for each slot beyond which a new flow is declined: one
# more than balancers aim at, since several of them act on one report.
# Upstreams queue about four requests a slot and reject what follows.
FULL_BUSY_PER_SLOT = 4.0
MILLISECONDS = 1000


class Outlet(Protocol):
    """Send what the relay decides."""

    def tell_balancer(self, address: Address, message: Message) -> None:
        """Send a message to a balancer."""

    def send_upstream(self, packet: Packet, balancer: Address) -> None:
        """Send a client's packet that a balancer brought."""

    def send_client(self, packet: Packet) -> None:
        """Send an upstream's packet."""

    def reset_client(self, packet: Packet) -> None:
        """Reset the flow of a client's packet."""

    def request_id(self, packet: Packet) -> str:
        """Return the id of the request that begins in a packet."""

    def status(self, packet: Packet) -> int:
        """Return the status of the answer that begins in a packet."""


class UpstreamRelay:
    """Take new flows for an upstream and carry the packets of its flows.

    Every method takes the time in seconds of a clock that never goes back.
    """

    __slots__ = (
        '_changed',
        '_flows',
        '_health',
        '_journal',
        '_outlet',
        '_reported_at',
        '_reported_state',
        '_sequence',
        '_sought',
        '_start',
        '_stopping',
        '_subscriptions',
        '_sweep_due',
        '_uncertain_until',
        '_version',
        '_zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        start: int,
        health: UpstreamHealth,
        outlet: Outlet,
        journal: Journal,
        now: float,
    ) -> None:
        self._zone = zone
        self._start = start
        self._health = health
        self._outlet = outlet
        self._journal = journal
        self._flows = FlowTable()
        self._subscriptions = Subscriptions()
        self._sought: dict[bytes, dict[Address, Packet]] = {}
        # What the upstream held before this process started is not known.
        self._uncertain_until = now + LONGEST_IDLE_SECONDS
        self._sequence = 0
        self._reported_at = now
        self._reported_state = UNKNOWN
        self._changed = True
        self._stopping = False
        self._version = NO_VERSION
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
        return len(self._subscriptions)

    @property
    def upstream_ended(self) -> bool:
        """Tell whether the upstream told that it ends."""
        return self._health.withdrawn

    def report_due(self) -> float:
        """Return when the next report is due."""
        if not self._changed:
            return self._reported_at + REPORT_SECONDS
        pause = REPORT_PAUSE_PER_BALANCER * len(self._subscriptions)
        return self._reported_at + min(pause, REPORT_SECONDS)

    def state(self, now: float) -> int:
        """Return the state that balancers are told."""
        if self._stopping:
            return DRAINING
        state = self._health.state(now)
        return READY if state == UNKNOWN else state

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Take what the upstream says, and tell whether it was news."""
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
        if taken:
            self._forget_flows(now, 'a new start of the upstream')
        self._note_state(now, announcement)
        return True

    def withdraw(self, name: str, now: float) -> None:
        """Take that the upstream ends."""
        if self._health.withdraw(name):
            self._note_state(now)

    def stop(self, now: float) -> None:
        """Tell balancers to bring no new flow: the agent is to end."""
        self._stopping = True
        self._note_state(now)

    def refuse(self, now: float) -> None:
        """Take that nobody listens at the upstream's address."""
        self._health.refuse()
        self._forget_flows(now, 'the upstream refused a packet')
        self._uncertain_until = now
        self._note_state(now)

    @singledispatchmethod
    def take_message(
        self, message: Message, address: Address, now: float
    ) -> None:
        """Act on what a balancer tells."""
        self._journal.count('balancers-unexpected-message')

    def take_upstream(self, packet: Packet, now: float) -> None:
        """Act on what the upstream sends or gives back."""
        self._health.hear(now)
        if packet.returned:
            self._take_returned(packet, now)
            return
        flow = self._flows.find(packet.flow)
        if packet.resets and (flow is None or flow.state != OPEN):
            self._keep_reset(packet, flow)
            return
        if flow is None:
            flow = self._learn(packet, now)
        self._note_answer(packet, flow, now)
        self._outlet.send_client(packet)

    def tick(self, now: float) -> None:
        """Do what is due; call this when a report is due at the latest."""
        for key, flow in self._flows.unanswered(now - UNANSWERED_SECONDS):
            self._give_back_unanswered(key, flow, now)
        if self.state(now) != self._reported_state:
            self._note_state(now)
        if now >= self.report_due():
            self._report(now)
        if now >= self._sweep_due:
            self._sweep(now)

    @take_message.register
    def _take_hello(self, message: Hello, address: Address, now: float) -> None:
        is_new = self._subscriptions.renew(
            address,
            idle_seconds=message.idle_seconds,
            offers_sent=message.offers_sent,
            now=now,
        )
        # A balancer whose watch has missed a change learns of it here.
        self._version = max(self._version, message.version)
        if is_new:
            self._journal.note('BBF0726', balancer=address[0], subscribed=True)
            self._report(now)
            # Flows older than the idle time are gone, so certainty returns
            # once the agent has watched for that long.
            longest = message.idle_seconds + IDLE_MARGIN_SECONDS
            self._uncertain_until = min(self._uncertain_until, now + longest)

    @take_message.register
    def _take_offer(self, message: Offer, address: Address, now: float) -> None:
        self._subscriptions.count_offer(address)
        packet = message.packet
        flow = self._flows.find(packet.flow)
        if flow is not None and not flow.is_opened_by(packet):
            # The client uses the port of an earlier flow again.
            self._flows.remove(packet.flow)
            flow = None
        reason = self._reason_to_decline(message.service, flow, now)
        if reason:
            self._journal.count('flows-declined')
            self._journal.note(
                'BBF0721',
                flow=show_flow(packet.flow),
                attempt=packet.attempt,
                reason=DECLINE_NAMES[reason],
                state=STATE_NAMES[self.state(now)],
                busy=self._flows.busy(now),
                slots=self._health.slots,
            )
            self._outlet.tell_balancer(
                address, Declined(packet=packet, reason=reason)
            )
            return
        if flow is None:
            flow = self._flows.add(packet.flow, state=OFFERED, now=now)
        flow.offer(packet, address, now)
        self._changed = True
        self._outlet.send_upstream(packet, address)

    @take_message.register
    def _take_carry(self, message: Carry, address: Address, now: float) -> None:
        self._bring(message.packet, address, now, sought=False)

    @take_message.register
    def _take_seek(self, message: Seek, address: Address, now: float) -> None:
        self._bring(message.packet, address, now, sought=True)

    def _bring(
        self, packet: Packet, address: Address, now: float, *, sought: bool
    ) -> None:
        flow = self._flows.find(packet.flow)
        if flow is None:
            self._bring_unknown(packet, address, now)
            return
        if not flow.belongs(packet):
            self._outlet.tell_balancer(address, NotHeld(packet=packet))
            return
        if flow.state == ANSWERED:
            flow.open()
            self._journal.count('flows-opened')
            self._journal.note('BBF0722', flow=show_flow(packet.flow))
        if sought:
            self._outlet.tell_balancer(address, Held(flow=packet.flow))
        if flow.send_to_upstream(packet, now):
            self._begin_request(packet, flow, now)
        self._outlet.send_upstream(packet, address)

    def _bring_unknown(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        if now >= self._uncertain_until or self._health.state(now) == DOWN:
            self._outlet.tell_balancer(address, NotHeld(packet=packet))
            return
        # The upstream gives the packet back if it doesn't hold the flow.
        self._sought.setdefault(packet.flow, {})[address] = packet
        self._outlet.send_upstream(packet, address)

    def _take_returned(self, packet: Packet, now: float) -> None:
        flow = self._flows.find(packet.flow)
        balancer = self._find_balancer(packet, flow)
        self._sought.pop(packet.flow, None)
        if flow is not None:
            self._flows.remove(packet.flow)
            self._changed = True
        if balancer is None:
            self._journal.count('returned-without-balancer')
            return
        if packet.opens:
            self._outlet.tell_balancer(
                balancer, Declined(packet=packet, reason=DECLINED_FULL)
            )
            return
        if flow is None or not flow.confirmed:
            self._outlet.tell_balancer(balancer, NotHeld(packet=packet))
            return
        # The flow was open here, and its upstream no longer has it.
        self._journal.count('flows-lost')
        self._journal.note(
            'BBF0725',
            flow=show_flow(packet.flow),
            request=flow.request_id,
            upstream_heard=True,
        )
        self._outlet.reset_client(packet)

    def _note_answer(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        if packet.accepts:
            flow.answer(packet, now)
            return
        if flow.state != OFFERED:
            flow.confirm()
        if flow.send_to_client(packet, now):
            self._end_request(packet, flow, now)

    def _keep_reset(self, packet: Packet, flow: UpstreamFlow | None) -> None:
        """Keep a reset from a client whom another upstream may serve."""
        self._journal.count('upstream-resets-kept')
        self._journal.note(
            'BBF0738',
            flow=show_flow(packet.flow),
            state='sought' if flow is None else flow.state,
        )
        self._flows.remove(packet.flow)
        if flow is not None and flow.state == OFFERED:
            self._outlet.tell_balancer(
                flow.balancer,
                Declined(packet=flow.opening, reason=DECLINED_FULL),
            )
        sought = self._sought.pop(packet.flow, {})
        for balancer, brought in sought.items():
            self._outlet.tell_balancer(balancer, NotHeld(packet=brought))

    def _find_balancer(
        self, packet: Packet, flow: UpstreamFlow | None
    ) -> Address | None:
        for address, _ in self._subscriptions.offers_by_address():
            if tag_of(address) == packet.tag:
                return address
        return None if flow is None else flow.balancer

    def _learn(self, packet: Packet, now: float) -> UpstreamFlow:
        state = ANSWERED if packet.accepts else OPEN
        flow = self._flows.add(packet.flow, state=state, now=now)
        for balancer in self._sought.pop(packet.flow, {}):
            self._outlet.tell_balancer(balancer, Held(flow=packet.flow))
        return flow

    def _begin_request(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        flow.begin_request(self._outlet.request_id(packet))
        self._changed = True
        self._journal.count('requests')
        self._journal.note(
            'BBF0723',
            request=flow.request_id,
            flow=show_flow(packet.flow),
            busy=self._flows.busy(now),
            slots=self._health.slots,
        )

    def _end_request(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        seconds = now - flow.requested_at
        status = self._outlet.status(packet)
        flow.end_request()
        self._changed = True
        self._journal.observe(seconds)
        self._journal.note(
            'BBF0724',
            request=flow.request_id,
            flow=show_flow(packet.flow),
            status=status,
            milliseconds=round(seconds * MILLISECONDS),
        )

    def _reason_to_decline(
        self, service: str, flow: UpstreamFlow | None, now: float
    ) -> int:
        if service != self._health.service:
            return DECLINED_SERVICE
        state = self.state(now)
        if state == DRAINING:
            return DECLINED_DRAINING
        if state == DOWN:
            return DECLINED_DOWN
        if flow is not None:
            return 0
        room = room_for(
            FULL_BUSY_PER_SLOT,
            slots=self._health.slots,
            warming=self._health.is_warming(now),
        )
        return DECLINED_FULL if self._flows.busy(now) >= room else 0

    def _give_back_unanswered(
        self, key: bytes, flow: UpstreamFlow, now: float
    ) -> None:
        self._health.suspect()
        self._flows.remove(key)
        self._note_state(now)
        self._outlet.tell_balancer(
            flow.balancer,
            Declined(packet=flow.opening, reason=DECLINED_UNANSWERED),
        )

    def _forget_flows(self, now: float, reason: str) -> None:
        forgotten = self._flows.clear()
        self._changed = True
        # Flows that opened before this was noticed are met again.
        idle_seconds = self._subscriptions.idle_seconds
        longest = (idle_seconds or LONGEST_IDLE_SECONDS) + IDLE_MARGIN_SECONDS
        self._uncertain_until = now + longest
        self._journal.note('BBF0728', flows=forgotten, reason=reason)

    def _note_state(
        self, now: float, announcement: Announcement | None = None
    ) -> None:
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
        self._report(now)

    def _report(self, now: float) -> None:
        self._sequence += 1
        self._reported_at = now
        self._changed = False
        busy = self._flows.busy(now)
        state = self.state(now)
        for address, offers_seen in self._subscriptions.offers_by_address():
            load = AgentLoad(
                start=self._start,
                sequence=self._sequence,
                state=state,
                service=self._health.service,
                zone=self._zone,
                slots=self._health.slots,
                busy=busy,
                flows=len(self._flows),
                warming=self._health.is_warming(now),
                certain=now >= self._uncertain_until,
                offers_seen=offers_seen,
                version=self._version,
            )
            self._outlet.tell_balancer(address, LoadReport(load=load))

    def _sweep(self, now: float) -> None:
        self._sweep_due = now + SWEEP_SECONDS
        idle_seconds = self._subscriptions.idle_seconds or LONGEST_IDLE_SECONDS
        self._flows.expire(
            idle_before=now - idle_seconds - IDLE_MARGIN_SECONDS,
            half_open_before=now - HALF_OPEN_SECONDS,
        )
        self._sought.clear()
        for address in self._subscriptions.expire(now):
            self._journal.note('BBF0726', balancer=address[0], subscribed=False)


def tag_of(address: Address) -> int:
    """Return the number that marks packets which a balancer brought.

    >>> hex(tag_of(('10.0.0.1', 7720)))
    '0xa000001'
    """
    return int.from_bytes(socket.inet_aton(address[0]))
