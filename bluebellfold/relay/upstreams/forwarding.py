"""Forward the packets of an upstream's flows in both directions."""

from bluebellfold.core import Packet, Sentinel, format_flow, require
from bluebellfold.relay.agents import (
    DECLINED_REJECTED,
    Address,
    Declined,
    FlowFound,
    FlowLookup,
    FlowMessage,
    FlowNotFound,
    FlowOwner,
    FlowPresumedAbsent,
    FlowUncertain,
    ReturnedPacket,
)
from bluebellfold.relay.balancers import balancer_tag
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flow_directory import FlowDirectory
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.flows import (
    ANSWERED,
    OFFERED,
    OPEN,
    UpstreamFlow,
)
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.load_reporter import LoadReporter
from bluebellfold.relay.upstreams.performance import Performance
from bluebellfold.relay.upstreams.transport import Transport
from bluebellfold.relay.upstreams.unknown_flows import Denial, UnknownFlows

MS_PER_SECOND = 1000


class Forwarder:
    """Forward packets between balancers, the upstream and clients."""

    __slots__ = (
        '_directory',
        '_flows',
        '_health',
        '_journal',
        '_performance',
        '_probes',
        '_reporter',
        '_transport',
        '_unknown_flows',
    )

    def __init__(
        self,
        *,
        reporter: LoadReporter,
        unknown_flows: UnknownFlows,
        health: UpstreamHealth,
        flows: FlowTable,
        performance: Performance,
        transport: Transport,
        journal: Journal,
    ) -> None:
        self._reporter = reporter
        self._unknown_flows = unknown_flows
        self._health = health
        self._flows = flows
        self._performance = performance
        self._transport = transport
        self._journal = journal
        self._directory = FlowDirectory()
        # Packets of unknown flows that were sent to the upstream, by flow and
        # balancer. The upstream's reply shows whether it holds the flow.
        self._probes: dict[bytes, dict[Address, Packet]] = {}

    def handle_lookup(
        self, message: FlowLookup, address: Address, now: float
    ) -> None:
        """Reply to a balancer that asks whether the upstream holds a flow."""
        flow = self._flows.find(message.flow)
        if flow is None or _may_be_open_unseen(flow):
            reply = self._reply_unknown(message.flow, now)
        elif flow.accepts_acknowledgement(message.acknowledged):
            reply = FlowFound(flow=message.flow)
        else:
            reply = FlowNotFound(flow=message.flow)
        self._transport.send_to_balancer(address, reply)

    def handle_client_packet(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        """Forward a client's packet to the upstream if it holds the flow."""
        flow = self._flows.find(packet.flow)
        if flow is None or _may_be_open_unseen(flow):
            self._forward_unknown_flow(packet, address, now)
            return
        if not flow.accepts_acknowledgement(packet.acknowledged):
            self._return_packet(packet, address)
            return
        if flow.state == ANSWERED:
            flow.mark_open()
            self._journal.count('flows-opened')
            self._journal.log('BBF0722', flow=format_flow(packet.flow))
        if flow.track_client_packet(packet, now):
            self._begin_request(packet, flow)
        if flow.mark_request_received(now):
            self._reporter.mark_changed()
            flow.record_in_flight(self._flows.in_flight(now))
        self._transport.send_to_upstream(packet, address)

    def handle_upstream_packet(self, packet: Packet, now: float) -> None:
        """Handle a packet that the upstream sends to a client or returns."""
        if packet.returned:
            self._handle_returned(packet, now)
            return
        flow = self._flows.find(packet.flow)
        if packet.resets and (flow is None or flow.state != OPEN):
            self._suppress_reset(packet, flow, now)
            return
        is_unseen = flow is not None and _may_be_open_unseen(flow)
        if flow is None or (is_unseen and not packet.accepts):
            flow = self._learn_flow(packet, now)
        if not packet.resets:
            self._health.mark_served(now)
        self._track_upstream_packet(packet, flow, now)
        self._transport.send_to_client(packet)

    def record_owner(self, message: FlowOwner, now: float) -> None:
        """Remember the owner of a flow whose home is this agent."""
        self._directory.record(message.flow, message.owner, now)

    def expire_owners(self, now: float) -> None:
        """Remove the owners of flows that balancers no longer repeat."""
        self._directory.expire(now)

    def return_probes(self) -> None:
        """Give packets of unknown flows back: the upstream holds none."""
        for by_balancer in self._probes.values():
            for balancer, probe in by_balancer.items():
                self._return_packet(probe, balancer)
        self._probes.clear()

    def forget_probes(self) -> None:
        """Forget which packets of unknown flows were sent to the upstream."""
        self._probes.clear()

    def _reply_unknown(self, flow: bytes, now: float) -> FlowMessage:
        """Return the reply to a lookup of a flow outside the flow table."""
        judgement = self._judge(flow, now)
        denies = bool(judgement) and not judgement.presumed
        owner = self._directory.find(flow)
        if owner is not None:
            return FlowOwner(flow=flow, owner=owner, denies=denies)
        if denies:
            return FlowNotFound(flow=flow)
        if judgement:
            return FlowPresumedAbsent(flow=flow)
        return FlowUncertain(flow=flow)

    def _forward_unknown_flow(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        judgement = self._judge(packet.flow, now)
        if judgement and not judgement.presumed:
            self._return_packet(packet, address)
            return
        # The upstream returns the packet if it doesn't hold the flow.
        self._probes.setdefault(packet.flow, {})[address] = packet
        self._journal.count('packets-of-unknown-flows')
        doubt = judgement.evidence if judgement else judgement.name
        self._journal.log('BBF0745', flow=format_flow(packet.flow), doubt=doubt)
        self._transport.send_to_upstream(packet, address)

    def _judge(self, flow: bytes, now: float) -> Denial | Sentinel:
        """Return a Denial if the upstream doesn't hold a flow, else why not."""
        judgement = self._unknown_flows.judge(
            flow, now, idle_seconds=self._reporter.idle_seconds
        )
        if judgement:
            self._journal.log(
                'BBF0744',
                flow=format_flow(flow),
                evidence=judgement.evidence,
            )
        return judgement

    def _handle_returned(self, packet: Packet, now: float) -> None:
        flow = self._flows.find(packet.flow)
        balancer = self._reporter.subscriptions.find_by_tag(packet.tag)
        if balancer is None and flow is not None:
            balancer = flow.balancer
        if balancer is None:
            balancer = self._find_prober(packet)
        self._probes.pop(packet.flow, None)
        if flow is not None and _may_be_open_unseen(flow) and not packet.opens:
            # A packet of an earlier flow; the opening goes on.
            self._journal.count('returned-while-opening')
        elif flow is not None:
            self._flows.remove(packet.flow)
            self._reporter.mark_changed()
        elif not packet.opens:
            self._unknown_flows.record_returned(packet.flow)
        if balancer is None:
            self._journal.count('returned-without-balancer')
            return
        if packet.opens:
            self._decline_rejected(packet, balancer, now)
            return
        if flow is None or not flow.confirmed:
            self._return_packet(packet, balancer)
            return
        # The flow was open here, but the upstream has lost it.
        self._journal.count('flows-lost')
        self._journal.log(
            'BBF0725',
            flow=format_flow(packet.flow),
            request=flow.request_id,
            upstream_heard=True,
        )
        self._transport.reset_client(packet)

    def _find_prober(self, packet: Packet) -> Address | None:
        """Return the balancer whose probe was returned, None if unknown."""
        for address in self._probes.get(packet.flow, {}):
            if balancer_tag(address) == packet.tag:
                return address
        return None

    def _return_packet(self, packet: Packet, address: Address) -> None:
        self._transport.send_to_balancer(address, ReturnedPacket(packet=packet))

    def _track_upstream_packet(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        if packet.accepts:
            flow.mark_answered(packet, now)
            return
        if flow.state == OFFERED:
            # A late packet of an earlier flow from the same client port: its
            # numbers say nothing of this flow.
            return
        flow.mark_confirmed()
        if packet.resets and flow.requested_at is not None:
            self._performance.record_failure(now=now)
        if flow.track_upstream_packet(packet, now):
            self._end_request(packet, flow, now)

    def _suppress_reset(
        self, packet: Packet, flow: UpstreamFlow | None, now: float
    ) -> None:
        """Don't forward a reset: another upstream may serve the client."""
        self._journal.count('upstream-resets-kept')
        self._journal.log(
            'BBF0738',
            flow=format_flow(packet.flow),
            state='sought' if flow is None else flow.state,
        )
        self._flows.remove(packet.flow)
        if flow is not None and flow.state == OFFERED:
            self._decline_rejected(
                require(flow.opening_packet, name='packet of an offered flow'),
                require(flow.balancer, name='balancer of an offered flow'),
                now,
            )
        probes = self._probes.pop(packet.flow, {})
        if probes and flow is None:
            self._unknown_flows.record_returned(packet.flow)
        for balancer, probe in probes.items():
            self._return_packet(probe, balancer)

    def _decline_rejected(
        self, packet: Packet, balancer: Address, now: float
    ) -> None:
        self._health.mark_rejected(now)
        # Sent first, so that the balancer knows the state when it selects
        # another agent.
        self._reporter.report_state_change(now)
        self._transport.send_to_balancer(
            balancer, Declined(packet=packet, reason=DECLINED_REJECTED)
        )

    def _learn_flow(self, packet: Packet, now: float) -> UpstreamFlow:
        state = ANSWERED if packet.accepts else OPEN
        flow = self._flows.add(packet.flow, state=state, now=now)
        self._unknown_flows.forget_returned(packet.flow)
        for balancer in self._probes.pop(packet.flow, {}):
            self._transport.send_to_balancer(
                balancer, FlowFound(flow=packet.flow)
            )
        return flow

    def _begin_request(self, packet: Packet, flow: UpstreamFlow) -> None:
        flow.begin_request(
            self._transport.request_id(packet),
            start=packet.sequence,
            request_bytes=self._transport.request_bytes(packet),
        )
        self._journal.count('requests')
        self._journal.log(
            'BBF0723',
            request=flow.request_id,
            flow=format_flow(packet.flow),
            busy=self._flows.in_flight(flow.last_packet_at),
            slots=self._health.slots,
        )

    def _end_request(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        # A rejection may be sent before the whole request has arrived.
        begun_at = flow.received_at or require(
            flow.requested_at, name='request in progress'
        )
        seconds = now - begun_at
        status = self._transport.status(packet)
        self._performance.record_response(
            seconds,
            in_flight=flow.in_flight_at_arrival,
            slots=self._health.slots,
            status=status,
            now=now,
        )
        flow.end_request()
        self._reporter.mark_changed()
        self._journal.observe(seconds)
        self._journal.log(
            'BBF0724',
            request=flow.request_id,
            flow=format_flow(packet.flow),
            status=status,
            milliseconds=round(seconds * MS_PER_SECOND),
        )


def _may_be_open_unseen(flow: UpstreamFlow) -> bool:
    """Tell whether the upstream may have opened a flow that it hasn't answered.

    The opening packet may be a late copy, which the upstream may ignore.
    """
    return flow.state == OFFERED and flow.may_be_older
