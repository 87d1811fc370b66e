"""Harness that connects a client and a flow in memory, on a manual clock."""

import ssl
import tempfile
from functools import cache
from pathlib import Path

from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, H3Event
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated, StreamReset

from bluebellfold.agents import TokenSealer
from bluebellfold.callers.invariants import parse_packet_header
from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.tls import load_quic_configuration
from bluebellfold.core import CONNECTION, Endpoint, Key, Kind, Message
from bluebellfold.standins.certificates import SERVER_NAME, write_certificate

OLD_KEYS = (Key(number=1, secret=b'o' * 16),)
NEW_KEYS = (Key(number=2, secret=b'n' * 16), *OLD_KEYS)
SERVICE = 1
CLIENT = Endpoint(host='127.0.0.1', port=4000)
BALANCER = Endpoint(host='127.0.0.2', port=4001)
AGENT = Endpoint(host='127.0.0.3', port=4002)
STEP_SECONDS = 0.01
FEED = Kind(
    name='feed',
    number=7,
    service='counter',
    port=8401,
    urgency=1,
    share=0.5,
    repeatable=True,
    holds=CONNECTION,
    queue_seconds=1,
    deadline_seconds=60,
    first_flights_per_second=1000,
)
HEAD = (
    (b':method', b'POST'),
    (b':scheme', b'https'),
    (b':authority', SERVER_NAME.encode()),
    (b':path', b'/order'),
)


@cache
def agent_configuration() -> QuicConfiguration:
    with tempfile.TemporaryDirectory() as directory:
        paths = write_certificate(Path(directory))
        return load_quic_configuration(*map(str, paths))


def opener_at(endpoint: Endpoint = AGENT) -> FlowOpener:
    return FlowOpener(
        endpoint=endpoint,
        quic=agent_configuration(),
        token_keys=OLD_KEYS,
    )


def token_agent(connection_id: bytes) -> Endpoint | None:
    """Return the agent in the token of a connection id, if it has one."""
    token = TokenSealer(keys=NEW_KEYS).open(connection_id)
    return token.agent if token else None


class Client:
    """Run a client connection and record what it receives."""

    def __init__(self) -> None:
        self.quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                verify_mode=ssl.CERT_NONE,
                server_name=SERVER_NAME,
            ),
        )
        self.http = H3Connection(self.quic)
        self.bodies: dict[int, bytes] = {}
        self.complete: set[int] = set()
        self.reset: set[int] = set()
        self.termination: ConnectionTerminated | None = None
        self.quic.connect((AGENT.host, AGENT.port), now=0)

    def send(self, *, now: float) -> list[bytes]:
        sent = self.quic.datagrams_to_send(now)
        return [payload for payload, _target in sent]

    def receive(self, payload: bytes, *, now: float) -> None:
        self.quic.receive_datagram(payload, (AGENT.host, AGENT.port), now)
        self.read_events()

    def read_events(self) -> None:
        event = self.quic.next_event()
        while event is not None:
            if isinstance(event, ConnectionTerminated):
                self.termination = event
            if isinstance(event, StreamReset):
                self.reset.add(event.stream_id)
            for http_event in self.http.handle_event(event):
                self._handle_http_event(http_event)
            event = self.quic.next_event()

    def request(self, body: bytes = b'', *, last: bool = True) -> int:
        stream_id = self.quic.get_next_available_stream_id()
        self.http.send_headers(stream_id, list(HEAD))
        self.http.send_data(stream_id, body, end_stream=last)
        return stream_id

    def _handle_http_event(self, event: H3Event) -> None:
        if isinstance(event, DataReceived):
            received = self.bodies.get(event.stream_id, b'')
            self.bodies[event.stream_id] = received + event.data
        if event.stream_ended:
            self.complete.add(event.stream_id)


class FlowHarness:
    """Connect one client and one flow without packet loss."""

    def __init__(self) -> None:
        self.client = Client()
        self.now = float()
        self.messages: list[Message] = []
        self.opener = opener_at()
        self.used_ids: list[bytes] = []
        first = self.client.send(now=0)
        header = parse_packet_header(first[0])
        self.flow = self.opener.open(
            header.connection_id,
            kind=FEED,
            service=SERVICE,
            client=CLIENT,
            now=0,
        )
        for payload in first:
            self._deliver(payload)
        self.exchange_all()

    def exchange_all(self) -> None:
        """Exchange datagrams until neither side has any to send."""
        exchanged = True
        while exchanged:
            self.now += STEP_SECONDS
            exchanged = self._exchange()

    def _exchange(self) -> bool:
        replies = self.flow.datagrams(now=self.now)
        for payload, _client in replies:
            self.client.receive(payload, now=self.now)
        sent = self.client.send(now=self.now)
        for payload in sent:
            self._deliver(payload)
        return bool(replies or sent)

    def _deliver(self, payload: bytes) -> None:
        self.used_ids.append(parse_packet_header(payload).connection_id)
        self.messages.extend(
            self.flow.receive(
                payload,
                client=CLIENT,
                via=BALANCER,
                now=self.now,
            ),
        )
