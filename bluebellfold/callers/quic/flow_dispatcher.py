"""Open the flows assigned to this agent and forward the others."""

from bluebellfold.agents import (
    Assignment,
    ClientDatagram,
    FlowAccepted,
    FlowAssigner,
    ProbeReply,
)
from bluebellfold.callers.quic.datagram_sender import DatagramSender
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.messages import ServiceChanged
from bluebellfold.core import Clock, Endpoint, Sentinel

WRONG_SERVICE = Sentinel(
    name='wrong-service',
    reason='the datagram is for an upstream of another service',
)
FORWARDED = Sentinel(
    name='handed-on',
    reason='the flow was assigned to another agent and forwarded to it',
)


class FlowDispatcher:
    """Carry out the decisions of the flow assigner for the flows task."""

    __slots__ = ('_sender', '_clock', '_opener', '_assigner')

    def __init__(
        self,
        *,
        opener: FlowOpener,
        assigner: FlowAssigner,
        sender: DatagramSender,
        clock: Clock,
    ) -> None:
        self._opener = opener
        self._assigner = assigner
        self._sender = sender
        self._clock = clock

    def dispatch(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        source: Endpoint,
        change: ServiceChanged,
    ) -> Flow | Sentinel:
        """Return a new flow, or the reason why none was opened here."""
        kind = change.kind_at(message.address)
        if not kind:
            return WRONG_SERVICE
        now = self._clock.now()
        assignment = self._assigner.assign(message, flow_key, source, now=now)
        if isinstance(assignment, Sentinel):
            return assignment
        if assignment.owner != self._assigner.own_endpoint:
            self._forward(message, assignment, source)
            return FORWARDED
        return self._opener.open(
            flow_key,
            kind=kind,
            service=change.service.number,
            client=message.client,
            now=now,
        )

    def confirm_accepted(
        self,
        flow: Flow,
        message: ClientDatagram,
        source: Endpoint,
    ) -> None:
        """Tell the primary of a forwarded flow that this agent accepted it."""
        if message.hops:
            self._sender.send(FlowAccepted(payload=flow.key), source)

    def _forward(
        self,
        message: ClientDatagram,
        assignment: Assignment,
        source: Endpoint,
    ) -> None:
        if not message.hops:
            # The owner replies to the client, so without this probe reply the
            # balancer would presume the primary dead.
            self._sender.send(ProbeReply(), source)
        self._sender.send(
            message.replace(
                hops=message.hops + 1,
                offered_fill=assignment.offered_fill,
                via=message.via or source,
            ),
            assignment.owner,
        )
