"""Define the messages between balancers and agents."""

from bluebellfold.core import Message, Packet, Record, read_only
from bluebellfold.relay.agents.agent_entry import Address

# States of an upstream in a load report.
UNKNOWN = 0
READY = 1
DRAINING = 2
DOWN = 3

STATE_NAMES = ('unknown', 'ready', 'draining', 'down')

# Reasons why an agent declines an offer.
DECLINED_DRAINING = 1
DECLINED_DOWN = 2
DECLINED_FULL = 3
DECLINED_OTHER_SERVICE = 4
# The upstream did not answer the opening packet in time.
DECLINED_UNANSWERED = 5
# The upstream itself returned or reset the opening packet.
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
    """Hold the newest known versions of the configuration and agent list.

    ``agents`` is the revision of the list of agents in the store.
    """

    __slots__ = ('_agents', '_configuration')

    agents: int = read_only('_agents')
    configuration: int = read_only('_configuration')

    def __init__(self, *, configuration: int, agents: int) -> None:
        self._configuration = configuration
        self._agents = agents


class RequestStats(Record):
    """Summarise the recent requests of an upstream.

    ``work_seconds`` is the mean processing time of a request, 0 before the
    first request. ``failure_share`` is the share of requests that failed,
    from 0 to 1.
    """

    __slots__ = ('_failure_share', '_work_seconds')

    failure_share: float = read_only('_failure_share')
    work_seconds: float = read_only('_work_seconds')

    def __init__(self, *, work_seconds: float, failure_share: float) -> None:
        self._work_seconds = work_seconds
        self._failure_share = failure_share


class AgentLoad(Record):
    """Describe the load of an agent's upstream at one moment.

    ``in_flight`` counts requests in flight and flows about to open, ``flows``
    all open flows. ``incarnation`` is the time of day in ns at which the agent
    started, and ``sequence`` numbers its reports. ``offers_seen`` counts
    the offers of the balancer that receives the report. ``versions`` holds the
    newest versions that any balancer has reported to the agent.
    """

    __slots__ = (
        '_flows',
        '_in_flight',
        '_incarnation',
        '_offers_seen',
        '_request_stats',
        '_sequence',
        '_service',
        '_slots',
        '_state',
        '_versions',
        '_warming',
        '_zone',
    )

    in_flight: int = read_only('_in_flight')
    flows: int = read_only('_flows')
    offers_seen: int = read_only('_offers_seen')
    sequence: int = read_only('_sequence')
    request_stats: RequestStats = read_only('_request_stats')
    service: str = read_only('_service')
    slots: int = read_only('_slots')
    incarnation: int = read_only('_incarnation')
    state: int = read_only('_state')
    versions: Versions = read_only('_versions')
    warming: bool = read_only('_warming')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        incarnation: int,
        sequence: int,
        state: int,
        service: str,
        zone: str,
        slots: int,
        in_flight: int,
        flows: int,
        warming: bool,
        request_stats: RequestStats,
        offers_seen: int,
        versions: Versions,
    ) -> None:
        self._incarnation = incarnation
        self._sequence = sequence
        self._state = state
        self._service = service
        self._zone = zone
        self._slots = slots
        self._in_flight = in_flight
        self._flows = flows
        self._warming = warming
        self._request_stats = request_stats
        self._offers_seen = offers_seen
        self._versions = versions


class PacketMessage(Message):
    """Hold a client's packet."""

    __slots__ = ('_packet',)

    packet: Packet = read_only('_packet')

    def __init__(self, *, packet: Packet) -> None:
        self._packet = packet


class Offer(PacketMessage):
    """Ask an agent to accept a new flow for a service.

    The agent declines if its upstream has ``max_in_flight`` or more requests in
    flight, because another agent is then likely to have less load.
    """

    __slots__ = ('_max_in_flight', '_service')

    max_in_flight: int = read_only('_max_in_flight')
    service: str = read_only('_service')

    def __init__(
        self, *, packet: Packet, service: str, max_in_flight: int
    ) -> None:
        super().__init__(packet=packet)
        self._service = service
        self._max_in_flight = max_in_flight


class ForwardedPacket(PacketMessage):
    """Forward a packet to the agent whose upstream holds the flow."""

    __slots__ = ()


class FlowMessage(Message):
    """Identify a flow by its key."""

    __slots__ = ('_flow',)

    flow: bytes = read_only('_flow')

    def __init__(self, *, flow: bytes) -> None:
        self._flow = flow


class FlowLookup(FlowMessage):
    """Ask an agent whether its upstream holds a flow.

    ``acknowledged`` is the acknowledgement number of the client's packet. If
    several upstreams answered the opening packet, it identifies the one that
    the client connected to.
    """

    __slots__ = ('_acknowledged',)

    acknowledged: int = read_only('_acknowledged')

    def __init__(self, *, flow: bytes, acknowledged: int) -> None:
        super().__init__(flow=flow)
        self._acknowledged = acknowledged


class Declined(PacketMessage):
    """Decline an offer and return its opening packet.

    ``reason`` is one of the ``DECLINED_`` constants.
    """

    __slots__ = ('_reason',)

    reason: int = read_only('_reason')

    def __init__(self, *, packet: Packet, reason: int) -> None:
        super().__init__(packet=packet)
        self._reason = reason


class ReturnedPacket(PacketMessage):
    """Return a packet of a flow that the upstream does not hold."""

    __slots__ = ()


class FlowFound(FlowMessage):
    """Report that the agent's upstream holds a flow."""

    __slots__ = ()


class FlowNotFound(FlowMessage):
    """Report that the agent's upstream does not hold a flow."""

    __slots__ = ()


class FlowUncertain(FlowMessage):
    """Report that it is not known whether the upstream holds a flow.

    Only the upstream's reaction to a packet of the flow can show it.
    """

    __slots__ = ()


class FlowOwner(FlowMessage):
    """Name the agent whose upstream holds a flow.

    A balancer tells it to the home agents of the flow, and a home agent tells
    it to a balancer that looks the flow up. With ``denies``, the home agent is
    also sure that its own upstream doesn't hold the flow.
    """

    __slots__ = ('_denies', '_owner')

    denies: bool = read_only('_denies')
    owner: Address = read_only('_owner')

    def __init__(
        self, *, flow: bytes, owner: Address, denies: bool = False
    ) -> None:
        super().__init__(flow=flow)
        self._owner = owner
        self._denies = denies


class Subscribe(Message):
    """Subscribe to the load reports of an agent, or renew a subscription.

    ``idle_seconds`` is the time without packets after which a flow expires,
    0 if it is not known yet. ``offers_sent`` corrects the agent's count for
    offers that were lost. ``versions`` are those in force at the balancer.
    With ``once``, the agent sends one report and none after it.
    """

    __slots__ = ('_idle_seconds', '_offers_sent', '_once', '_versions')

    idle_seconds: float = read_only('_idle_seconds')
    offers_sent: int = read_only('_offers_sent')
    once: bool = read_only('_once')
    versions: Versions = read_only('_versions')

    def __init__(
        self,
        *,
        idle_seconds: float,
        offers_sent: int,
        versions: Versions,
        once: bool = False,
    ) -> None:
        self._idle_seconds = idle_seconds
        self._offers_sent = offers_sent
        self._versions = versions
        self._once = once


class LoadReport(Message):
    """Report the load of an agent to a balancer.

    ``followers`` counts the balancers that follow the agent.
    """

    __slots__ = ('_followers', '_load')

    followers: int = read_only('_followers')
    load: AgentLoad = read_only('_load')

    def __init__(self, *, load: AgentLoad, followers: int = 0) -> None:
        self._load = load
        self._followers = followers


# Sent together with others of the same turn. FlowFound isn't: packets wait for
# it.
LOOKUP_MESSAGES = (FlowLookup, FlowNotFound, FlowUncertain, FlowOwner)
