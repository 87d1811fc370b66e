"""Test when a stopping agent ends, over loopback sockets."""

import asyncio
import time

import pytest

from bluebellfold.core import Endpoint, MonotonicClock, Reply
from bluebellfold.relay.tests.harness import (
    COUNTER,
    UPSTREAM_START_MS,
    ZONE,
    announcement_of,
    journal_of,
)
from bluebellfold.relay.upstreams import (
    AgentStart,
    StopWhenIdle,
    UpstreamActor,
    UpstreamHealth,
    WarmupLimit,
)
from bluebellfold.relay.upstreams.messages import ApplyAnnouncement

MS_PER_SECOND = 1000
LOOPBACK = '127.0.0.1'
ANY_PORT = Endpoint(host=LOOPBACK, port=0)


def actor_of(*, announcement_seconds):
    clock = MonotonicClock()
    now = clock.now()
    return UpstreamActor(
        balancer_endpoint=ANY_PORT,
        outbound_endpoint=ANY_PORT,
        # Nothing is sent to the upstream.
        upstream_endpoint=Endpoint(host=LOOPBACK, port=9),
        zone=ZONE,
        incarnation=1,
        agent_start=AgentStart(
            created_ms=UPSTREAM_START_MS,
            ready_ms=UPSTREAM_START_MS,
            ready_at=now,
        ),
        health=UpstreamHealth(
            service=COUNTER,
            announcement_seconds=announcement_seconds,
            now=now,
        ),
        warmup=WarmupLimit(now=now),
        clock=clock,
        journal=journal_of(clock),
    )


def stop_at_once(actor, *, announced=False):
    """Run an actor that is told to stop; return the milliseconds it takes."""

    async def scenario():
        if announced:
            actor.tell(
                ApplyAnnouncement(announcement=announcement_of(), reply=Reply())
            )
        actor.tell(StopWhenIdle())
        started_at = time.monotonic()
        async with asyncio.timeout(5):
            await actor.run()
        return round(MS_PER_SECOND * (time.monotonic() - started_at))

    return asyncio.run(scenario())


# Guards against an entry in the store of an agent without an upstream, for
# which lookups of lost flows wait for as long as it is listed.
def test_agent_stopped_at_its_start_learns_that_it_has_no_upstream():
    actor = actor_of(announcement_seconds=0.2)
    assert 500 < stop_at_once(actor) < 2000
    assert actor.upstream_left


# Guards against planned stops that take longer than they have to.
@pytest.mark.parametrize(
    ('announced', 'seconds'),
    [(True, 0.2), (False, 1)],
    ids=['heard', 'silence would end too late'],
)
def test_agent_that_learns_nothing_by_waiting_ends_at_once(announced, seconds):
    actor = actor_of(announcement_seconds=seconds)
    assert stop_at_once(actor, announced=announced) < 500
    assert not actor.upstream_left
