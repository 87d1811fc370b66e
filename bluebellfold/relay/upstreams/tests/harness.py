"""Set up agents with a subscribed balancer, and with an open flow."""

from bluebellfold.relay.agents import (
    FlowLookup,
    ForwardedPacket,
    LoadReport,
    Offer,
)
from bluebellfold.relay.tests.harness import (
    COUNTER,
    Agent,
    subscribe_of,
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
LOOKUP = FlowLookup(flow=DATA.flow, acknowledged=DATA.acknowledged)
SUBSCRIBE = subscribe_of()


def agent_with_balancer(**fields):
    agent = Agent(**fields)
    agent.receive_message(BALANCER, SUBSCRIBE)
    agent.transport.sent.clear()
    return agent


def offer(
    agent, packet=None, *, service=COUNTER, balancer=BALANCER, max_in_flight=255
):
    packet = packet or opening_packet()
    agent.receive_message(
        balancer,
        Offer(packet=packet, service=service, max_in_flight=max_in_flight),
    )


def agent_with_flow():
    agent = agent_with_balancer()
    offer(agent)
    agent.receive_upstream_packet(ANSWER)
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    return agent


def with_complete_flow_table(agent):
    """Let time pass until the flow table of an agent is complete."""
    for _ in range(25):
        agent.clock.advance(1)
        agent.announce(sequence=int(agent.now))
        agent.receive_message(BALANCER, SUBSCRIBE)
        agent.relay.tick(agent.now)
    agent.transport.sent.clear()
    return agent


def last_load(agent):
    return agent.transport.pop_messages(LoadReport)[-1].load
