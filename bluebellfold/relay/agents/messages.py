"""Define what balancers and agents tell each other about flows."""

from bluebellfold.core import Message, Packet, Record, read_only

UNKNOWN = 0
READY = 1
DRAINING = 2
DOWN = 3

STATE_NAMES = ('unknown', 'ready', 'draining', 'down')

DECLINED_DRAINING = 1
DECLINED_DOWN = 2
DECLINED_FULL = 3
DECLINED_SERVICE = 4
DECLINED_UNANSWERED = 5
# The upstream itself gave the opening packet back.
DECLINED_REJECTED = 6

DECLINE_NAMES = (
    'none',
    'draining',
    'down',
    'full',
    'other-service',
    'unanswered',
    'rejected',
)


class Versions(Record):
    """Name the newest configuration and list of agents that are known."""

    __slots__ = ('_agents', '_configuration')

    agents: int = read_only('_agents')
    configuration: int = read_only('_configuration')

    def __init__(self, *, configuration: int, agents: int) -> None:
        self._configuration = configuration
        self._agents = agents


class Served(Record):
    """State how an upstream served its late requests.

    ``work_seconds`` is the mean work on one, 0 before the first, and
    ``failure_share`` the part that failed, from 0 to 1.
    """

    __slots__ = ('_failure_share', '_work_seconds')

    failure_share: float = read_only('_failure_share')
    work_seconds: float = read_only('_work_seconds')

    def __init__(self, *, work_seconds: float, failure_share: float) -> None:
        self._work_seconds = work_seconds
        self._failure_share = failure_share


class AgentLoad(Record):
    """State what an agent knows of its upstream at one moment.

    ``busy`` counts requests in progress and flows about to open, ``flows``
    all open flows. ``offers_seen`` counts the offers of the balancer that is
    told, ``versions`` what balancers named as the newest.
    """

    __slots__ = (
        '_busy',
        '_flows',
        '_offers_seen',
        '_sequence',
        '_served',
        '_service',
        '_slots',
        '_start',
        '_state',
        '_versions',
        '_warming',
        '_zone',
    )

    busy: int = read_only('_busy')
    flows: int = read_only('_flows')
    offers_seen: int = read_only('_offers_seen')
    sequence: int = read_only('_sequence')
    served: Served = read_only('_served')
    service: str = read_only('_service')
    slots: int = read_only('_slots')
    start: int = read_only('_start')
    state: int = read_only('_state')
    versions: Versions = read_only('_versions')
    warming: bool = read_only('_warming')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        start: int,
        sequence: int,
        state: int,
        service: str,
        zone: str,
        slots: int,
        busy: int,
        flows: int,
        warming: bool,
        served: Served,
        offers_seen: int,
        versions: Versions,
    ) -> None:
        self._start = start
        self._sequence = sequence
        self._state = state
        self._service = service
        self._zone = zone
        self._slots = slots
        self._busy = busy
        self._flows = flows
        self._warming = warming
        self._served = served
        self._offers_seen = offers_seen
        self._versions = versions


class PacketMessage(Message):
    """Carry a client's packet."""

    __slots__ = ('_packet',)

    packet: Packet = read_only('_packet')

    def __init__(self, *, packet: Packet) -> None:
        self._packet = packet


class Offer(PacketMessage):
    """Ask an agent to take a new flow for a service.

    ``most_busy`` is with how many requests in progress it may take the flow;
    with more, another agent is likely the better one.
    """

    __slots__ = ('_most_busy', '_service')

    most_busy: int = read_only('_most_busy')
    service: str = read_only('_service')

    def __init__(self, *, packet: Packet, service: str, most_busy: int) -> None:
        super().__init__(packet=packet)
        self._service = service
        self._most_busy = most_busy


class Carry(PacketMessage):
    """Bring a packet to the agent that holds its flow."""

    __slots__ = ()


class FlowMessage(Message):
    """Name a flow."""

    __slots__ = ('_flow',)

    flow: bytes = read_only('_flow')

    def __init__(self, *, flow: bytes) -> None:
        self._flow = flow


class Seek(FlowMessage):
    """Ask an agent whether its upstream holds a flow.

    ``acknowledged`` is from the client's packet: it tells which upstream the
    client chose, if several answered its opening packet.
    """

    __slots__ = ('_acknowledged',)

    acknowledged: int = read_only('_acknowledged')

    def __init__(self, *, flow: bytes, acknowledged: int) -> None:
        super().__init__(flow=flow)
        self._acknowledged = acknowledged


class Declined(PacketMessage):
    """Give back the opening packet of a flow that the agent didn't take."""

    __slots__ = ('_reason',)

    reason: int = read_only('_reason')

    def __init__(self, *, packet: Packet, reason: int) -> None:
        super().__init__(packet=packet)
        self._reason = reason


class NotHeld(PacketMessage):
    """Give back a packet of a flow that the upstream does not hold."""

    __slots__ = ()


class Held(FlowMessage):
    """Tell that the agent's upstream holds a flow."""

    __slots__ = ()


class Denied(FlowMessage):
    """Tell that the agent's upstream doesn't hold a flow."""

    __slots__ = ()


class MayHold(FlowMessage):
    """Tell that the agent can't tell without a packet of the flow."""

    __slots__ = ()


class Hello(Message):
    """Ask an agent to report its load for the next seconds.

    ``offers_sent`` lets the agent count on after offers that were lost.
    ``versions`` are those in force at the balancer.
    """

    __slots__ = ('_idle_seconds', '_offers_sent', '_versions')

    idle_seconds: float = read_only('_idle_seconds')
    offers_sent: int = read_only('_offers_sent')
    versions: Versions = read_only('_versions')

    def __init__(
        self, *, idle_seconds: float, offers_sent: int, versions: Versions
    ) -> None:
        self._idle_seconds = idle_seconds
        self._offers_sent = offers_sent
        self._versions = versions


class LoadReport(Message):
    """Tell a balancer the load of an agent."""

    __slots__ = ('_load',)

    load: AgentLoad = read_only('_load')

    def __init__(self, *, load: AgentLoad) -> None:
        self._load = load
