"""Set up agents with a subscribed balancer, and with an open flow."""

from bluebellfold.relay.agents import (
    Carry,
    LoadReport,
    Offer,
    Seek,
)
from bluebellfold.relay.tests.scene import (
    COUNTER,
    Agent,
    hello_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    client_packet,
    opening_packet,
    upstream_packet,
)

BALANCER = ('10.1.0.1', 7720)
OTHER_BALANCER = ('10.1.0.2', 7720)
ANSWER_SEQUENCE = 5000
ANSWER = upstream_packet(flags=OPEN | ACKNOWLEDGE, sequence=ANSWER_SEQUENCE)
DATA = client_packet(
    flags=ACKNOWLEDGE, acknowledged=ANSWER_SEQUENCE + 1, payload=b'GET /'
)
LOOKUP = Seek(flow=DATA.flow, acknowledged=DATA.acknowledged)
HELLO = hello_of()


def agent_with_balancer(**fields):
    agent = Agent(**fields)
    agent.hear(BALANCER, HELLO)
    agent.outlet.told.clear()
    return agent


def offer(
    agent, packet=None, *, service=COUNTER, balancer=BALANCER, most_busy=255
):
    packet = packet or opening_packet()
    agent.hear(
        balancer, Offer(packet=packet, service=service, most_busy=most_busy)
    )


def agent_with_flow():
    agent = agent_with_balancer()
    offer(agent)
    agent.send(ANSWER)
    agent.hear(BALANCER, Carry(packet=DATA))
    return agent


def with_complete_flow_table(agent):
    """Let time pass until the flow table of an agent is complete."""
    for _ in range(25):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.hear(BALANCER, HELLO)
        agent.relay.tick(agent.now)
    agent.outlet.told.clear()
    return agent


def last_load(agent):
    return agent.outlet.take(LoadReport)[-1].load
