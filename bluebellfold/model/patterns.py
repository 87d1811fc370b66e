"""Name the load patterns that the model replays."""

from collections.abc import Callable
from functools import partial

from bluebellfold.core import Registry
from bluebellfold.model.machines import AgentMachine
from bluebellfold.model.world import ModelSite

Pattern = Callable[[ModelSite], None]

PATTERNS: Registry[str, Pattern] = Registry(name='load patterns of the model')

# When the trouble begins, in seconds, and how long it lasts.
TROUBLE_AT = 3.0
TROUBLE_SECONDS = 3.0
BURST_FACTOR = 2.5
SLOWNESS = 4.0
DARK_SECONDS = 0.5


@PATTERNS.add('calm')
def keep_calm(site: ModelSite) -> None:
    """Change nothing."""


@PATTERNS.add('burst')
def burst(site: ModelSite) -> None:
    """Let clients ask for more than upstreams can do."""
    timeline = site.timeline
    timeline.after(TROUBLE_AT, partial(_press, site, BURST_FACTOR))
    timeline.after(TROUBLE_AT + TROUBLE_SECONDS, partial(_press, site, 1))


@PATTERNS.add('upstreams-lost')
def lose_upstreams(site: ModelSite) -> None:
    """Crash a third of the upstreams; they return cold."""
    for agent in site.agents[::3]:
        site.timeline.after(TROUBLE_AT, partial(_crash, site, agent))
        site.timeline.after(TROUBLE_AT + TROUBLE_SECONDS, agent.upstream.start)


@PATTERNS.add('upstreams-slow')
def slow_upstreams(site: ModelSite) -> None:
    """Let a third of the upstreams work slowly for a while."""
    for agent in site.agents[::3]:
        site.timeline.after(TROUBLE_AT, partial(_slow, agent, SLOWNESS))
        site.timeline.after(
            TROUBLE_AT + TROUBLE_SECONDS, partial(_slow, agent, 1)
        )


@PATTERNS.add('balancers-killed')
def kill_balancers(site: ModelSite) -> None:
    """Kill a third of the balancers; they don't return."""
    for balancer in site.balancers[::3]:
        site.timeline.after(TROUBLE_AT, balancer.kill)
        site.timeline.after(TROUBLE_AT, partial(site.leave, balancer))


@PATTERNS.add('agents-restart')
def restart_agents(site: ModelSite) -> None:
    """Restart the agents one by one beside living upstreams."""
    for index, agent in enumerate(site.agents):
        moment = TROUBLE_AT + index * DARK_SECONDS
        site.timeline.after(moment, agent.kill)
        site.timeline.after(moment, agent.start)
        site.timeline.after(moment, partial(site.touch, agent))


@PATTERNS.add('all-return')
def lose_power(site: ModelSite) -> None:
    """Cut the power of all machines, upstreams too."""
    back = TROUBLE_AT + DARK_SECONDS
    for agent in site.agents:
        site.timeline.after(TROUBLE_AT, partial(_crash, site, agent))
        site.timeline.after(TROUBLE_AT, agent.kill)
        site.timeline.after(back, agent.start)
        site.timeline.after(back, agent.upstream.start)
    for balancer in site.balancers:
        site.timeline.after(TROUBLE_AT, balancer.kill)
        site.timeline.after(back, balancer.start)


def _press(site: ModelSite, factor: float) -> None:
    site.load_factor = factor


def _slow(agent: AgentMachine, factor: float) -> None:
    agent.upstream.slowness = factor


def _crash(site: ModelSite, agent: AgentMachine) -> None:
    agent.upstream.crash()
    site.touch(agent)
