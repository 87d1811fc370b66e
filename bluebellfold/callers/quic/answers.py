"""Send what flows have to say, through balancers that live."""

from bluebellfold.agents import ClientDatagram, ReplyDatagram
from bluebellfold.balancers import ReturnPaths
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.resets import ResetAnswers
from bluebellfold.core import Endpoint, Message, Tally


class FlowAnswers:
    """Choose the return path of each datagram, as part of the flows task."""

    __slots__ = ('_envelopes', '_resets', '_returns', '_tally')

    def __init__(
        self,
        *,
        envelopes: EnvelopeSocket,
        tally: Tally,
        now: float,
    ) -> None:
        self._envelopes = envelopes
        self._tally = tally
        self._returns = ReturnPaths()
        self._resets = ResetAnswers(now=now)

    def hear(self, address: int, via: Endpoint, *, now: float) -> None:
        """Note that a balancer brought a datagram for an address."""
        self._returns.hear(address, via, now=now)

    def forget(self, balancer: Endpoint) -> None:
        """Answer no more through a balancer that leaves."""
        self._returns.forget(balancer)

    def send(self, message: Message, target: Endpoint) -> None:
        """Send a message, and count it if the kernel does not take it."""
        if not self._envelopes.send(message, target):
            self._tally.add('send-failed')

    def send_datagrams(self, flow: Flow, *, now: float) -> None:
        """Send what the flow has to say now."""
        for payload, caller in flow.datagrams(now=now):
            answer = ReplyDatagram(
                address=flow.kind.number,
                client=caller,
                payload=payload,
            )
            self.send(answer, self._return_path(flow, now))

    def send_reset(
        self,
        message: ClientDatagram,
        reset_token: bytes,
        via: Endpoint,
        *,
        now: float,
    ) -> None:
        """Answer a packet of an unknown flow, unless it gets no reset."""
        reset = self._resets.answer(message.payload, reset_token, now=now)
        if not reset:
            return
        answer = ReplyDatagram(
            address=message.address,
            client=message.client,
            payload=reset,
        )
        self.send(answer, via)

    def _return_path(self, flow: Flow, now: float) -> Endpoint:
        # A handshake is answered where it came from, so that the balancer
        # learns at once that the agent lives.
        if not flow.is_established:
            return flow.via
        return self._returns.pick(flow.kind.number, now=now) or flow.via
