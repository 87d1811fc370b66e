"""Describe the load of an agent's upstream, as it is reported."""

from bluebellfold.core import NO_POSITION, Record, StorePosition, read_only

# The number of flows that an upstream takes while it is warming up, if the rate
# of new flows isn't limited.
NO_FLOW_LIMIT = 254


class Evacuation(Record):
    """State whether the zone of an agent is evacuated.

    ``position`` is that of the store as of which this is known. A state that
    isn't ``is_certain`` rests on a list that may lack a lost evacuation.
    """

    __slots__ = ('_evacuated', '_is_certain', '_position')

    evacuated: bool = read_only('_evacuated')
    is_certain: bool = read_only('_is_certain')
    position: StorePosition = read_only('_position')

    def __init__(
        self,
        *,
        evacuated: bool,
        position: StorePosition,
        is_certain: bool = False,
    ) -> None:
        self._evacuated = evacuated
        # What the store lists was written in its history.
        self._is_certain = is_certain or evacuated
        self._position = position


NO_EVACUATION = Evacuation(evacuated=False, position=NO_POSITION)


class Versions(Record):
    """Hold the newest known versions of the configuration and agent list.

    ``agents`` is the position of the agent that was listed last.
    ``evacuation`` is that of the zone of the agent which gets or sends this.
    """

    __slots__ = ('_agents', '_configuration', '_evacuation')

    agents: StorePosition = read_only('_agents')
    configuration: int = read_only('_configuration')
    evacuation: Evacuation = read_only('_evacuation')

    def __init__(
        self,
        *,
        configuration: int,
        agents: StorePosition,
        evacuation: Evacuation = NO_EVACUATION,
    ) -> None:
        self._configuration = configuration
        self._agents = agents
        self._evacuation = evacuation

    @property
    def era(self) -> int:
        """Return the newest era of the store that the versions are of."""
        return max(self._agents.era, self._evacuation.position.era)


class Warmup(Record):
    """Describe an upstream that is warming up.

    It takes ``flows_left`` new flows at this moment, up to NO_FLOW_LIMIT.
    """

    __slots__ = ('_flows_left',)

    flows_left: int = read_only('_flows_left')

    def __init__(self, *, flows_left: int) -> None:
        self._flows_left = flows_left


class RequestStats(Record):
    """Summarise the recent requests of an upstream.

    ``work_seconds`` is the mean processing time of a request, 0 before the
    first request, and ``work_error`` the bound on its relative error.
    ``failure_share`` is the share of requests that failed,
    from 0 to 1. ``arrivals_per_second`` counts the new flows of all balancers.
    """

    __slots__ = (
        '_arrivals_per_second',
        '_failure_share',
        '_work_error',
        '_work_seconds',
    )

    arrivals_per_second: float = read_only('_arrivals_per_second')
    failure_share: float = read_only('_failure_share')
    work_error: float = read_only('_work_error')
    work_seconds: float = read_only('_work_seconds')

    def __init__(
        self,
        *,
        work_seconds: float,
        failure_share: float,
        arrivals_per_second: float = 0,
        work_error: float = 0,
    ) -> None:
        self._arrivals_per_second = arrivals_per_second
        self._work_error = work_error
        self._work_seconds = work_seconds
        self._failure_share = failure_share


class AgentLoad(Record):
    """Describe the load of an agent's upstream at one moment.

    ``in_flight`` counts requests in flight and flows about to open, ``flows``
    all open flows. ``incarnation`` is the time of day in ns at which the agent
    started, and ``sequence`` numbers its reports. ``offers_seen`` counts
    the offers of the balancer that receives the report. ``versions`` holds the
    newest versions that any balancer has reported to the agent. ``warmup`` is
    None once the upstream has warmed up.
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
        '_warmup',
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
    warmup: Warmup | None = read_only('_warmup')
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
        warmup: Warmup | None,
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
        self._warmup = warmup
        self._request_stats = request_stats
        self._offers_seen = offers_seen
        self._versions = versions

    @property
    def warming(self) -> bool:
        """Tell whether the upstream is warming up."""
        return self._warmup is not None
