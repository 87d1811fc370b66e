"""Decide where the packets of an upstream's flows go, in both directions."""

from bluebellfold.core import Packet, show_flow
from bluebellfold.relay.agents import (
    DECLINED_REJECTED,
    DOWN,
    Address,
    Declined,
    Denied,
    FlowMessage,
    Held,
    MayHold,
    NotHeld,
    Seek,
)
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.flow_table import FlowTable
from bluebellfold.relay.upstreams.flows import (
    ANSWERED,
    OFFERED,
    OPEN,
    UpstreamFlow,
)
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.outlet import Outlet
from bluebellfold.relay.upstreams.performance import Performance
from bluebellfold.relay.upstreams.standing import Standing

MILLISECONDS = 1000


class Carriage:
    """Carry packets between balancers, the upstream and clients."""

    __slots__ = (
        '_flows',
        '_health',
        '_journal',
        '_outlet',
        '_performance',
        '_sought',
        '_standing',
    )

    def __init__(
        self,
        *,
        standing: Standing,
        health: UpstreamHealth,
        flows: FlowTable,
        performance: Performance,
        outlet: Outlet,
        journal: Journal,
    ) -> None:
        self._standing = standing
        self._health = health
        self._flows = flows
        self._performance = performance
        self._outlet = outlet
        self._journal = journal
        self._sought: dict[bytes, dict[Address, Packet]] = {}

    def answer(self, message: Seek, address: Address, now: float) -> None:
        """Tell a balancer whether the upstream holds a flow."""
        flow = self._flows.find(message.flow)
        told: type[FlowMessage] = Denied
        if flow is not None and flow.is_acknowledged(message.acknowledged):
            told = Held
        elif flow is None and not self._is_known_to_lack(now):
            told = MayHold
        self._outlet.tell_balancer(address, told(flow=message.flow))

    def bring(self, packet: Packet, address: Address, now: float) -> None:
        """Take a client's packet to the upstream, if it holds the flow."""
        flow = self._flows.find(packet.flow)
        if flow is None:
            self._bring_unknown(packet, address, now)
            return
        if not flow.is_acknowledged(packet.acknowledged):
            self._deny(packet, address)
            return
        if flow.state == ANSWERED:
            flow.open()
            self._journal.count('flows-opened')
            self._journal.note('BBF0722', flow=show_flow(packet.flow))
        if flow.send_to_upstream(packet, now):
            self._begin_request(packet, flow)
        if flow.complete_request(now):
            self._standing.change()
            flow.note_company(self._flows.busy(now))
        self._outlet.send_upstream(packet, address)

    def take(self, packet: Packet, now: float) -> None:
        """Take what the upstream sends to a client, or gives back."""
        if packet.returned:
            self._take_returned(packet)
            return
        flow = self._flows.find(packet.flow)
        if packet.resets and (flow is None or flow.state != OPEN):
            self._keep_reset(packet, flow)
            return
        if flow is None:
            flow = self._learn(packet, now)
        self._note_answer(packet, flow, now)
        self._outlet.send_client(packet)

    def forget_searches(self) -> None:
        """Forget which packets of unknown flows were delivered."""
        self._sought.clear()

    def _bring_unknown(
        self, packet: Packet, address: Address, now: float
    ) -> None:
        if self._is_known_to_lack(now):
            self._deny(packet, address)
            return
        # The upstream gives the packet back if it doesn't hold the flow.
        self._sought.setdefault(packet.flow, {})[address] = packet
        self._outlet.send_upstream(packet, address)

    def _is_known_to_lack(self, now: float) -> bool:
        """Tell whether a flow that isn't known here is not held."""
        certain = self._standing.is_certain(now)
        return certain or self._health.state(now) == DOWN

    def _take_returned(self, packet: Packet) -> None:
        flow = self._flows.find(packet.flow)
        balancer = self._standing.subscriptions.find_tagged(packet.tag)
        if balancer is None and flow is not None:
            balancer = flow.balancer
        self._sought.pop(packet.flow, None)
        if flow is not None:
            self._flows.remove(packet.flow)
            self._standing.change()
        if balancer is None:
            self._journal.count('returned-without-balancer')
            return
        if packet.opens:
            self._outlet.tell_balancer(
                balancer, Declined(packet=packet, reason=DECLINED_REJECTED)
            )
            return
        if flow is None or not flow.confirmed:
            self._deny(packet, balancer)
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

    def _deny(self, packet: Packet, address: Address) -> None:
        self._outlet.tell_balancer(address, NotHeld(packet=packet))

    def _note_answer(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        if packet.accepts:
            flow.answer(packet, now)
            return
        if flow.state != OFFERED:
            flow.confirm()
        if packet.resets and flow.requested_at is not None:
            self._performance.note_failure(now=now)
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
                Declined(packet=flow.opening, reason=DECLINED_REJECTED),
            )
        sought = self._sought.pop(packet.flow, {})
        for balancer, brought in sought.items():
            self._deny(brought, balancer)

    def _learn(self, packet: Packet, now: float) -> UpstreamFlow:
        state = ANSWERED if packet.accepts else OPEN
        flow = self._flows.add(packet.flow, state=state, now=now)
        for balancer in self._sought.pop(packet.flow, {}):
            self._outlet.tell_balancer(balancer, Held(flow=packet.flow))
        return flow

    def _begin_request(self, packet: Packet, flow: UpstreamFlow) -> None:
        flow.begin_request(
            self._outlet.request_id(packet),
            first=packet.sequence,
            request_bytes=self._outlet.request_bytes(packet),
        )
        self._journal.count('requests')
        self._journal.note(
            'BBF0723',
            request=flow.request_id,
            flow=show_flow(packet.flow),
            busy=self._flows.busy(flow.used_at),
            slots=self._health.slots,
        )

    def _end_request(
        self, packet: Packet, flow: UpstreamFlow, now: float
    ) -> None:
        # An answer may come before the whole request, as a rejection does.
        seconds = now - (flow.whole_at or flow.requested_at)
        status = self._outlet.status(packet)
        self._performance.note_answer(
            seconds,
            busy=flow.busy_with,
            slots=self._health.slots,
            status=status,
            now=now,
        )
        flow.end_request()
        self._standing.change()
        self._journal.observe(seconds)
        self._journal.note(
            'BBF0724',
            request=flow.request_id,
            flow=show_flow(packet.flow),
            status=status,
            milliseconds=round(seconds * MILLISECONDS),
        )
