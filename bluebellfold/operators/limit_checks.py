"""Find limits of a configuration that contradict each other.

Addresses requests that end before their response could arrive, at every
balancer at once, because one limit is under another.
"""

from bluebellfold.operators.check_rules import CheckInput, Findings, rule
from bluebellfold.operators.findings import Finding, Severity
from bluebellfold.platform import configuration_fields as document

ERROR = Severity.error
WARNING = Severity.warning


@rule('RC301', ERROR, 'the target latency of a route is over its timeout')
def check_targets(checked: CheckInput) -> Findings:
    """Yield each route whose requests end before the target."""
    for entry in checked.configuration.routes:
        timeout = entry.route.timeout_seconds
        if entry.route.target_seconds > timeout:
            yield Finding(
                path=entry.path_of(document.TARGET),
                expected=f'at most the timeout of {timeout} s',
                remedy='lower the target latency, or raise the timeout',
            )


@rule('RC302', ERROR, 'the idle time is under the timeout of a route')
def check_idle_time(checked: CheckInput) -> Findings:
    """Yield the routes whose flows are forgotten before a response."""
    idle_seconds = checked.configuration.idle_seconds
    if idle_seconds is None:
        return
    for entry in checked.configuration.routes:
        if entry.route.timeout_seconds > idle_seconds:
            yield Finding(
                path=entry.path_of(document.TIMEOUT),
                expected=f'at most the idle time of {idle_seconds} s',
                remedy='lower the timeout, or raise the idle time',
            )


@rule('RC303', ERROR, 'a drain is shorter than the timeout of a route')
def check_drain(checked: CheckInput) -> Findings:
    """Yield the routes whose requests a drain would cut."""
    drain_seconds = checked.drain_seconds
    if drain_seconds is None:
        return
    for entry in checked.configuration.routes:
        if entry.route.timeout_seconds > drain_seconds:
            yield Finding(
                path=entry.path_of(document.TIMEOUT),
                expected=f'at most the drain time of {drain_seconds} s',
                remedy='lower the timeout, or drain for longer',
            )


@rule('RC304', WARNING, 'a service has a warm-up time, but the rate 0')
def check_warmup(checked: CheckInput) -> Findings:
    """Yield each service whose warm-up time has no effect."""
    for entry in checked.configuration.services:
        unlimited = entry.service.warmup_flows_per_second == 0
        if unlimited and entry.warmup_seconds > 0:
            yield Finding(
                path=entry.path_of(document.WARMUP_RATE),
                expected='a rate above 0, since 0 sets no limit',
                remedy='state the rate, or set the warm-up time to 0',
            )


@rule('RC305', ERROR, 'a service allows no connections')
def check_connections(checked: CheckInput) -> Findings:
    """Yield each service whose upstreams may have no connection."""
    for entry in checked.configuration.services:
        if entry.max_connections == 0:
            yield Finding(
                path=entry.path_of(document.MAX_CONNECTIONS),
                expected='at least 1 connection',
                remedy='raise the limit, or remove the service',
            )
