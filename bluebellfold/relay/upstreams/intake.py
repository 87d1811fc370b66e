"""Decide whether an upstream takes a new flow.

The agent alone decides: it declines while its upstream drains, is silent,
has no room or serves another service, whatever balancers believe.
"""

from bluebellfold.core import show_flow
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_DOWN,
    DECLINED_DRAINING,
    DECLINED_FULL,
    DECLINED_SERVICE,
    DECLINED_UNANSWERED,
    DOWN,
    DRAINING,
    STATE_NAMES,
    Address,
    Declined,
    Offer,
    room_for,
)
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.flows import OFFERED, UpstreamFlow
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.outlet import Outlet
from bluebellfold.relay.upstreams.standing import Standing

# The upstream's kernel answers an opening packet within a millisecond.
UNANSWERED_SECONDS = 0.1
# Requests in progress for each slot beyond which a new flow is declined: one
# more than balancers aim at, since several of them act on one report.
# Upstreams queue about four requests a slot and reject what follows.
FULL_BUSY_PER_SLOT = 4.0


class Intake:
    """Take new flows for an upstream, or decline them."""

    __slots__ = ('_flows', '_health', '_journal', '_outlet', '_standing')

    def __init__(
        self,
        *,
        standing: Standing,
        health: UpstreamHealth,
        flows: FlowTable,
        outlet: Outlet,
        journal: Journal,
    ) -> None:
        self._standing = standing
        self._health = health
        self._flows = flows
        self._outlet = outlet
        self._journal = journal

    def take(self, message: Offer, address: Address, now: float) -> None:
        """Take an offered flow, or decline it."""
        self._standing.subscriptions.count_offer(address)
        packet = message.packet
        flow = self._flows.find(packet.flow)
        if flow is not None and not flow.is_opened_by(packet):
            # The client uses the port of an earlier flow again.
            self._flows.remove(packet.flow)
            flow = None
        reason = self._reason_to_decline(message, flow, now)
        if reason:
            self._decline(message, reason, address, now)
            return
        if flow is None:
            flow = self._flows.add(packet.flow, state=OFFERED, now=now)
        flow.offer(packet, address, now)
        self._standing.change()
        # Without this the balancer takes the agent for gone.
        self._standing.report_to(address, now)
        self._outlet.send_upstream(packet, address)

    def tick(self, now: float) -> None:
        """Give back the flows that the upstream has left unanswered."""
        for key, flow in self._flows.unanswered(now - UNANSWERED_SECONDS):
            self._health.suspect()
            self._flows.remove(key)
            self._standing.note_state(now)
            self._outlet.tell_balancer(
                flow.balancer,
                Declined(packet=flow.opening, reason=DECLINED_UNANSWERED),
            )

    def _decline(
        self, message: Offer, reason: int, address: Address, now: float
    ) -> None:
        packet = message.packet
        self._journal.count('flows-declined')
        self._journal.note(
            'BBF0721',
            flow=show_flow(packet.flow),
            attempt=packet.attempt,
            reason=DECLINE_NAMES[reason],
            state=STATE_NAMES[self._standing.state(now)],
            busy=self._flows.busy(now),
            slots=self._health.slots,
        )
        # The balancer chooses anew by what it then knows.
        self._standing.report_to(address, now)
        self._outlet.tell_balancer(
            address, Declined(packet=packet, reason=reason)
        )

    def _reason_to_decline(
        self, message: Offer, flow: UpstreamFlow | None, now: float
    ) -> int:
        if message.service != self._health.service:
            return DECLINED_SERVICE
        state = self._standing.state(now)
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
        room = min(room, message.most_busy)
        return DECLINED_FULL if self._flows.busy(now) >= room else 0
