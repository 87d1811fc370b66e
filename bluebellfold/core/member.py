"""Describe the agents of a site and their load."""

from bluebellfold.core.record import Record, read_only
from bluebellfold.core.site import Endpoint

SERVING = 'serving'
DRAINING = 'draining'
LEFT = 'left'


class Member(Record):
    """Describe an agent and its upstream at one version.

    Only the agent itself changes its row: it increases ``incarnation`` with
    each start and ``sequence`` with each change within an incarnation.
    ``service`` is the service's number. ``weight`` is the upstream's capacity
    relative to the others of its service.
    """

    __slots__ = (
        '_control_port',
        '_endpoint',
        '_incarnation',
        '_name',
        '_sequence',
        '_service',
        '_state',
        '_weight',
        '_zone',
    )

    control_port: int = read_only('_control_port')
    endpoint: Endpoint = read_only('_endpoint')
    incarnation: int = read_only('_incarnation')
    name: str = read_only('_name')
    sequence: int = read_only('_sequence')
    service: int = read_only('_service')
    state: str = read_only('_state')
    weight: float = read_only('_weight')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        name: str,
        service: int,
        zone: str,
        endpoint: Endpoint,
        control_port: int,
        weight: float,
        state: str,
        incarnation: int,
        sequence: int,
    ) -> None:
        self._name = name
        self._service = service
        self._zone = zone
        self._endpoint = endpoint
        self._control_port = control_port
        self._weight = weight
        self._state = state
        self._incarnation = incarnation
        self._sequence = sequence

    @property
    def version(self) -> tuple[int, int]:
        """Return the incarnation and sequence, which order the rows."""
        return (self._incarnation, self._sequence)


class Load(Record):
    """Describe the load of a member at one point in time.

    ``slots`` and ``connections`` are the fractions in use, from 0 for idle
    to 1 for full. ``flows`` is the number of open flows. ``seen_at`` is
    when the load was received, in seconds on the receiver's clock. ``usable``
    is the fraction of the member's weight that is available now: less than 1
    while its upstream warms up or sheds load.
    """

    __slots__ = (
        '_connections',
        '_endpoint',
        '_flows',
        '_seen_at',
        '_slots',
        '_usable',
    )

    connections: float = read_only('_connections')
    endpoint: Endpoint = read_only('_endpoint')
    flows: int = read_only('_flows')
    seen_at: float = read_only('_seen_at')
    slots: float = read_only('_slots')
    usable: float = read_only('_usable')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        slots: float,
        connections: float,
        flows: int,
        seen_at: float,
        usable: float = 1,
    ) -> None:
        self._endpoint = endpoint
        self._slots = slots
        self._connections = connections
        self._flows = flows
        self._seen_at = seen_at
        self._usable = usable
