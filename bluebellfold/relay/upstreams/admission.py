"""Decide whether to admit a new flow to an upstream.

Only the agent decides. It declines flows while its upstream is draining,
down or full, or its zone evacuated, and flows of another service, even if a
balancer's view of the upstream differs.
"""

from bluebellfold.core import format_flow, require
from bluebellfold.relay.agents import (
    DECLINE_NAMES,
    DECLINED_DOWN,
    DECLINED_EVACUATED,
    DECLINED_FULL,
    DECLINED_OTHER_SERVICE,
    DECLINED_UNANSWERED,
    DECLINED_WARMING,
    STATE_DECLINES,
    STATE_NAMES,
    Address,
    Declined,
    Offer,
    queue_capacity,
)
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.flows import OFFERED, UpstreamFlow
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.load_reporter import LoadReporter
from bluebellfold.relay.upstreams.transport import Transport
from bluebellfold.relay.upstreams.unknown_flows import UnknownFlows
from bluebellfold.relay.upstreams.warmup import WarmupLimit

# The upstream's kernel answers an opening packet within 1 ms.
UNANSWERED_TIMEOUT_SECONDS = 0.1
# New flows are declined at this limit. It is one higher than balancers aim at,
# since several of them act on the same report. Upstreams queue about four
# requests per slot and reject further ones.
MAX_IN_FLIGHT_PER_SLOT = 4.0


class FlowAdmission:
    """Admit new flows to an upstream, or decline them."""

    __slots__ = (
        '_flows',
        '_health',
        '_journal',
        '_reporter',
        '_transport',
        '_unknown_flows',
        '_warmup',
    )

    def __init__(
        self,
        *,
        reporter: LoadReporter,
        health: UpstreamHealth,
        flows: FlowTable,
        unknown_flows: UnknownFlows,
        warmup: WarmupLimit,
        transport: Transport,
        journal: Journal,
    ) -> None:
        self._reporter = reporter
        self._health = health
        self._flows = flows
        self._unknown_flows = unknown_flows
        self._warmup = warmup
        self._transport = transport
        self._journal = journal

    def admit(self, message: Offer, address: Address, now: float) -> None:
        """Admit an offered flow, or decline it."""
        self._reporter.subscriptions.count_offer(address)
        packet = message.packet
        flow = self._flows.find(packet.flow)
        if flow is not None and not flow.is_copy_of_opening(packet, now):
            # The client has reused the port of an earlier flow.
            self._flows.remove(packet.flow)
            flow = None
        reason = self._decline_reason(message, flow, now)
        if reason:
            self._decline(message, reason, address, now)
            return
        if flow is None:
            flow = self._add_flow(packet.flow, now)
        flow.mark_offered(packet, address, now)
        self._reporter.mark_changed()
        # Without this report within 0.1 s, the balancer offers the flow to
        # another agent.
        self._reporter.report_to(address, now)
        self._transport.send_to_upstream(packet, address)

    def decline_unanswered(self, now: float) -> None:
        """Decline flows whose opening packet the upstream has not answered."""
        for key, flow in self._flows.unanswered(
            now - UNANSWERED_TIMEOUT_SECONDS
        ):
            self._health.mark_suspected()
            self._flows.remove(key)
            self._reporter.report_state_change(now)
            self._decline_flow(flow, DECLINED_UNANSWERED)

    def decline_offered(self) -> None:
        """Decline the unanswered flows: the upstream's port is closed.

        A flow without an answer isn't open, so that its request hasn't run.
        """
        for key, flow in self._flows.list_offered():
            self._flows.remove(key)
            self._decline_flow(flow, DECLINED_DOWN)

    def _decline_flow(self, flow: UpstreamFlow, reason: int) -> None:
        self._transport.send_to_balancer(
            require(flow.balancer, name='balancer of an offered flow'),
            Declined(
                packet=require(
                    flow.opening_packet, name='packet of an offered flow'
                ),
                reason=reason,
            ),
        )

    def _add_flow(self, key: bytes, now: float) -> UpstreamFlow:
        judgement = self._unknown_flows.judge(
            key, now, idle_seconds=self._reporter.idle_seconds
        )
        flow = self._flows.add(key, state=OFFERED, now=now)
        if not judgement or judgement.presumed:
            flow.mark_older()
        self._unknown_flows.forget_returned(key)
        self._reporter.count_arrival(now)
        return flow

    def _decline(
        self, message: Offer, reason: int, address: Address, now: float
    ) -> None:
        packet = message.packet
        self._journal.count('flows-declined')
        if reason == DECLINED_EVACUATED:
            self._journal.count('flows-declined-evacuated')
        self._journal.log(
            'BBF0721',
            flow=format_flow(packet.flow),
            attempt=packet.attempt,
            reason=DECLINE_NAMES[reason],
            state=STATE_NAMES[self._reporter.state(now)],
            busy=self._flows.in_flight(now),
            slots=self._health.slots,
        )
        # Sent first, so that the balancer knows this load when it selects
        # another agent.
        self._reporter.report_to(address, now)
        self._transport.send_to_balancer(
            address, Declined(packet=packet, reason=reason)
        )

    def _decline_reason(
        self, message: Offer, flow: UpstreamFlow | None, now: float
    ) -> int:
        """Return why an offer is declined, 0 if the flow is admitted.

        It is called once for each offer, since a new flow takes a part of the
        limit of a cold upstream.
        """
        if message.service != self._health.service:
            return DECLINED_OTHER_SERVICE
        reason = STATE_DECLINES.get(self._reporter.state(now), 0)
        if flow is not None:
            # A copy of the opening packet adds no load. The upstream may have
            # opened the flow, so that no reason may say that it hasn't run.
            return DECLINED_UNANSWERED if reason == DECLINED_DOWN else 0
        if reason:
            return reason
        if self._reporter.evacuation.evacuated:
            return DECLINED_EVACUATED
        return self._lack_of_capacity(message, now)

    def _lack_of_capacity(self, message: Offer, now: float) -> int:
        capacity = queue_capacity(
            MAX_IN_FLIGHT_PER_SLOT,
            slots=self._health.slots,
            warming=self._health.is_warming(now),
        )
        capacity = min(capacity, message.max_in_flight)
        if self._flows.in_flight(now) >= capacity:
            return DECLINED_FULL
        return 0 if self._take_warmup_flow(now) else DECLINED_WARMING

    def _take_warmup_flow(self, now: float) -> bool:
        """Count a flow that is otherwise admitted to a cold upstream."""
        if not self._health.may_be_cold(now) or self._warmup.take(now):
            return True
        self._journal.count('flows-over-warmup-limit')
        return False
