"""Send the datagrams of flows through balancers that were active recently."""

from bluebellfold.agents import ClientDatagram, ReplyDatagram
from bluebellfold.balancers import ReturnPaths
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flow import Flow
from bluebellfold.callers.resets import StatelessResets
from bluebellfold.core import Endpoint, Message, Tally


class DatagramSender:
    """Send messages and choose return paths for the flows task."""

    __slots__ = ('_envelopes', '_resets', '_return_paths', '_tally')

    def __init__(
        self,
        *,
        envelopes: EnvelopeSocket,
        tally: Tally,
        now: float,
    ) -> None:
        self._envelopes = envelopes
        self._tally = tally
        self._return_paths = ReturnPaths()
        self._resets = StatelessResets(now=now)

    def record_source(self, address: int, via: Endpoint, *, now: float) -> None:
        """Record that a balancer forwarded a datagram for an address."""
        self._return_paths.record_datagram(address, via, now=now)

    def remove_balancer(self, balancer: Endpoint) -> None:
        """Stop sending through a balancer that leaves."""
        self._return_paths.remove_balancer(balancer)

    def send(self, message: Message, target: Endpoint) -> None:
        """Send a message; count a failure if the kernel refuses it."""
        if not self._envelopes.send(message, target):
            self._tally.add('send-failed')

    def send_datagrams(self, flow: Flow, *, now: float) -> None:
        """Send the datagrams that the flow has to send now."""
        for payload, client in flow.datagrams(now=now):
            reply = ReplyDatagram(
                address=flow.kind.number,
                client=client,
                payload=payload,
            )
            self.send(reply, self._return_path(flow, now))

    def send_reset(
        self,
        message: ClientDatagram,
        reset_token: bytes,
        via: Endpoint,
        *,
        now: float,
    ) -> None:
        """Send a stateless reset for an unknown flow, at a limited rate."""
        reset = self._resets.build(message.payload, reset_token, now=now)
        if not reset:
            return
        reply = ReplyDatagram(
            address=message.address,
            client=message.client,
            payload=reset,
        )
        self.send(reply, via)

    def _return_path(self, flow: Flow, now: float) -> Endpoint:
        # Handshake packets go back through the balancer that forwarded them,
        # so that its failure detector does not suspect this agent.
        if not flow.is_established:
            return flow.via
        return (
            self._return_paths.next_balancer(flow.kind.number, now=now)
            or flow.via
        )
