"""Bring faults and planned changes to a simulated fleet."""

from functools import partial

from benchmarks.fleet import Agent, Fleet
from bluebellfold.agents import UsableCapacity
from bluebellfold.core import DRAINING, LEFT, SERVING

# Balancers learn of a change one after the other within these seconds.
SPREAD_SECONDS = 4
# The rows of dead agents are taken away after these seconds.
REMOVED_SECONDS = 10
# Callers of a dead agent connect anew after these seconds on average.
RECONNECT_SECONDS = 1


def change(agent: Agent, state: str) -> None:
    """Give an agent's row another state."""
    member = agent.member
    agent.member = member.replace(state=state, sequence=member.sequence + 1)


def kill(fleet: Fleet, agent: Agent) -> None:
    """End an agent; its callers connect anew."""
    agent.alive = False
    for _ in range(agent.flows):
        delay = fleet.random.expovariate(1 / RECONNECT_SECONDS)
        fleet.after(delay, fleet.arrive)
    agent.flows = 0


def restart(fleet: Fleet, agent: Agent) -> None:
    """Start an agent anew, with a cold upstream."""
    member = agent.member
    fresh = Agent(
        member=member.replace(incarnation=member.incarnation + 1),
        report_seconds=fleet.policy.report_seconds,
    )
    fresh.ramp = UsableCapacity(cold_at=fleet.now)
    fresh.capacity = UsableCapacity(cold_at=fleet.now)
    fleet.agents[fresh.member.endpoint] = fresh
    fleet.keep_reporting(fresh)


def drain(fleet: Fleet, agent: Agent) -> None:
    """Let an agent leave."""
    change(agent, DRAINING)
    fleet.adopt_members(spread_seconds=SPREAD_SECONDS)


def lose_zone(fleet: Fleet, zone: str) -> None:
    """Kill all agents of a zone at once."""
    lost = fleet.in_zone(zone)
    for agent in lost:
        kill(fleet, agent)
    fleet.after(REMOVED_SECONDS, partial(remove, fleet, lost))


def remove(fleet: Fleet, lost: tuple[Agent, ...]) -> None:
    """Mark dead agents as having left."""
    for agent in lost:
        change(agent, LEFT)
    fleet.adopt_members(spread_seconds=SPREAD_SECONDS)


def bring_back(fleet: Fleet, zone: str) -> None:
    """Restart the agents of a zone, with cold upstreams."""
    for agent in fleet.in_zone(zone):
        change(agent, SERVING)
        restart(fleet, agent)
    fleet.adopt_members(spread_seconds=SPREAD_SECONDS)


def disagree(fleet: Fleet) -> None:
    """Let half of the balancers lack two members for good."""
    members = fleet.members
    for balancer in fleet.balancers[::2]:
        balancer.adopt(members[:-2])


def mislead(fleet: Fleet, agent: Agent, *, claimed: float) -> None:
    """Let an upstream claim the same load each second, from 0 to 1."""
    counted = agent.load(fleet.now).connections
    agent.capacity.record_hint(
        upstream_load=claimed, agent_load=counted, at=fleet.now
    )
    fleet.after(1, partial(mislead, fleet, agent, claimed=claimed))
