"""Test how an agent measures the responses of its upstream."""

import pytest

from bluebellfold.relay.agents import ForwardedPacket
from bluebellfold.relay.tests.harness import Agent, subscribe_of
from bluebellfold.relay.upstreams.performance import Performance
from bluebellfold.relay.upstreams.tests.harness import (
    ANSWER_SEQUENCE,
    BALANCER,
    DATA,
    agent_with_flow,
    last_load,
)
from bluebellfold.standins.packets import ACKNOWLEDGE, RESET, upstream_packet

SLOW_SECONDS = 0.15


def test_work_time_excludes_the_wait_in_the_queue():
    performance = Performance(now=0)
    performance.record_response(0.09, in_flight=6, slots=2, status=200, now=0)
    assert performance.work_seconds == pytest.approx(0.03)


def test_slow_upstream_is_detected_after_15_responses():
    performance = Performance(now=0)
    performance.record_response(0.03, in_flight=1, slots=2, status=200, now=0)
    for _ in range(15):
        performance.record_response(
            SLOW_SECONDS, in_flight=1, slots=2, status=200, now=1
        )
    assert performance.work_seconds == pytest.approx(SLOW_SECONDS, rel=0.2)


def test_single_failure_does_not_count():
    performance = Performance(now=0)
    performance.record_failure(now=0)
    assert not performance.failure_share(now=0)


def test_failures_decay_so_that_the_upstream_is_tried_again():
    performance = Performance(now=0)
    for _ in range(8):
        performance.record_failure(now=0)
    assert performance.failure_share(now=1) == pytest.approx(1)
    assert not performance.failure_share(now=6)


def test_request_that_hangs_counts_as_one_failure():
    agent = agent_with_flow()
    for _ in range(3):
        agent.advance(0.6)
    assert agent.relay._performance._failures == pytest.approx(1, abs=0.3)


def test_reset_by_the_upstream_during_a_request_is_a_failure():
    agent = agent_with_flow()
    agent.receive_upstream_packet(
        upstream_packet(flags=RESET | ACKNOWLEDGE, sequence=ANSWER_SEQUENCE + 1)
    )
    agent.receive_message(BALANCER, subscribe_of())
    assert agent.relay._performance._failures > 0


def test_restart_of_the_upstream_discards_its_failures():
    agent = Agent()
    agent.receive_message(BALANCER, subscribe_of())
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    for _ in range(4):
        agent.relay._performance.record_failure(now=agent.now)
    agent.advance(0.25)
    assert last_load(agent).request_stats.failure_share == pytest.approx(1)
    agent.announce(born=2_000_000, name='i-2')
    agent.advance(0.25)
    assert not last_load(agent).request_stats.failure_share
