"""Define the load patterns that the model replays."""

from collections.abc import Callable
from functools import partial

from bluebellfold.core import Registry
from bluebellfold.model.machines import AgentMachine
from bluebellfold.model.world import ModelSite

Pattern = Callable[[ModelSite], None]

PATTERNS: Registry[str, Pattern] = Registry(name='load patterns of the model')

FAULT_START_SECONDS = 3.0
FAULT_DURATION_SECONDS = 3.0
BURST_FACTOR = 2.5
SLOWDOWN_FACTOR = 4.0
OUTAGE_SECONDS = 0.5


@PATTERNS.add('calm')
def run_undisturbed(site: ModelSite) -> None:
    """Run without faults at constant load."""


@PATTERNS.add('burst')
def burst(site: ModelSite) -> None:
    """Raise the load by a factor, above the capacity of the upstreams."""
    timeline = site.timeline
    timeline.call_later(
        FAULT_START_SECONDS, partial(_set_load_factor, site, BURST_FACTOR)
    )
    timeline.call_later(
        FAULT_START_SECONDS + FAULT_DURATION_SECONDS,
        partial(_set_load_factor, site, 1),
    )


@PATTERNS.add('upstreams-lost')
def crash_upstreams(site: ModelSite) -> None:
    """Crash a third of the upstreams; they restart and warm up again."""
    for agent in site.agents[::3]:
        site.timeline.call_later(
            FAULT_START_SECONDS, partial(_crash_upstream, site, agent)
        )
        site.timeline.call_later(
            FAULT_START_SECONDS + FAULT_DURATION_SECONDS, agent.upstream.start
        )


@PATTERNS.add('upstreams-slow')
def slow_upstreams(site: ModelSite) -> None:
    """Slow down a third of the upstreams for a while."""
    for agent in site.agents[::3]:
        site.timeline.call_later(
            FAULT_START_SECONDS, partial(_set_slowdown, agent, SLOWDOWN_FACTOR)
        )
        site.timeline.call_later(
            FAULT_START_SECONDS + FAULT_DURATION_SECONDS,
            partial(_set_slowdown, agent, 1),
        )


@PATTERNS.add('balancers-killed')
def kill_balancers(site: ModelSite) -> None:
    """Kill a third of the balancers without a restart."""
    for balancer in site.balancers[::3]:
        site.timeline.call_later(FAULT_START_SECONDS, balancer.kill)
        site.timeline.call_later(
            FAULT_START_SECONDS, partial(site.schedule_removal, balancer)
        )


@PATTERNS.add('agents-restart')
def restart_agents(site: ModelSite) -> None:
    """Restart the agents one by one while their upstreams run."""
    for index, agent in enumerate(site.agents):
        restart_at = FAULT_START_SECONDS + index * OUTAGE_SECONDS
        site.timeline.call_later(restart_at, agent.kill)
        site.timeline.call_later(restart_at, agent.start)
        site.timeline.call_later(
            restart_at, partial(site.record_disturbance, agent)
        )


@PATTERNS.add('all-return')
def power_cycle(site: ModelSite) -> None:
    """Cut the power of all machines, including upstreams, and restore it."""
    restored_at = FAULT_START_SECONDS + OUTAGE_SECONDS
    for agent in site.agents:
        site.timeline.call_later(
            FAULT_START_SECONDS, partial(_crash_upstream, site, agent)
        )
        site.timeline.call_later(FAULT_START_SECONDS, agent.kill)
        site.timeline.call_later(restored_at, agent.start)
        site.timeline.call_later(restored_at, agent.upstream.start)
    for balancer in site.balancers:
        site.timeline.call_later(FAULT_START_SECONDS, balancer.kill)
        site.timeline.call_later(restored_at, balancer.start)


def _set_load_factor(site: ModelSite, factor: float) -> None:
    site.load_factor = factor


def _set_slowdown(agent: AgentMachine, factor: float) -> None:
    agent.upstream.slowdown = factor


def _crash_upstream(site: ModelSite, agent: AgentMachine) -> None:
    agent.upstream.crash()
    site.record_disturbance(agent)
