"""Define the messages between balancers and agents."""

from types import MappingProxyType

from bluebellfold.core import Message, Packet, read_only
from bluebellfold.relay.agents.agent_entry import Address
from bluebellfold.relay.agents.agent_load import AgentLoad, Versions

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
# The operator has evacuated the zone.
DECLINED_EVACUATED = 7
# The upstream is warming up and takes no more new flows at this moment.
DECLINED_WARMING = 8

# Why an agent declines all offers while its upstream is in one of these states.
STATE_DECLINES = MappingProxyType(
    {DRAINING: DECLINED_DRAINING, DOWN: DECLINED_DOWN}
)

DECLINE_NAMES = (
    'none',
    'draining',
    'down',
    'full',
    'other-service',
    'unanswered',
    'rejected',
    'evacuated',
    'warming',
)


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


class FlowPresumedAbsent(FlowMessage):
    """Report that the upstream seems to have started after the flow opened.

    It rests on wall-clock times, so that the upstream's reaction to a packet of
    the flow has to confirm it if few agents say so.
    """

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
    With ``once``, the agent sends one report and none after it. While the
    upstream is warming up, it takes ``warmup_flows_per_second`` new flows; 0
    sets no limit. ``is_unlisted`` tells that the store doesn't list the agent.
    """

    __slots__ = (
        '_idle_seconds',
        '_is_unlisted',
        '_offers_sent',
        '_once',
        '_versions',
        '_warmup_flows_per_second',
    )

    idle_seconds: float = read_only('_idle_seconds')
    is_unlisted: bool = read_only('_is_unlisted')
    offers_sent: int = read_only('_offers_sent')
    once: bool = read_only('_once')
    versions: Versions = read_only('_versions')
    warmup_flows_per_second: float = read_only('_warmup_flows_per_second')

    def __init__(
        self,
        *,
        idle_seconds: float,
        offers_sent: int,
        versions: Versions,
        once: bool = False,
        warmup_flows_per_second: float = 0,
        is_unlisted: bool = False,
    ) -> None:
        self._idle_seconds = idle_seconds
        self._is_unlisted = is_unlisted
        self._offers_sent = offers_sent
        self._versions = versions
        self._once = once
        self._warmup_flows_per_second = warmup_flows_per_second


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
LOOKUP_MESSAGES = (
    FlowLookup,
    FlowNotFound,
    FlowPresumedAbsent,
    FlowUncertain,
    FlowOwner,
)
