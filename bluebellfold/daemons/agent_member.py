"""Build the member row of an agent."""

import time

from bluebellfold.core import SERVING, Endpoint, Member, Process, Service

_MS_PER_SECOND = 1000


def initial_member(process: Process, service: Service) -> Member:
    """Return the member row of an agent that starts now."""
    return Member(
        name=process.name,
        service=service.number,
        zone=process.zone,
        endpoint=Endpoint(host=process.host, port=process.datagram_port),
        control_port=process.control_port,
        weight=process.weight,
        state=SERVING,
        incarnation=int(time.time() * _MS_PER_SECOND),
        sequence=1,
    )
