"""Test how an agent measures the responses of its upstream."""

import random
from statistics import fmean

import pytest

from bluebellfold.relay.agents import ForwardedPacket
from bluebellfold.relay.agents.upstream_work import relative_work
from bluebellfold.relay.tests.harness import (
    Agent,
    request_stats_of,
    subscribe_of,
)
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


def relative_works(*kinds, responses=60):
    """Return the relative work of upstreams which get these kinds of requests.

    3% of the requests take 7 times as long, and work varies by a quarter.
    """
    draw = random.Random(11)
    stats = []
    for work_seconds in kinds:
        performance = Performance(now=0)
        for _ in range(responses):
            tail = draw.choice((1,) * 97 + (7,) * 3)
            performance.record_response(
                work_seconds * tail * draw.uniform(0.75, 1.25),
                in_flight=1,
                slots=1,
                status=200,
                now=0,
            )
        stats.append(
            request_stats_of(
                work_seconds=performance.work_seconds,
                work_error=performance.work_error(now=0),
            )
        )
    typical = sorted(one.work_seconds for one in stats)[len(stats) // 2]
    return [relative_work(one, typical) for one in stats]


@pytest.mark.parametrize('kinds', [(0.013, 0.017), (0.04, 0.052)])
def test_upstreams_with_other_kinds_of_requests_are_equally_fast(kinds):
    # Long flows bring one kind of request to some upstreams for minutes.
    works = relative_works(*kinds * 50)
    assert works.count(1) >= 90
    assert fmean(works) == pytest.approx(1, abs=0.05)


@pytest.mark.parametrize('factor', [2.4, 1 / 2.4])
def test_permanent_difference_in_speed_is_weighted_in_proportion(factor):
    kinds = (0.02,) * 60 + (0.02 * factor,) * 40
    works = relative_works(*kinds, responses=40)
    assert fmean(works[:60]) == pytest.approx(1, rel=0.1)
    assert fmean(works[60:]) == pytest.approx(factor, rel=0.2)


def test_few_requests_show_no_difference_in_speed():
    works = relative_works(0.01, 0.02, 0.02, 0.024, 0.03, responses=3)
    assert works == [1, 1, 1, 1, 1]


def test_old_measurement_counts_no_longer():
    # A slow upstream gets no flows by which its recovery could be measured.
    performance = Performance(now=0)
    for _ in range(40):
        performance.record_response(
            SLOW_SECONDS, in_flight=1, slots=1, status=200, now=0
        )
    stats = request_stats_of(
        work_seconds=performance.work_seconds,
        work_error=performance.work_error(now=40),
    )
    assert relative_work(stats, SLOW_SECONDS / 5) == 1
