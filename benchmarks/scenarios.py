"""Define the scenarios in which selection policies are compared."""

from collections.abc import Callable

from benchmarks.faults import (
    drain,
    hide_members,
    kill_zone,
    report_constant_load,
    restart_zone,
)
from benchmarks.fleet import Fleet, Policy, Shape
from benchmarks.imbalance import Imbalance
from bluebellfold.core import Registry

SETTLING_SECONDS = 60
SAMPLED_SECONDS = 150
LARGE_SAMPLED_SECONDS = 40
COUNTER_ZONES = 'aaabbcc'
KRONIKA_ZONES = 'aabbccd'
MAGAZYN_ZONES = 'abcd'
LARGE_SERVICE_ZONES = ('abcdefg' * 10)[:64]
UNEQUAL_WEIGHTS = (1, 1, 2, 1, 2, 1, 3)

Scenario = Callable[[Policy, int], Imbalance]

SCENARIOS: Registry[str, Scenario] = Registry(name='placement scenarios')


def _settle(shape: Shape, policy: Policy, seed: int) -> Imbalance:
    fleet = Fleet(shape=shape, policy=policy, seed=seed)
    fleet.run(SETTLING_SECONDS)
    return Imbalance(fleet)


def _measure_steady(shape: Shape, policy: Policy, seed: int) -> Imbalance:
    measured = _settle(shape, policy, seed)
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('7 in 3 zones')
def seven_in_three(policy: Policy, seed: int) -> Imbalance:
    """Measure a fleet shaped like the service counter."""
    return _measure_steady(Shape(zones=COUNTER_ZONES), policy, seed)


@SCENARIOS.add('7 in 4 zones')
def seven_in_four(policy: Policy, seed: int) -> Imbalance:
    """Measure a fleet shaped like the service kronika."""
    return _measure_steady(Shape(zones=KRONIKA_ZONES), policy, seed)


@SCENARIOS.add('4 in 4 zones')
def four_in_four(policy: Policy, seed: int) -> Imbalance:
    """Measure a fleet shaped like the service magazyn."""
    return _measure_steady(Shape(zones=MAGAZYN_ZONES), policy, seed)


@SCENARIOS.add('64 in 7 zones')
def sixty_four_in_seven(policy: Policy, seed: int) -> Imbalance:
    """Measure a service in which each agent knows only some of the others."""
    measured = _settle(Shape(zones=LARGE_SERVICE_ZONES), policy, seed)
    measured.fleet.run(LARGE_SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('short flows')
def short_flows(policy: Policy, seed: int) -> Imbalance:
    """Measure flows of 20 s, with three times the changes per load report."""
    shape = Shape(zones=COUNTER_ZONES, flow_seconds=20)
    return _measure_steady(shape, policy, seed)


@SCENARIOS.add('unequal capacity')
def unequal_capacity(policy: Policy, seed: int) -> Imbalance:
    """Measure upstreams with weights from 1 to 3."""
    shape = Shape(zones=COUNTER_ZONES, weights=UNEQUAL_WEIGHTS)
    return _measure_steady(shape, policy, seed)


@SCENARIOS.add('balancers disagree')
def balancers_disagree(policy: Policy, seed: int) -> Imbalance:
    """Measure while half of the balancers do not know two of the members."""
    measured = _settle(Shape(zones=COUNTER_ZONES), policy, seed)
    hide_members(measured.fleet)
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('reports lag 5 s')
def reports_lag(policy: Policy, seed: int) -> Imbalance:
    """Measure while the load reports of one agent arrive 5 s late."""
    measured = _settle(Shape(zones=COUNTER_ZONES), policy, seed)
    measured.fleet.any_agent().report_delay_seconds = 5
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('reports half')
def reports_half(policy: Policy, seed: int) -> Imbalance:
    """Measure while one agent reports only half of its flows."""
    measured = _settle(Shape(zones=COUNTER_ZONES), policy, seed)
    measured.fleet.any_agent().reported_fraction = 0.5
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('claims idle')
def reports_idle(policy: Policy, seed: int) -> Imbalance:
    """Measure while the load endpoint of one upstream always reports 0."""
    measured = _settle(Shape(zones=COUNTER_ZONES), policy, seed)
    report_constant_load(
        measured.fleet, measured.fleet.any_agent(), upstream_load=0
    )
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('claims full')
def reports_full(policy: Policy, seed: int) -> Imbalance:
    """Measure while the load endpoint of one upstream always reports 1."""
    measured = _settle(Shape(zones=COUNTER_ZONES), policy, seed)
    report_constant_load(
        measured.fleet, measured.fleet.any_agent(), upstream_load=1
    )
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('a drain')
def one_drains(policy: Policy, seed: int) -> Imbalance:
    """Measure the other agents from the start of a drain."""
    measured = _settle(Shape(zones=COUNTER_ZONES), policy, seed)
    drain(measured.fleet, measured.fleet.any_agent())
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('a zone lost')
def zone_lost(policy: Policy, seed: int) -> Imbalance:
    """Measure the other agents after a zone fails."""
    measured = _settle(Shape(zones=KRONIKA_ZONES), policy, seed)
    kill_zone(measured.fleet, 'a')
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('the zone returns')
def zone_returns(policy: Policy, seed: int) -> Imbalance:
    """Measure all agents after a failed zone restarts with cold upstreams."""
    measured = _settle(Shape(zones=KRONIKA_ZONES), policy, seed)
    kill_zone(measured.fleet, 'a')
    measured.fleet.run(SETTLING_SECONDS)
    restart_zone(measured.fleet, 'a')
    measured.cold = measured.fleet.in_zone('a')
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured


@SCENARIOS.add('one cold upstream')
def one_cold(policy: Policy, seed: int) -> Imbalance:
    """Measure all agents after one restarts with a cold upstream."""
    measured = _settle(Shape(zones=KRONIKA_ZONES), policy, seed)
    kill_zone(measured.fleet, 'd')
    measured.fleet.run(SETTLING_SECONDS)
    restart_zone(measured.fleet, 'd')
    measured.cold = measured.fleet.in_zone('d')
    measured.fleet.run(SAMPLED_SECONDS, measured.sample)
    return measured
