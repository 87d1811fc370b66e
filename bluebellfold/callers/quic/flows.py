"""Serve the flows that an agent owns, and hand on the others."""

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
from bluebellfold.callers.invariants import read_caller_header
from bluebellfold.callers.messages import ChangeKeys
from bluebellfold.callers.quic.answers import FlowAnswers
from bluebellfold.callers.quic.drains import DrainWatch
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.hops import FlowHops
from bluebellfold.callers.quic.messages import (
    CertificateChanged,
    DrainFlows,
    FlowCounts,
    FlowEnded,
    GetFlowCounts,
    ServiceChanged,
)
from bluebellfold.callers.quic.opening import FlowOpener
from bluebellfold.callers.quic.placing import (
    HANDED_ON,
    WRONG_SERVICE,
    FlowPlacing,
)
from bluebellfold.callers.quic.requests import FlowRequests
from bluebellfold.callers.quic.sharing import LoadNews, LoadSharing
from bluebellfold.callers.quic.table import FlowTable
from bluebellfold.callers.quic.timers import FlowTimers
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

# Longer than an answer and its acknowledgement take on the users' paths.
QUIET_SECONDS = 3.0

UNKNOWN_FLOW = Sentinel(
    name='unknown-flow',
    reason='no flow here has the connection id of the packet',
)
HANDSHAKE_ABANDONED = Sentinel(
    name='handshake-abandoned',
    reason='the caller did not complete its handshake here in time',
)

_envelope_reactions = Registry(name='reactions to envelopes')


class FlowsTask(Actor):
    """Own an agent's datagram socket and the flows that come through it.

    ``requests`` is the task that runs the requests of the flows.
    """

    reactions = Registry(name='reactions of the flows task')

    def __init__(
        self,
        *,
        envelopes: EnvelopeSocket,
        opener: FlowOpener,
        placer: FlowAssigner,
        service: ServiceChanged,
        requests: Actor,
        traces: Traces,
        clock: Clock,
    ) -> None:
        super().__init__(name='flows')
        self._hops = FlowHops(traces=traces)
        self._drops = DropLog(logger=_log, clock=clock)
        self._envelopes = envelopes
        self._opener = opener
        self._placer = placer
        self._service = service
        self._clock = clock
        self._flows = FlowTable()
        self._timers = FlowTimers(clock=clock, wake=self._wake)
        self._drain = DrainWatch(close_idle=self._close_idle)
        self._tally = Tally()
        self._answers = FlowAnswers(
            envelopes=envelopes,
            tally=self._tally,
            now=clock.now(),
        )
        self._placing = FlowPlacing(
            opener=opener,
            placer=placer,
            answers=self._answers,
            clock=clock,
        )
        self._loads = LoadSharing(
            placer=placer,
            answers=self._answers,
            clock=clock,
        )
        self._requests = FlowRequests(
            owner=self,
            requests=requests,
            hops=self._hops,
            clock=clock,
        )

    async def open(self) -> None:
        """Bind the datagram socket, or raise AddressInUseError."""
        self._envelopes.open(self._read)

    async def close(self) -> None:
        """Close all flows in good order, then the socket."""
        self._close_all()
        self._drain.close()
        self._timers.close()
        self._loads.close()
        self._envelopes.close()
        await super().close()

    @reactions.add(ServiceChanged)
    def _change_service(self, message: ServiceChanged) -> None:
        self._service = message
        self._placer.update_service(message.service, message.members)
        self._loads.note_peers()

    @reactions.add(ChangeKeys)
    def _change_keys(self, message: ChangeKeys) -> None:
        self._envelopes.change_keys(message.envelope_keys)
        if not self._opener.change_keys(message.token_keys):
            return
        for flow in self._flows:
            flow.renew_connection_ids()
            self._settle(flow, ())

    @reactions.add(CertificateChanged)
    def _change_certificate(self, message: CertificateChanged) -> None:
        self._opener.change_certificate(message.quic)

    @reactions.add(DrainFlows)
    def _start_drain(self, message: DrainFlows) -> None:
        self._placer.drain()
        self._drain.start(message, expire=self._expire_drain)
        for flow in self._flows:
            flow.announce_drain()
            self._settle(flow, ())
        self._report_if_drained()

    @reactions.add(GetFlowCounts)
    def _answer_counts(self, message: GetFlowCounts) -> None:
        message.reply.put(self._count())

    @reactions.add(UsageChanged)
    @reactions.add(UpstreamShed)
    @reactions.add(UpstreamLoadReported)
    def _change_load(self, message: LoadNews) -> None:
        self._loads.take(message)

    @reactions.add(ResponseHead)
    @reactions.add(ResponseBody)
    @reactions.add(ResponseEnd)
    @reactions.add(BodyBytesSent)
    def _pass_answer(self, message: Message) -> None:
        flow = self._requests.answer(message)
        if flow is not None:
            self._settle(flow, ())

    def _read(self) -> None:
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
    def _answer_probe(self, _message: Probe, source: Endpoint) -> None:
        self._answers.send(ProbeReply(), source)

    @_envelope_reactions.add(BalancerLeaving)
    def _forget_balancer(
        self,
        _message: BalancerLeaving,
        source: Endpoint,
    ) -> None:
        self._answers.forget(source)

    @_envelope_reactions.add(LoadReport)
    def _note_load(self, message: LoadReport, _source: Endpoint) -> None:
        self._placer.update_peer_load(message.load, now=self._clock.now())

    @_envelope_reactions.add(FlowAccepted)
    def _note_taken(self, message: FlowAccepted, source: Endpoint) -> None:
        self._placer.record_accepted(
            message.flow_key, source, now=self._clock.now()
        )

    @_envelope_reactions.add(ClientDatagram)
    def _take_datagram(self, message: ClientDatagram, source: Endpoint) -> None:
        header = read_caller_header(message.payload)
        if not header:
            self._drop(header)
            return
        now = self._clock.now()
        via = message.via or source
        self._answers.hear(message.address, via, now=now)
        token = self._opener.read_token(header.connection_id)
        if token and token.service != self._service.service.number:
            self._drop(WRONG_SERVICE)
            return
        flow = self._flows.find(header.connection_id)
        if flow is not None:
            self._receive(flow, message, via)
            self._placing.confirm(flow, message, source)
            return
        if token or not header.opens_flow:
            self._reject_unknown(message, header.connection_id, via)
            return
        self._place(message, header.connection_id, source)

    def _place(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        source: Endpoint,
    ) -> None:
        flow = self._placing.place(message, flow_key, source, self._service)
        if flow is HANDED_ON:
            self._tally.add(HANDED_ON.name)
            return
        if isinstance(flow, Sentinel):
            self._drop(flow)
            return
        self._flows.add(flow)
        self._tally.add('flows-started')
        self._receive(flow, message, message.via or source)
        self._placing.confirm(flow, message, source)
        self._loads.note_flows(len(self._flows))

    def _receive(
        self,
        flow: Flow,
        message: ClientDatagram,
        via: Endpoint,
    ) -> None:
        reports = flow.receive(
            message.payload,
            caller=message.client,
            via=via,
            now=self._clock.now(),
        )
        self._settle(flow, reports)

    def _wake(self, flow: Flow) -> None:
        now = self._clock.now()
        if flow.is_abandoned(now=now):
            # Without a word: the caller may have another agent's handshake
            # under the same first id, and a close could end that one.
            self._forget(flow, HANDSHAKE_ABANDONED.name)
            return
        self._settle(flow, flow.wake(now=now))

    def _settle(self, flow: Flow, reports: Iterable[Message]) -> None:
        """Act on what a flow reported, and send what it has to say."""
        for report in reports:
            if isinstance(report, FlowEnded):
                self._end(flow, report)
                return
            self._requests.report(flow, report)
        self._send_datagrams(flow)
        self._requests.confirm_sent(flow)
        self._flows.refresh(flow)
        self._timers.arm(flow)

    def _end(self, flow: Flow, report: FlowEnded) -> None:
        self._send_datagrams(flow)
        self._hops.note_flow(flow, report.error_code)
        self._forget(
            flow,
            'flows-broken' if report.error_code else 'flows-ended',
        )

    def _forget(self, flow: Flow, counted_as: str) -> None:
        self._tally.add(counted_as)
        self._requests.withdraw(flow)
        self._flows.remove(flow)
        self._timers.cancel(flow)
        self._loads.note_flows(len(self._flows))
        self._report_if_drained()

    def _send_datagrams(self, flow: Flow) -> None:
        self._answers.send_datagrams(flow, now=self._clock.now())

    def _reject_unknown(
        self,
        message: ClientDatagram,
        connection_id: bytes,
        via: Endpoint,
    ) -> None:
        self._drop(UNKNOWN_FLOW)
        self._answers.send_reset(
            message,
            self._opener.reset_token(connection_id),
            via,
            now=self._clock.now(),
        )

    def _close_idle(self) -> None:
        """Close flows whose callers were told to leave and ask no more."""
        now = self._clock.now()
        for flow in self._flows:
            if self._requests.holds(flow):
                continue
            if flow.quiet_seconds(now=now) >= QUIET_SECONDS:
                flow.close()
                self._settle(flow, ())

    def _close_all(self) -> None:
        for flow in self._flows:
            flow.close()
            self._send_datagrams(flow)

    def _expire_drain(self) -> None:
        left_open = self._count()
        # Balancers reset the flows of an agent that has left, so callers
        # have to be told of the close before balancers are told to forget.
        self._close_all()
        self._drain.finish(left_open)

    def _report_if_drained(self) -> None:
        if not len(self._flows):
            self._report_drained()

    def _report_drained(self) -> None:
        self._drain.finish(self._count())

    def _count(self) -> FlowCounts:
        return FlowCounts(
            flows=len(self._flows),
            requests=len(self._requests),
            counts=self._tally.counts(),
        )

    def _drop(self, reason: Sentinel) -> None:
        self._tally.add(reason.name)
        self._drops.note(reason.name)
