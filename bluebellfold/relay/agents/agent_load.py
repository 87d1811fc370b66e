"""Describe the load of an agent's upstream, as it is reported."""

from bluebellfold.core import Record, read_only


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
