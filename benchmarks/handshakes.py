"""Print the processor time of a handshake with one request, at the agent.

The bare side is aioquic with an HTTP/3 connection that answers at once; the
agent's side is its flow under token connection ids with envelopes and the
requests' bookkeeping, answering at once too. The caller's own time is not
counted. Run: python -m benchmarks.handshakes
"""

import ssl
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from bluebellfold.agents import ClientDatagram, EnvelopeCodec, ReplyDatagram
from bluebellfold.callers.quic import FlowOpener, load_quic
from bluebellfold.callers.quic.messages import RequestHead
from bluebellfold.core import SLOT, Endpoint, Key, Kind
from bluebellfold.standins.certificates import write_certificate

FLOWS = 60
MILLISECONDS = 1000
CALLER = Endpoint(host='127.0.0.1', port=4433)
AGENT = Endpoint(host='127.0.0.1', port=4434)
KEYS = (Key(number=1, secret=bytes(16)),)
KIND = Kind(
    name='order',
    number=1,
    service='counter',
    port=1,
    urgency=0,
    share=1,
    repeatable=False,
    holds=SLOT,
    queue_seconds=1,
    deadline_seconds=1,
    first_flights_per_second=1,
)
Serve = Callable[[list[bytes]], list[bytes]]


class Caller:
    """Make one request over a connection of its own."""

    def __init__(self) -> None:
        self._quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                verify_mode=ssl.CERT_NONE,
            )
        )
        self._http = H3Connection(self._quic)
        self._asked = False
        self.answered = False
        self._quic.connect(('127.0.0.1', 4434), now=time.monotonic())

    @property
    def first_id(self) -> bytes:
        """Return the connection id of the first flight."""
        return self._quic.original_destination_connection_id

    def send(self) -> list[bytes]:
        """Return the datagrams to send now."""
        return [
            sent for sent, _ in self._quic.datagrams_to_send(time.monotonic())
        ]

    def receive(self, datagrams: list[bytes]) -> None:
        """Take datagrams, and ask once the handshake is done."""
        for datagram in datagrams:
            self._quic.receive_datagram(
                datagram, ('127.0.0.1', 4434), time.monotonic()
            )
        event = self._quic.next_event()
        while event is not None:
            for answer in self._http.handle_event(event):
                self.answered |= isinstance(answer, HeadersReceived)
            event = self._quic.next_event()
        if not self._asked and self._quic._handshake_complete:
            self._asked = True
            head = [
                (b':method', b'GET'),
                (b':scheme', b'https'),
                (b':authority', b'x'),
                (b':path', b'/'),
            ]
            self._http.send_headers(0, head, end_stream=True)


def serve_bare(configuration: QuicConfiguration, caller: Caller) -> Serve:
    """Return a bare aioquic server for one flow."""
    quic = QuicConnection(
        configuration=configuration,
        original_destination_connection_id=caller.first_id,
    )
    http = H3Connection(quic)

    def serve(datagrams: list[bytes]) -> list[bytes]:
        now = time.monotonic()
        for datagram in datagrams:
            quic.receive_datagram(datagram, ('127.0.0.1', 4433), now)
        event = quic.next_event()
        while event is not None:
            for request in http.handle_event(event):
                if isinstance(request, HeadersReceived):
                    http.send_headers(0, [(b':status', b'200')])
                    http.send_data(0, b'ok', end_stream=True)
            event = quic.next_event()
        return [sent for sent, _ in quic.datagrams_to_send(now)]

    return serve


def serve_agent(opener: FlowOpener, caller: Caller) -> Serve:
    """Return an agent's flow behind envelopes."""
    codec = EnvelopeCodec(keys=KEYS)
    flow = opener.open(
        caller.first_id,
        kind=KIND,
        service=1,
        caller=CALLER,
        now=time.monotonic(),
    )

    def serve(datagrams: list[bytes]) -> list[bytes]:
        now = time.monotonic()
        for datagram in datagrams:
            message = codec.decode(datagram)
            reports = flow.receive(
                message.payload, caller=message.client, via=CALLER, now=now
            )
            for report in reports:
                if isinstance(report, RequestHead):
                    flow.send_head(0, 200, ())
                    flow.send_body(0, b'ok', last=True)
        return [
            codec.encode(
                ReplyDatagram(address=1, client=caller_at, payload=sent)
            )
            for sent, caller_at in flow.datagrams(now=now)
        ]

    return serve


def run_flow(serve: Serve, caller: Caller, *, wrapped: bool) -> float:
    """Return the server's processor time of one flow, in milliseconds."""
    codec = EnvelopeCodec(keys=KEYS)
    spent = float()
    for _ in range(10):
        sent = caller.send()
        if wrapped:
            sent = [
                codec.encode(
                    ClientDatagram(address=1, client=CALLER, payload=datagram)
                )
                for datagram in sent
            ]
        started = time.process_time()
        answers = serve(sent)
        spent += time.process_time() - started
        if wrapped:
            answers = [codec.decode(answer).payload for answer in answers]
        caller.receive(answers)
        if caller.answered:
            return spent * MILLISECONDS
    raise RuntimeError('the flow did not end')


def main() -> None:
    """Measure both in turn, in one run."""
    with tempfile.TemporaryDirectory() as directory:
        paths = write_certificate(Path(directory))
        configuration = load_quic(*map(str, paths))
    opener = FlowOpener(endpoint=AGENT, quic=configuration, token_keys=KEYS)
    bare = []
    agent = []
    for _ in range(FLOWS):
        caller = Caller()
        bare.append(
            run_flow(serve_bare(configuration, caller), caller, wrapped=False)
        )
        caller = Caller()
        agent.append(
            run_flow(serve_agent(opener, caller), caller, wrapped=True)
        )
    bare_ms = statistics.median(bare)
    agent_ms = statistics.median(agent)
    sys.stdout.write(f'bare aioquic, ms a flow      {bare_ms:.2f}\n')
    sys.stdout.write(
        f'agent, ms a flow             {agent_ms:.2f}'
        f' ({agent_ms / bare_ms:.2f} x bare)\n'
    )


if __name__ == '__main__':
    main()
