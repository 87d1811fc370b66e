"""Test that the flow table is complete if the upstream started later."""

import pytest

from bluebellfold.relay.agents import Carry, Denied, MayHold, NotHeld
from bluebellfold.relay.tests.scene import (
    BORN,
    Agent,
)
from bluebellfold.relay.upstreams.ages import AgentStart
from bluebellfold.relay.upstreams.tests.scene import (
    BALANCER,
    DATA,
    HELLO,
    LOOKUP,
)

# The agent's process is created 0.4 s before its upstream starts, and is ready
# 0.2 s after.
STARTED = AgentStart(
    created_ms=BORN - 400, running_ms=BORN + 200, running_at=100
)


def look_up(agent):
    agent.hear(BALANCER, HELLO)
    agent.outlet.told.clear()
    agent.hear(BALANCER, LOOKUP)
    return agent


def test_flow_from_before_a_power_loss_is_not_found_at_once():
    agent = look_up(Agent(own_start=STARTED))
    assert agent.outlet.take(Denied)
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.take(NotHeld)
    assert not agent.outlet.delivered


def test_lookup_is_uncertain_before_the_first_announcement():
    agent = look_up(Agent(own_start=STARTED, announced=False))
    assert agent.outlet.take(MayHold)


@pytest.mark.parametrize(
    ('announced', 'why'),
    [
        ({'born': BORN - 401}, 'the upstream started before the process'),
        ({'born': BORN + 5000}, 'the wall clock was set back since'),
    ],
)
def test_lookup_is_uncertain_if_the_upstream_may_be_older(announced, why):
    agent = Agent(own_start=STARTED, announced=False)
    agent.announce(**announced)
    assert look_up(agent).outlet.take(MayHold), why


def test_lookup_is_uncertain_after_a_restart_of_the_upstream():
    # Flows may have opened at the upstream before its announcement.
    agent = Agent(own_start=STARTED)
    agent.announce(born=BORN + 100, sequence=1, name='i-2')
    assert look_up(agent).outlet.take(MayHold)
