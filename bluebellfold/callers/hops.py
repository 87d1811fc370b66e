"""Build the trace hops of flows through a balancer."""

import time

from bluebellfold.collectors import Attribute, Hop
from bluebellfold.core import Endpoint


def first_flight_hop(
    *,
    flow_key: bytes,
    address: int,
    agent: Endpoint,
    started_at: float,
) -> Hop:
    """Return the hop of a first flight that was sent to an agent just now."""
    return Hop(
        name='balancer.first_flight',
        flow=flow_key,
        started_at=started_at,
        ended_at=time.time(),
        attributes=(
            Attribute(name='address', shown=address),
            Attribute(name='agent', shown=str(agent)),
        ),
    )
