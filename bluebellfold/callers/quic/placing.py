"""Open the flows that an agent takes, and hand the others on."""

from bluebellfold.agents import (
    Assignment,
    ClientDatagram,
    FlowAccepted,
    FlowAssigner,
    ProbeReply,
)
from bluebellfold.callers.quic.answers import FlowAnswers
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.quic.messages import ServiceChanged
from bluebellfold.callers.quic.opening import FlowOpener
from bluebellfold.core import Clock, Endpoint, Sentinel

WRONG_SERVICE = Sentinel(
    name='wrong-service',
    reason='the datagram is for an upstream of another service',
)
HANDED_ON = Sentinel(
    name='handed-on',
    reason='another agent takes the flow',
)


class FlowPlacing:
    """Act on the placer's decisions, as part of the flows task."""

    __slots__ = ('_answers', '_clock', '_opener', '_placer')

    def __init__(
        self,
        *,
        opener: FlowOpener,
        placer: FlowAssigner,
        answers: FlowAnswers,
        clock: Clock,
    ) -> None:
        self._opener = opener
        self._placer = placer
        self._answers = answers
        self._clock = clock

    def place(
        self,
        message: ClientDatagram,
        flow_key: bytes,
        source: Endpoint,
        service: ServiceChanged,
    ) -> Flow | Sentinel:
        """Return a new flow, or why there is none here."""
        kind = service.kind_at(message.address)
        if not kind:
            return WRONG_SERVICE
        now = self._clock.now()
        placed = self._placer.assign(message, flow_key, source, now=now)
        if isinstance(placed, Sentinel):
            return placed
        if placed.owner != self._placer.own_endpoint:
            self._hand_on(message, placed, source)
            return HANDED_ON
        return self._opener.open(
            flow_key,
            kind=kind,
            service=service.service.number,
            caller=message.client,
            now=now,
        )

    def confirm(
        self,
        flow: Flow,
        message: ClientDatagram,
        source: Endpoint,
    ) -> None:
        """Tell the flow's home that this agent has the flow."""
        if message.hops:
            self._answers.send(FlowAccepted(payload=flow.key), source)

    def _hand_on(
        self,
        message: ClientDatagram,
        placed: Assignment,
        source: Endpoint,
    ) -> None:
        if not message.hops:
            # The answers will come from the owner: without this one the
            # balancer would take its silent home for dead.
            self._answers.send(ProbeReply(), source)
        self._answers.send(
            message.replace(
                hops=message.hops + 1,
                offered_fill=placed.offered_fill,
                via=message.via or source,
            ),
            placed.owner,
        )
