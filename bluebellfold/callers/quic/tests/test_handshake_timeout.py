"""Test that an agent drops a handshake completed with another agent.

Packets without a token can reach two agents. The client completes the
handshake with one of them, and the other must not keep its flow forever.
"""

import random

import pytest

from bluebellfold.callers.invariants import parse_packet_header
from bluebellfold.callers.quic.flow import HANDSHAKE_TIMEOUT_SECONDS, Flow
from bluebellfold.callers.quic.messages import RequestHead
from bluebellfold.callers.quic.tests.flow_harness import (
    BALANCER,
    CLIENT,
    FEED,
    SERVICE,
    STEP_SECONDS,
    Client,
    opener_at,
    token_agent,
)
from bluebellfold.core import Endpoint

SEEDS = range(100)
AGENTS = tuple(
    Endpoint(host=f'127.0.0.{number}', port=4002) for number in (3, 4)
)
MAX_ROUNDS = 100


class TwoAgentsHarness:
    """Deliver packets without a token to two agents and shuffle replies."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.client = Client()
        self.now = float()
        first = self.client.send(now=0)
        self.flows = {
            agent: opener_at(agent).open(
                parse_packet_header(first[0]).connection_id,
                kind=FEED,
                service=SERVICE,
                client=CLIENT,
                now=0,
            )
            for agent in AGENTS
        }
        self.heads = dict.fromkeys(AGENTS, 0)
        self._replies: list[bytes] = []
        self._deliver(first)

    def exchange_all(self) -> None:
        """Exchange datagrams for at most MAX_ROUNDS, until none is left."""
        for _ in range(MAX_ROUNDS):
            self.now += STEP_SECONDS
            self._exchange()
            if not self._replies:
                return

    def _exchange(self) -> None:
        for flow in self.flows.values():
            replies = flow.datagrams(now=self.now)
            self._replies.extend(payload for payload, _ in replies)
        self._random.shuffle(self._replies)
        while self._replies:
            self.client.receive(self._replies.pop(), now=self.now)
            self._deliver(self.client.send(now=self.now))
        self._deliver(self.client.send(now=self.now))
        for flow in self.flows.values():
            replies = flow.datagrams(now=self.now)
            self._replies.extend(payload for payload, _ in replies)

    def _deliver(self, payloads: list[bytes]) -> None:
        for payload in payloads:
            owner = token_agent(parse_packet_header(payload).connection_id)
            for agent in (owner,) if owner else AGENTS:
                messages = self.flows[agent].receive(
                    payload,
                    client=CLIENT,
                    via=BALANCER,
                    now=self.now,
                )
                self.heads[agent] += sum(
                    isinstance(message, RequestHead) for message in messages
                )


@pytest.mark.parametrize('seed', SEEDS)
def test_the_other_agent_drops_its_handshake_after_the_timeout(seed):
    harness = TwoAgentsHarness(seed)
    harness.exchange_all()
    harness.client.request(b'order')
    harness.exchange_all()
    assert harness.client.termination is None
    assert sorted(harness.heads.values()) == [0, 1]
    owner, other = sorted(AGENTS, key=harness.heads.get, reverse=True)
    assert harness.flows[owner].is_established
    # The other flow keeps a timer until its handshake has expired.
    assert (
        _run_timers_until_expired(harness.flows[other])
        == HANDSHAKE_TIMEOUT_SECONDS
    )
    assert not harness.flows[owner].is_handshake_expired(
        now=HANDSHAKE_TIMEOUT_SECONDS
    )


def _run_timers_until_expired(flow: Flow) -> float:
    now = flow.next_timer_at
    for _ in range(MAX_ROUNDS):
        if flow.is_handshake_expired(now=now):
            break
        flow.handle_timer(now=now)
        flow.datagrams(now=now)
        now = flow.next_timer_at
    assert flow.is_handshake_expired(now=now)
    return now
