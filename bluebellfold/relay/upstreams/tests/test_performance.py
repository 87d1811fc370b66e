"""Test what an agent makes of its upstream's answers."""

import pytest

from bluebellfold.relay.agents import Carry
from bluebellfold.relay.tests.scene import Agent, hello_of
from bluebellfold.relay.upstreams.performance import Performance
from bluebellfold.relay.upstreams.tests.scene import (
    ANSWER_SEQUENCE,
    BALANCER,
    DATA,
    agent_with_flow,
    last_load,
)
from bluebellfold.standins.packets import ACKNOWLEDGE, RESET, upstream_packet

SLOW_SECONDS = 0.15


def test_work_is_told_without_the_wait_in_the_queue():
    performance = Performance(now=0)
    performance.note_answer(0.09, busy=6, slots=2, status=200, now=0)
    assert performance.work_seconds == pytest.approx(0.03)


def test_upstream_that_turned_slow_shows_after_some_answers():
    performance = Performance(now=0)
    performance.note_answer(0.03, busy=1, slots=2, status=200, now=0)
    for _ in range(15):
        performance.note_answer(
            SLOW_SECONDS, busy=1, slots=2, status=200, now=1
        )
    assert performance.work_seconds == pytest.approx(SLOW_SECONDS, rel=0.2)


def test_single_failure_is_not_held_against_an_upstream():
    performance = Performance(now=0)
    performance.note_failure(now=0)
    assert not performance.failure_share(now=0)


def test_failures_are_forgotten_so_that_the_upstream_is_tried_again():
    performance = Performance(now=0)
    for _ in range(8):
        performance.note_failure(now=0)
    assert performance.failure_share(now=1) == pytest.approx(1)
    assert not performance.failure_share(now=6)


def test_requests_that_hang_count_once_each():
    agent = agent_with_flow()
    for _ in range(3):
        agent.wait(0.6)
    assert agent.relay._performance._failures == pytest.approx(1, abs=0.3)


def test_open_flow_that_the_upstream_resets_amid_a_request_is_a_failure():
    agent = agent_with_flow()
    agent.send(
        upstream_packet(flags=RESET | ACKNOWLEDGE, sequence=ANSWER_SEQUENCE + 1)
    )
    agent.hear(BALANCER, hello_of())
    assert agent.relay._performance._failures > 0


def test_new_start_of_the_upstream_begins_anew():
    agent = Agent()
    agent.hear(BALANCER, hello_of())
    agent.hear(BALANCER, Carry(packet=DATA))
    for _ in range(4):
        agent.relay._performance.note_failure(now=agent.now)
    agent.wait(0.25)
    assert last_load(agent).served.failure_share == pytest.approx(1)
    agent.announce(born=2_000_000, name='i-2')
    agent.wait(0.25)
    assert not last_load(agent).served.failure_share
