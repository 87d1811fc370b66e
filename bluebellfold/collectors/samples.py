"""Describe the measurements of a process, as totals since its start."""

from bluebellfold.core import Count, Record, read_only


class Sample(Record):
    """Hold totals by name, open flows and utilization.

    ``requests`` counts by kind of work and outcome, ``drops`` refusals and
    drops by reason; ``slots`` and ``connections`` are the fractions in use,
    from 0 to 1.
    """

    __slots__ = ('_connections', '_drops', '_flows', '_requests', '_slots')

    connections: float = read_only('_connections')
    drops: tuple[Count, ...] = read_only('_drops')
    flows: int = read_only('_flows')
    requests: tuple[Count, ...] = read_only('_requests')
    slots: float = read_only('_slots')

    def __init__(
        self,
        *,
        flows: int = 0,
        requests: tuple[Count, ...] = (),
        drops: tuple[Count, ...] = (),
        slots: float = 0,
        connections: float = 0,
    ) -> None:
        self._flows = flows
        self._requests = requests
        self._drops = drops
        self._slots = slots
        self._connections = connections


class Source(Record):
    """Identify the process that metrics and spans come from."""

    __slots__ = ('_process', '_role', '_service', '_zone')

    process: str = read_only('_process')
    role: str = read_only('_role')
    service: str = read_only('_service')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        process: str,
        role: str,
        zone: str,
        service: str = '',
    ) -> None:
        self._process = process
        self._role = role
        self._zone = zone
        self._service = service
