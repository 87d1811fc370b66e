"""Build the trace spans of flows through a balancer."""

import time

from bluebellfold.collectors import Attribute, Span
from bluebellfold.core import Endpoint


def first_flight_span(
    *,
    flow_key: bytes,
    address: int,
    agent: Endpoint,
    started_at: float,
) -> Span:
    """Return the span of a first flight that was sent to an agent just now."""
    return Span(
        name='balancer.first_flight',
        flow=flow_key,
        started_at=started_at,
        ended_at=time.time(),
        attributes=(
            Attribute(name='address', attribute_value=address),
            Attribute(name='agent', attribute_value=str(agent)),
        ),
    )
