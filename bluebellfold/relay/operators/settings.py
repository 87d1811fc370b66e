"""Load the settings of the balancer and agent processes of the relay."""

from pathlib import Path
from typing import Any

from configobj.validate import ValidateError

from bluebellfold.core import Endpoint, Record, SettingsError, read_only
from bluebellfold.ini import check_endpoint, read_validated

PACKAGE = 'bluebellfold.relay.operators'
BALANCER_SPEC = 'balancer.spec.ini'
AGENT_SPEC = 'agent.spec.ini'


class Bounds(Record):
    """Hold the bounds that the platform sets, None where it sets none."""

    __slots__ = (
        '_evacuate_milliseconds',
        '_warmup_overshoot',
        '_warmup_slack',
    )

    evacuate_milliseconds: float | None = read_only('_evacuate_milliseconds')
    warmup_overshoot: float | None = read_only('_warmup_overshoot')
    warmup_slack: float | None = read_only('_warmup_slack')

    def __init__(
        self,
        *,
        evacuate_milliseconds: float | None,
        warmup_overshoot: float | None,
        warmup_slack: float | None,
    ) -> None:
        self._evacuate_milliseconds = evacuate_milliseconds
        self._warmup_overshoot = warmup_overshoot
        self._warmup_slack = warmup_slack


class RelayProcess(Record):
    """Hold the settings common to balancers and agents.

    ``metrics`` is None if the process does not serve metrics. ``regions`` maps
    each zone to its region.
    """

    __slots__ = (
        '_bounds',
        '_log_level',
        '_metrics',
        '_name',
        '_readiness',
        '_regions',
        '_store',
        '_zone',
    )

    bounds: Bounds = read_only('_bounds')
    log_level: str = read_only('_log_level')
    metrics: Endpoint | None = read_only('_metrics')
    name: str = read_only('_name')
    readiness: Endpoint = read_only('_readiness')
    regions: dict[str, str] = read_only('_regions')
    store: Endpoint = read_only('_store')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        regions: dict[str, str],
        bounds: Bounds,
        readiness: Endpoint,
        store: Endpoint,
        metrics: Endpoint | None,
        log_level: str,
    ) -> None:
        self._name = name
        self._zone = zone
        self._regions = regions
        self._bounds = bounds
        self._readiness = readiness
        self._store = store
        self._metrics = metrics
        self._log_level = log_level


class BalancerSettings(Record):
    """Hold the settings of a balancer.

    ``peers`` is None if it serves no copies to other balancers. ``seeds`` are
    hosts of balancers that may serve one.
    """

    __slots__ = ('_agents', '_clients', '_peers', '_process', '_seeds')

    agents: Endpoint = read_only('_agents')
    clients: Endpoint = read_only('_clients')
    peers: Endpoint | None = read_only('_peers')
    process: RelayProcess = read_only('_process')
    seeds: tuple[str, ...] = read_only('_seeds')

    def __init__(
        self,
        *,
        process: RelayProcess,
        clients: Endpoint,
        agents: Endpoint,
        peers: Endpoint | None = None,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self._process = process
        self._clients = clients
        self._agents = agents
        self._peers = peers
        self._seeds = seeds


class AgentSettings(Record):
    """Hold the settings of an agent."""

    __slots__ = (
        '_announcement_seconds',
        '_announcements',
        '_datagrams',
        '_outbound',
        '_process',
        '_service',
        '_upstream',
    )

    announcement_seconds: float = read_only('_announcement_seconds')
    announcements: Endpoint = read_only('_announcements')
    datagrams: Endpoint = read_only('_datagrams')
    outbound: Endpoint = read_only('_outbound')
    process: RelayProcess = read_only('_process')
    service: str = read_only('_service')
    upstream: Endpoint = read_only('_upstream')

    def __init__(
        self,
        *,
        process: RelayProcess,
        datagrams: Endpoint,
        outbound: Endpoint,
        upstream: Endpoint,
        service: str,
        announcements: Endpoint,
        announcement_seconds: float,
    ) -> None:
        self._process = process
        self._datagrams = datagrams
        self._outbound = outbound
        self._upstream = upstream
        self._service = service
        self._announcements = announcements
        self._announcement_seconds = announcement_seconds


def load_balancer(path: str | Path) -> BalancerSettings:
    """Return the settings of a balancer, or raise SettingsError."""
    sections = read_validated(path, BALANCER_SPEC, package=PACKAGE)
    own_section = sections['balancer']
    return BalancerSettings(
        process=_build_process(sections, own_section, path),
        clients=own_section['callers'],
        agents=own_section['agents'],
        peers=_parse_optional_endpoint('peers', own_section, path),
        seeds=own_section['seeds'],
    )


def load_agent(path: str | Path) -> AgentSettings:
    """Return the settings of an agent, or raise SettingsError."""
    sections = read_validated(path, AGENT_SPEC, package=PACKAGE)
    own_section = sections['agent']
    return AgentSettings(
        process=_build_process(sections, own_section, path),
        datagrams=own_section['datagrams'],
        outbound=own_section['outbound'],
        upstream=own_section['upstream'],
        service=own_section['service'],
        announcements=own_section['announcements'],
        announcement_seconds=own_section['announcement_milliseconds'] / 1000,
    )


def _build_process(
    sections: dict[str, Any], own_section: dict[str, Any], path: str | Path
) -> RelayProcess:
    process = sections['process']
    return RelayProcess(
        name=process['name'],
        zone=process['zone'],
        regions=dict(process['regions']),
        bounds=Bounds(**sections['bounds']),
        readiness=own_section['readiness'],
        store=sections['store']['address'],
        metrics=_parse_optional_endpoint('metrics', own_section, path),
        log_level=sections['logs']['level'],
    )


def _parse_optional_endpoint(
    key: str, own_section: dict[str, Any], path: str | Path
) -> Endpoint | None:
    text = own_section[key]
    if not text:
        return None
    try:
        return check_endpoint(text)
    except ValidateError as error:
        raise SettingsError(
            problem=f'{path}: {key}: {error}',
            remedy='give host:port, or leave it empty for none',
        ) from None
