"""Define the messages of control calls and the status report."""

from bluebellfold.core import Count, Member, Message, Record, Reply, read_only


class StatusReport(Record):
    """Describe the status of a process.

    ``version`` is the version of the configuration in force. ``requests``
    counts requests by kind of work and outcome, ``drops`` counts refusals
    and drops by reason. ``slots`` and ``connections`` are the fractions in
    use, from 0 to 1. ``members`` are the agents known to the process.
    ``service`` is empty for a balancer.
    """

    __slots__ = (
        '_connections',
        '_drops',
        '_flows',
        '_members',
        '_name',
        '_requests',
        '_role',
        '_service',
        '_slots',
        '_state',
        '_version',
        '_zone',
    )

    connections: float = read_only('_connections')
    drops: tuple[Count, ...] = read_only('_drops')
    flows: int = read_only('_flows')
    members: tuple[Member, ...] = read_only('_members')
    name: str = read_only('_name')
    requests: tuple[Count, ...] = read_only('_requests')
    role: str = read_only('_role')
    service: str = read_only('_service')
    slots: float = read_only('_slots')
    state: str = read_only('_state')
    version: int = read_only('_version')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        name: str,
        role: str,
        zone: str,
        state: str,
        version: int,
        service: str = '',
        flows: int = 0,
        requests: tuple[Count, ...] = (),
        drops: tuple[Count, ...] = (),
        slots: float = 0,
        connections: float = 0,
        members: tuple[Member, ...] = (),
    ) -> None:
        self._name = name
        self._role = role
        self._zone = zone
        self._state = state
        self._version = version
        self._service = service
        self._flows = flows
        self._requests = requests
        self._drops = drops
        self._slots = slots
        self._connections = connections
        self._members = members


class GetStatus(Message):
    """Request a StatusReport from a process."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class Drain(Message):
    """Start a graceful stop of a process and request a StatusReport.

    The report is returned at once. Flows that remain after the deadline, in
    seconds from now, are closed.
    """

    __slots__ = ('_deadline_seconds', '_reply')

    deadline_seconds: float = read_only('_deadline_seconds')
    reply: Reply = read_only('_reply')

    def __init__(self, *, deadline_seconds: float, reply: Reply) -> None:
        self._deadline_seconds = deadline_seconds
        self._reply = reply
