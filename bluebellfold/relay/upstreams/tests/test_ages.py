"""Test that an agent knows the flows of an upstream that is younger."""

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
    SOUGHT,
)

# The agent's process began 0.4 s before its upstream, and runs 0.2 s after.
STARTED = AgentStart(
    created_ms=BORN - 400, running_ms=BORN + 200, running_at=100
)


def sought_at(agent):
    agent.hear(BALANCER, HELLO)
    agent.outlet.told.clear()
    agent.hear(BALANCER, SOUGHT)
    return agent


def test_flows_from_before_a_power_loss_are_denied_at_once():
    agent = sought_at(Agent(own_start=STARTED))
    assert agent.outlet.take(Denied)
    agent.hear(BALANCER, Carry(packet=DATA))
    assert agent.outlet.take(NotHeld)
    assert not agent.outlet.delivered


def test_agent_cannot_tell_before_its_upstream_announces_itself():
    agent = sought_at(Agent(own_start=STARTED, announced=False))
    assert agent.outlet.take(MayHold)


@pytest.mark.parametrize(
    ('announced', 'why'),
    [
        ({'born': BORN - 401}, 'the upstream is older than the process'),
        ({'born': BORN + 5000}, 'the time of day was set back since'),
    ],
)
def test_flows_of_an_older_upstream_are_tried_there(announced, why):
    agent = Agent(own_start=STARTED, announced=False)
    agent.announce(**announced)
    assert sought_at(agent).outlet.take(MayHold), why


def test_later_start_of_the_upstream_is_learned_as_before():
    # Flows that opened there before the announcement may not be known.
    agent = Agent(own_start=STARTED)
    agent.announce(born=BORN + 100, sequence=1, name='i-2')
    assert sought_at(agent).outlet.take(MayHold)
