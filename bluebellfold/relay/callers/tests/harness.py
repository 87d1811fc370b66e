"""Provide a balancer with known agents for tests."""

from bluebellfold.relay.tests.harness import (
    Balancer,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    client_packet,
)

FIRST = ('10.0.0.1', 8172)
SECOND = ('10.0.0.2', 8172)
THIRD = ('10.0.0.3', 8172)
DATA = client_packet(flags=ACKNOWLEDGE, payload=b'more')


def balancer_with(*reports, **options):
    agents = (FIRST, SECOND, THIRD)[: len(reports)]
    balancer = Balancer(agents=agents, **options)
    for address, report in zip(agents, reports, strict=True):
        balancer.receive_message(address, report)
    balancer.transport.sent.clear()
    return balancer
