"""Read the state of a process from its metrics page."""

from collections.abc import Mapping
from math import isfinite

from bluebellfold.core import Endpoint, Record, read_only

PREFIX = 'bluebellfold_'
BALANCER = 'balancer'
AGENT = 'agent'
# A gauge that only processes of the role serve.
GAUGE_OF_ROLE = (
    (BALANCER, 'configuration_version'),
    (AGENT, 'balancers'),
)

Gauges = Mapping[str, int]


class ProcessState(Record):
    """Hold what a process knows, by the names of its metrics.

    ``role`` is empty if the page is not of a process of the relay.
    """

    __slots__ = ('_endpoint', '_gauges', '_role')

    endpoint: Endpoint = read_only('_endpoint')
    gauges: Gauges = read_only('_gauges')
    role: str = read_only('_role')

    def __init__(
        self, *, endpoint: Endpoint, role: str, gauges: Gauges
    ) -> None:
        self._endpoint = endpoint
        self._role = role
        self._gauges = gauges


def read_state(endpoint: Endpoint, page: str) -> ProcessState:
    """Return the state that a metrics page shows."""
    gauges = parse_metrics(page)
    roles = [role for role, gauge in GAUGE_OF_ROLE if gauge in gauges]
    return ProcessState(
        endpoint=endpoint, role=roles[0] if roles else '', gauges=gauges
    )


def parse_metrics(page: str) -> dict[str, int]:
    """Return the metrics without labels of a page in Prometheus' text format.

    Names come without their prefix. Lines of others, and those that are no
    metrics, are left out: the page may be of any program.

    >>> parse_metrics('bluebellfold_flows 7')
    {'flows': 7}
    """
    metrics = {}
    for line in page.splitlines():
        name, _, number = line.rpartition(' ')
        if not name.startswith(PREFIX) or '{' in name:
            continue
        level = _read_number(number)
        if level is not None:
            metrics[name.removeprefix(PREFIX)] = level
    return metrics


def _read_number(text: str) -> int | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return round(number) if isfinite(number) else None
