"""Harness that connects a client, a flow and its requests in memory."""

import functools
import ssl
import tempfile
from pathlib import Path

from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import StreamReset

from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.messages import FlowEnded
from bluebellfold.callers.quic.requests import FlowRequests
from bluebellfold.callers.quic.tls import load_quic_configuration
from bluebellfold.callers.quic.tracing import FlowTracer
from bluebellfold.collectors import NoTraces
from bluebellfold.core import Endpoint, Key, Kind, ManualClock
from bluebellfold.standins.certificates import SERVER_NAME, write_certificate

CLIENT = Endpoint(host='127.0.0.1', port=5000)
AGENT = Endpoint(host='127.0.0.1', port=8491)
KEY = Key(number=1, secret=bytes(16))
CHUNK = Kind(
    name='chunk',
    number=3,
    service='magazyn',
    port=8403,
    urgency=1,
    share=1,
    repeatable=False,
    holds='slot',
    queue_seconds=1,
    deadline_seconds=5,
    first_flights_per_second=100,
)
STEP_SECONDS = 0.001


@functools.cache
def agent_configuration() -> QuicConfiguration:
    with tempfile.TemporaryDirectory() as directory:
        paths = write_certificate(Path(directory))
        return load_quic_configuration(*map(str, paths))


class RecordingActor:
    """Record the messages it receives."""

    def __init__(self) -> None:
        self.messages = []

    def tell(self, message) -> None:
        self.messages.append(message)

    def of_type(self, message_type) -> list:
        return [
            message
            for message in self.messages
            if isinstance(message, message_type)
        ]


class RequestsHarness:
    """Exchange datagrams between a client and a flow with its requests."""

    def __init__(self, kind: Kind = CHUNK) -> None:
        self.clock = ManualClock(start=100)
        self.actor = RecordingActor()
        self.tickets = []
        self.requests = FlowRequests(
            owner=self.actor,
            requests=self.actor,
            tracer=FlowTracer(traces=NoTraces()),
            clock=self.clock,
        )
        self.quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                verify_mode=ssl.CERT_NONE,
                server_name=SERVER_NAME,
            ),
            session_ticket_handler=self.tickets.append,
        )
        self.http = H3Connection(self.quic)
        self.responses = {}
        self.resets = set()
        self.receiving_paused = False
        self.in_transit = []
        self.quic.connect((AGENT.host, AGENT.port), now=self.clock.now())
        opener = FlowOpener(
            endpoint=AGENT,
            quic=agent_configuration(),
            token_keys=(KEY,),
        )
        self.flow = opener.open(
            self.quic.original_destination_connection_id,
            kind=kind,
            service=2,
            now=self.clock.now(),
            client=CLIENT,
        )
        self.exchange_all()

    def exchange_all(self, rounds: int = 200) -> None:
        for _ in range(rounds):
            self.clock.advance(STEP_SECONDS)
            # The tuple makes both calls run; any() alone would skip one.
            delivered = (self.deliver_to_flow(), self.deliver_to_client())
            if not any(delivered):
                return

    def deliver_to_flow(self) -> bool:
        now = self.clock.now()
        datagrams = self.quic.datagrams_to_send(now)
        for payload, _ in datagrams:
            messages = self.flow.receive(
                payload,
                client=CLIENT,
                via=AGENT,
                now=now,
            )
            for message in messages:
                if not isinstance(message, FlowEnded):
                    self.requests.handle_flow_message(self.flow, message)
        self.requests.confirm_forwarded(self.flow)
        return bool(datagrams)

    def deliver_to_client(self) -> bool:
        now = self.clock.now()
        datagrams = self.flow.datagrams(now=now)
        self.in_transit.extend(payload for payload, _ in datagrams)
        if self.receiving_paused:
            return False
        arrived, self.in_transit = self.in_transit, []
        for payload in arrived:
            address = (AGENT.host, AGENT.port)
            self.quic.receive_datagram(payload, address, now)
        event = self.quic.next_event()
        while event is not None:
            self.handle_event(event)
            event = self.quic.next_event()
        return bool(arrived)

    def handle_event(self, event) -> None:
        if isinstance(event, StreamReset):
            self.resets.add(event.stream_id)
        for http_event in self.http.handle_event(event):
            head, body, ended = self.responses.get(
                http_event.stream_id,
                ({}, b'', False),
            )
            if isinstance(http_event, HeadersReceived):
                head = dict(http_event.headers)
            elif isinstance(http_event, DataReceived):
                body += http_event.data
            ended = ended or http_event.stream_ended
            self.responses[http_event.stream_id] = (head, body, ended)

    def start_request(self, *, last: bool, fields=()) -> int:
        stream_id = self.quic.get_next_available_stream_id()
        head = [
            (b':method', b'POST'),
            (b':scheme', b'https'),
            (b':authority', SERVER_NAME.encode()),
            (b':path', b'/chunk'),
            *fields,
        ]
        self.http.send_headers(stream_id, head, end_stream=last)
        return stream_id
