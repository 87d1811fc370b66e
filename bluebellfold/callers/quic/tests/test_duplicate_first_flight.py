"""Test that a first flight delivered to two agents runs one request."""

import random
import ssl
from itertools import repeat

import pytest
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from bluebellfold.agents import TOKEN_BYTES, TokenSealer
from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.messages import RequestHead
from bluebellfold.callers.quic.tests.requests_harness import (
    CHUNK,
    CLIENT,
    KEY,
    agent_configuration,
)
from bluebellfold.core import Endpoint
from bluebellfold.standins.certificates import SERVER_NAME

AGENTS = tuple(Endpoint(host='127.0.0.1', port=port) for port in (1, 2))
SEEDS = 100
ROUNDS = 2000
STEP_SECONDS = 0.01


class DuplicateDelivery:
    """Deliver packets without a token to two agents, twice and reordered.

    A packet with a token goes to the agent named by the token, as every
    balancer would forward it.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                verify_mode=ssl.CERT_NONE,
                server_name=SERVER_NAME,
            ),
        )
        self.http = H3Connection(self.quic)
        self.quic.connect(('127.0.0.1', 443), now=self.now)
        self.sealer = TokenSealer(keys=(KEY,))
        self.flows = {endpoint: self.open(endpoint) for endpoint in AGENTS}
        self.active_flows = {}
        self.requests = dict.fromkeys(AGENTS, 0)
        self.in_transit = []
        self.request_sent = False

    def open(self, endpoint):
        opener = FlowOpener(
            endpoint=endpoint,
            quic=agent_configuration(),
            token_keys=(KEY,),
        )
        return opener.open(
            self.quic.original_destination_connection_id,
            kind=CHUNK,
            service=2,
            client=CLIENT,
            now=self.now,
        )

    def targets(self, payload):
        offset = 6 if payload[0] & 0x80 else 1
        token = self.sealer.open(payload[offset : offset + TOKEN_BYTES])
        return (token.agent,) if token else AGENTS

    def step(self):
        self.now += STEP_SECONDS
        for payload, _ in self.quic.datagrams_to_send(self.now):
            for target in self.targets(payload):
                copies = repeat((payload, target), 2)
                self.in_transit.extend(copies)
        for flow in self.active_flows.values():
            for payload, _ in flow.datagrams(now=self.now):
                self.in_transit.append((payload, None))
        self.rng.shuffle(self.in_transit)
        if self.in_transit:
            self.deliver(*self.in_transit.pop())
        self.handle_timers()

    def deliver(self, payload, target):
        if target is None:
            address = ('127.0.0.1', 443)
            self.quic.receive_datagram(payload, address, self.now)
            return
        self.active_flows[target] = self.flows[target]
        messages = self.flows[target].receive(
            payload,
            client=CLIENT,
            via=CLIENT,
            now=self.now,
        )
        heads = [
            message for message in messages if isinstance(message, RequestHead)
        ]
        self.requests[target] += len(heads)

    def handle_timers(self):
        timer = self.quic.get_timer()
        if timer is not None and timer <= self.now:
            self.quic.handle_timer(self.now)
        for flow in self.active_flows.values():
            if (
                flow.next_timer_at is not None
                and flow.next_timer_at <= self.now
            ):
                flow.handle_timer(now=self.now)

    def send_request(self):
        head = [
            (b':method', b'POST'),
            (b':scheme', b'https'),
            (b':authority', SERVER_NAME.encode()),
            (b':path', b'/chunk'),
        ]
        stream_id = self.quic.get_next_available_stream_id()
        self.http.send_headers(stream_id, head, end_stream=True)
        self.request_sent = True

    def run(self):
        for _ in range(ROUNDS):
            self.step()
            if self.quic._handshake_complete and not self.request_sent:
                self.send_request()
            if sum(self.requests.values()) and not self.in_transit:
                return


def run_delivery(seed):
    delivery = DuplicateDelivery(seed)
    delivery.run()
    return delivery


@pytest.fixture(scope='module')
def deliveries():
    return tuple(map(run_delivery, range(SEEDS)))


def test_the_request_reaches_exactly_one_agent(deliveries):
    for delivery in deliveries:
        assert len(delivery.active_flows) == len(AGENTS)
        assert sorted(delivery.requests.values()) == [0, 1]


def test_each_agent_receives_some_of_the_requests(deliveries):
    received = sum(delivery.requests[AGENTS[0]] for delivery in deliveries)
    assert 0 < received < SEEDS
