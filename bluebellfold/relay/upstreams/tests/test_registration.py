"""Test when an agent asks to be listed in the store."""

import asyncio

from bluebellfold.core import Actor, Reply
from bluebellfold.relay.store import DeregisterAgent, RegisterAgent
from bluebellfold.relay.tests.harness import (
    Agent,
    announcement_of,
    encode_and_decode,
    subscribe_of,
)
from bluebellfold.relay.upstreams import StopWhenIdle
from bluebellfold.relay.upstreams.messages import (
    ApplyAnnouncement,
    ApplyDeregistration,
)
from bluebellfold.relay.upstreams.missing_followers import FIRST_CHECK_SECONDS
from bluebellfold.relay.upstreams.tests.harness import (
    BALANCER,
    agent_with_balancer,
)
from bluebellfold.relay.upstreams.tests.test_stop import actor_of


class RecordingRegistrar(Actor):
    """Record the types of the messages."""

    def __init__(self):
        super().__init__(name='registrar')
        self.told = []

    def tell(self, message):
        self.told.append(type(message))


def told_after(*events):
    """Return what an agent tells the registrar after some events.

    Each event is a type of message and the name of the upstream.
    """

    async def scenario():
        actor = actor_of(announcement_seconds=0.2)
        registrar = RecordingRegistrar()
        actor.attach_registrar(registrar)
        for event, name in events:
            actor.tell(event(name))
        actor.tell(StopWhenIdle())
        async with asyncio.timeout(5):
            await actor.run()
        return registrar.told

    return asyncio.run(scenario())


def announce(name):
    announcement = announcement_of(name=name)
    return ApplyAnnouncement(announcement=announcement, reply=Reply())


def deregister(name):
    return ApplyDeregistration(name=name, reply=Reply())


# Guards against entries of agents without an upstream: they were removed only
# when the agent stopped.
def test_agent_is_removed_when_its_upstream_deregisters():
    assert told_after((announce, 'a'), (deregister, 'a')) == [
        RegisterAgent,
        DeregisterAgent,
    ]


def test_next_upstream_has_the_agent_listed_again():
    told = told_after((announce, 'a'), (deregister, 'a'), (announce, 'b'))
    assert told == [RegisterAgent, DeregisterAgent, RegisterAgent]


# Guards against an agent that stays out of the list for good.
def test_balancer_that_misses_the_agent_has_its_entry_verified():
    agent, told = agent_with_balancer(), []
    agent.transport.verify_registration = lambda: told.append('verify')
    agent.receive_message(BALANCER, encode_and_decode(subscribe_of()))
    assert not told
    message = encode_and_decode(subscribe_of(is_unlisted=True))
    agent.receive_message(BALANCER, message)
    assert told == ['verify']


# Guards against an agent that stays out of the list for good: its entry was
# lost before any balancer had read it, so that none missed it.
def test_agent_without_followers_has_its_entry_verified():
    agent = Agent()
    agent.advance(FIRST_CHECK_SECONDS)
    assert agent.transport.verifications == 1
    agent.receive_message(BALANCER, encode_and_decode(subscribe_of()))
    agent.advance(1)
    agent.advance(FIRST_CHECK_SECONDS / 2)
    assert agent.transport.verifications == 1


def test_late_deregistration_of_another_upstream_changes_nothing():
    told = told_after((announce, 'b'), (deregister, 'a'), (announce, 'b'))
    assert told == [RegisterAgent]
