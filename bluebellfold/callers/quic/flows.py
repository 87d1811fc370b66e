"""Serve the flows that an agent owns and forward the others."""

import logging
from collections.abc import Iterable

from bluebellfold.agents import (
    BalancerLeaving,
    ClientDatagram,
    FlowAccepted,
    FlowAssigner,
    LoadReport,
    Probe,
    ProbeReply,
)
from bluebellfold.callers.invariants import parse_packet_header
from bluebellfold.callers.messages import UpdateKeys
from bluebellfold.callers.quic.datagram_sender import DatagramSender
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.flow_dispatcher import (
    FORWARDED,
    WRONG_SERVICE,
    FlowDispatcher,
)
from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.flow_table import FlowTable
from bluebellfold.callers.quic.load_reporter import LoadChange, LoadReporter
from bluebellfold.callers.quic.messages import (
    CertificateChanged,
    DrainFlows,
    FlowCounts,
    FlowEnded,
    GetFlowCounts,
    ServiceChanged,
)
from bluebellfold.callers.quic.pending_drains import PendingDrains
from bluebellfold.callers.quic.requests import FlowRequests
from bluebellfold.callers.quic.timers import FlowTimers
from bluebellfold.callers.quic.tracing import FlowTracer
from bluebellfold.collectors import DropLog, Traces
from bluebellfold.core import (
    Actor,
    Clock,
    Endpoint,
    Message,
    Registry,
    Sentinel,
    Tally,
)
from bluebellfold.upstreams import (
    BodyBytesSent,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    UpstreamLoadReported,
    UpstreamShed,
    UsageChanged,
)

_log = logging.getLogger(__name__)

# Longer than a response and its acknowledgement need on the network path.
DRAIN_IDLE_SECONDS = 3.0

UNKNOWN_FLOW = Sentinel(
    name='unknown-flow',
    reason='no flow of this agent has the connection id of the packet',
)
HANDSHAKE_ABANDONED = Sentinel(
    name='handshake-abandoned',
    reason='the client did not complete its handshake with this agent in time',
)

_envelope_reactions = Registry(name='reactions to envelopes')


class FlowsTask(Actor):
    """Own an agent's datagram socket and the flows received on it.

    ``requests`` is the task that runs the requests of the flows.
    """

    reactions = Registry(name='reactions of the flows task')

    def __init__(
        self,
        *,
        envelopes: EnvelopeSocket,
        opener: FlowOpener,
        assigner: FlowAssigner,
        service: ServiceChanged,
        requests: Actor,
        traces: Traces,
        clock: Clock,
    ) -> None:
        super().__init__(name='flows')
        self._tracer = FlowTracer(traces=traces)
        self._drops = DropLog(logger=_log, clock=clock)
        self._envelopes = envelopes
        self._opener = opener
        self._assigner = assigner
        self._latest_change = service
        self._clock = clock
        self._flows = FlowTable()
        self._timers = FlowTimers(clock=clock, handle_timer=self._handle_timer)
        self._drains = PendingDrains(close_idle=self._close_idle_flows)
        self._tally = Tally()
        self._sender = DatagramSender(
            envelopes=envelopes,
            tally=self._tally,
            now=clock.now(),
        )
        self._dispatcher = FlowDispatcher(
            opener=opener,
            assigner=assigner,
            sender=self._sender,
            clock=clock,
        )
        self._load_reporter = LoadReporter(
            assigner=assigner,
            sender=self._sender,
            clock=clock,
        )
        self._requests = FlowRequests(
            owner=self,
            requests=requests,
            tracer=self._tracer,
            clock=clock,
        )

    async def open(self) -> None:
        """Bind the datagram socket or raise AddressInUseError."""
        self._envelopes.open(self._read_messages)

    async def close(self) -> None:
        """Close all flows without error, then the socket."""
        self._close_all_flows()
        self._drains.close()
        self._timers.close()
        self._load_reporter.close()
        self._envelopes.close()
        await super().close()

    @reactions.add(ServiceChanged)
    def _update_service(self, message: ServiceChanged) -> None:
        self._latest_change = message
        self._assigner.update_service(message.service, message.members)
        self._load_reporter.schedule_report()

    @reactions.add(UpdateKeys)
    def _update_keys(self, message: UpdateKeys) -> None:
        self._envelopes.update_keys(message.envelope_keys)
        if not self._opener.update_keys(message.token_keys):
            return
        for flow in self._flows:
            flow.renew_connection_ids()
            self._process(flow, ())

    @reactions.add(CertificateChanged)
    def _update_certificate(self, message: CertificateChanged) -> None:
        self._opener.update_certificate(message.quic)

    @reactions.add(DrainFlows)
    def _start_drain(self, message: DrainFlows) -> None:
        self._assigner.drain()
        self._drains.add(message, handle_deadline=self._expire_drain)
        for flow in self._flows:
            flow.announce_drain()
            self._process(flow, ())
        self._report_if_drained()

    @reactions.add(GetFlowCounts)
    def _reply_with_counts(self, message: GetFlowCounts) -> None:
        message.reply.put(self._flow_counts())

    @reactions.add(UsageChanged)
    @reactions.add(UpstreamShed)
    @reactions.add(UpstreamLoadReported)
    def _record_load_change(self, message: LoadChange) -> None:
        self._load_reporter.record_change(message)

    @reactions.add(ResponseHead)
    @reactions.add(ResponseBody)
    @reactions.add(ResponseEnd)
    @reactions.add(BodyBytesSent)
    def _handle_response(self, message: Message) -> None:
        flow = self._requests.handle_response(message)
        if flow is not None:
            self._process(flow, ())

    def _read_messages(self) -> None:
        for received in self._envelopes.receive():
            message = received.message
            if isinstance(message, Sentinel):
                self._drop(message)
                continue
            react = _envelope_reactions.get(message.__class__)
            if react is None:
                self._tally.add('unexpected-message')
                continue
            react(self, message, received.source)

    @_envelope_reactions.add(Probe)
    def _reply_to_probe(self, _message: Probe, source: Endpoint) -> None:
        self._sender.send(ProbeReply(), source)

    @_envelope_reactions.add(BalancerLeaving)
    def _remove_balancer(
        self,
        _message: BalancerLeaving,
        source: Endpoint,
    ) -> None:
        self._sender.remove_balancer(source)

    @_envelope_reactions.add(LoadReport)
    def _update_peer_load(self, message: LoadReport, _source: Endpoint) -> None:
        self._assigner.update_peer_load(message.load, now=self._clock.now())

    @_envelope_reactions.add(FlowAccepted)
    def _record_accepted(self, message: FlowAccepted, source: Endpoint) -> None:
        self._assigner.record_accepted(
            message.flow_key, source, now=self._clock.now()
        )

    @_envelope_reactions.add(ClientDatagram)
    def _handle_datagram(
        self, message: ClientDatagram, source: Endpoint
    ) -> None:
        header = parse_packet_header(message.payload)
        if not header:
            self._drop(header)
            return
        now = self._clock.now()
        via = message.via or source
        self._sender.record_source(message.address, via, now=now)
        token = self._opener.read_token(header.connection_id)
        if token and token.service != self._latest_change.service.number:
            self._drop(WRONG_SERVICE)
            return
        flow = self._flows.find(header.connection_id)
        if flow is not None:
            self._receive(flow, message, via)
            self._dispatcher.confirm_accepted(flow, message, source)
            return
        if token or not header.opens_flow:
            self._reject_unknown(message, header.connection_id, via)
            return
        self._dispatch(message, header.connection_id, source)

    def _dispatch(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        source: Endpoint,
    ) -> None:
        flow = self._dispatcher.dispatch(
            message, flow_key, source, self._latest_change
        )
        if flow is FORWARDED:
            self._tally.add(FORWARDED.name)
            return
        if isinstance(flow, Sentinel):
            self._drop(flow)
            return
        self._flows.add(flow)
        self._tally.add('flows-started')
        self._receive(flow, message, message.via or source)
        self._dispatcher.confirm_accepted(flow, message, source)
        self._load_reporter.update_flows(len(self._flows))

    def _receive(
        self,
        flow: Flow,
        message: ClientDatagram,
        via: Endpoint,
    ) -> None:
        messages = flow.receive(
            message.payload,
            client=message.client,
            via=via,
            now=self._clock.now(),
        )
        self._process(flow, messages)

    def _handle_timer(self, flow: Flow) -> None:
        now = self._clock.now()
        if flow.is_handshake_expired(now=now):
            # No close is sent: the client may have completed a handshake
            # with another agent under the same original connection id, and a
            # close could end that connection.
            self._remove_flow(flow, HANDSHAKE_ABANDONED.name)
            return
        self._process(flow, flow.handle_timer(now=now))

    def _process(self, flow: Flow, messages: Iterable[Message]) -> None:
        """Handle the messages of a flow, then send its datagrams."""
        for message in messages:
            if isinstance(message, FlowEnded):
                self._end_flow(flow, message)
                return
            self._requests.handle_flow_message(flow, message)
        self._send_datagrams(flow)
        self._requests.confirm_forwarded(flow)
        self._flows.update_ids(flow)
        self._timers.arm(flow)

    def _end_flow(self, flow: Flow, message: FlowEnded) -> None:
        self._send_datagrams(flow)
        self._tracer.record_flow(flow, message.error_code)
        self._remove_flow(
            flow,
            'flows-broken' if message.error_code else 'flows-ended',
        )

    def _remove_flow(self, flow: Flow, count_name: str) -> None:
        self._tally.add(count_name)
        self._requests.cancel_requests(flow)
        self._flows.remove(flow)
        self._timers.cancel(flow)
        self._load_reporter.update_flows(len(self._flows))
        self._report_if_drained()

    def _send_datagrams(self, flow: Flow) -> None:
        self._sender.send_datagrams(flow, now=self._clock.now())

    def _reject_unknown(
        self,
        message: ClientDatagram,
        connection_id: bytes,
        via: Endpoint,
    ) -> None:
        self._drop(UNKNOWN_FLOW)
        self._sender.send_reset(
            message,
            self._opener.reset_token(connection_id),
            via,
            now=self._clock.now(),
        )

    def _close_idle_flows(self) -> None:
        """Close flows without requests that are idle after GOAWAY."""
        now = self._clock.now()
        for flow in self._flows:
            if self._requests.has_requests(flow):
                continue
            if flow.idle_seconds(now=now) >= DRAIN_IDLE_SECONDS:
                flow.close()
                self._process(flow, ())

    def _close_all_flows(self) -> None:
        for flow in self._flows:
            flow.close()
            self._send_datagrams(flow)

    def _expire_drain(self) -> None:
        open_counts = self._flow_counts()
        # Balancers reset the flows of an agent that has left, so the flows
        # are closed before the agent announces that it has left.
        self._close_all_flows()
        self._drains.finish(open_counts)

    def _report_if_drained(self) -> None:
        if not len(self._flows):
            self._report_drained()

    def _report_drained(self) -> None:
        self._drains.finish(self._flow_counts())

    def _flow_counts(self) -> FlowCounts:
        return FlowCounts(
            flows=len(self._flows),
            requests=len(self._requests),
            counts=self._tally.counts(),
        )

    def _drop(self, reason: Sentinel) -> None:
        self._tally.add(reason.name)
        self._drops.log_drop(reason.name)
