"""Measure the agent's processor time for a handshake with one request.

The baseline is a bare aioquic HTTP/3 server. The agent adds connection ids
that contain tokens, envelopes and request tracking. Both respond at once, and
the time of the client is not counted. Run ``python -m benchmarks.handshakes``.
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
from bluebellfold.callers.quic import FlowOpener, load_quic_configuration
from bluebellfold.callers.quic.messages import RequestHead
from bluebellfold.core import SLOT, Endpoint, Key, Kind
from bluebellfold.standins.certificates import write_certificate

FLOWS = 60
MS_PER_SECOND = 1000
CLIENT = Endpoint(host='127.0.0.1', port=4433)
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


class Client:
    """Send one request over its own connection."""

    def __init__(self) -> None:
        self._quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                verify_mode=ssl.CERT_NONE,
            )
        )
        self._http = H3Connection(self._quic)
        self._request_sent = False
        self.has_response = False
        self._quic.connect(('127.0.0.1', 4434), now=time.monotonic())

    @property
    def first_id(self) -> bytes:
        """Return the destination connection id of the first flight."""
        return self._quic.original_destination_connection_id

    def send(self) -> list[bytes]:
        """Return the datagrams that are due."""
        return [
            sent for sent, _ in self._quic.datagrams_to_send(time.monotonic())
        ]

    def receive(self, datagrams: list[bytes]) -> None:
        """Process datagrams, and send the request after the handshake."""
        for datagram in datagrams:
            self._quic.receive_datagram(
                datagram, ('127.0.0.1', 4434), time.monotonic()
            )
        event = self._quic.next_event()
        while event is not None:
            for http_event in self._http.handle_event(event):
                self.has_response |= isinstance(http_event, HeadersReceived)
            event = self._quic.next_event()
        if not self._request_sent and self._quic._handshake_complete:
            self._request_sent = True
            head = [
                (b':method', b'GET'),
                (b':scheme', b'https'),
                (b':authority', b'x'),
                (b':path', b'/'),
            ]
            self._http.send_headers(0, head, end_stream=True)


def serve_bare(configuration: QuicConfiguration, client: Client) -> Serve:
    """Return the function that serves one flow with bare aioquic."""
    quic = QuicConnection(
        configuration=configuration,
        original_destination_connection_id=client.first_id,
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


def serve_agent(opener: FlowOpener, client: Client) -> Serve:
    """Return the function that serves one flow as an agent."""
    codec = EnvelopeCodec(keys=KEYS)
    flow = opener.open(
        client.first_id,
        kind=KIND,
        service=1,
        client=CLIENT,
        now=time.monotonic(),
    )

    def serve(datagrams: list[bytes]) -> list[bytes]:
        now = time.monotonic()
        for datagram in datagrams:
            message = codec.decode(datagram)
            reports = flow.receive(
                message.payload, client=message.client, via=CLIENT, now=now
            )
            for report in reports:
                if isinstance(report, RequestHead):
                    flow.send_head(0, 200, ())
                    flow.send_body(0, b'ok', last=True)
        return [
            codec.encode(
                ReplyDatagram(address=1, client=client_address, payload=sent)
            )
            for sent, client_address in flow.datagrams(now=now)
        ]

    return serve


def run_flow(serve: Serve, client: Client, *, wrapped: bool) -> float:
    """Return the server's processor time of one flow, in milliseconds."""
    codec = EnvelopeCodec(keys=KEYS)
    spent = float()
    for _ in range(10):
        sent = client.send()
        if wrapped:
            sent = [
                codec.encode(
                    ClientDatagram(address=1, client=CLIENT, payload=datagram)
                )
                for datagram in sent
            ]
        started = time.process_time()
        replies = serve(sent)
        spent += time.process_time() - started
        if wrapped:
            replies = [codec.decode(reply).payload for reply in replies]
        client.receive(replies)
        if client.has_response:
            return spent * MS_PER_SECOND
    raise RuntimeError('no response after 10 round trips')


def main() -> None:
    """Measure both servers alternately, in one process."""
    with tempfile.TemporaryDirectory() as directory:
        paths = write_certificate(Path(directory))
        configuration = load_quic_configuration(*map(str, paths))
    opener = FlowOpener(endpoint=AGENT, quic=configuration, token_keys=KEYS)
    bare = []
    agent = []
    for _ in range(FLOWS):
        client = Client()
        bare.append(
            run_flow(serve_bare(configuration, client), client, wrapped=False)
        )
        client = Client()
        agent.append(
            run_flow(serve_agent(opener, client), client, wrapped=True)
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
