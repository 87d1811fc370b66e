"""Inject faults and planned changes into a simulated fleet."""

from functools import partial

from benchmarks.fleet import Agent, Fleet
from bluebellfold.agents import UsableCapacity
from bluebellfold.core import DRAINING, LEFT, SERVING

# Balancers learn of a membership change one after another within this time.
PROPAGATION_SECONDS = 4
# Delay until dead agents are marked as having left.
REMOVAL_SECONDS = 10
# Mean delay until the clients of a dead agent reconnect.
MEAN_RECONNECT_SECONDS = 1


def update_state(agent: Agent, state: str) -> None:
    """Set the state of an agent's member row."""
    member = agent.member
    agent.member = member.replace(state=state, sequence=member.sequence + 1)


def kill(fleet: Fleet, agent: Agent) -> None:
    """Kill an agent; its clients reconnect."""
    agent.alive = False
    for _ in range(agent.flows):
        delay = fleet.random.expovariate(1 / MEAN_RECONNECT_SECONDS)
        fleet.call_later(delay, fleet.arrive)
    agent.flows = 0


def restart(fleet: Fleet, agent: Agent) -> None:
    """Restart an agent, with a cold upstream."""
    member = agent.member
    restarted = Agent(
        member=member.replace(incarnation=member.incarnation + 1),
        report_seconds=fleet.policy.report_seconds,
    )
    restarted.actual_capacity = UsableCapacity(cold_at=fleet.now)
    restarted.capacity = UsableCapacity(cold_at=fleet.now)
    fleet.agents[restarted.member.endpoint] = restarted
    fleet.report_load(restarted)


def drain(fleet: Fleet, agent: Agent) -> None:
    """Start to drain an agent."""
    update_state(agent, DRAINING)
    fleet.update_members(propagation_seconds=PROPAGATION_SECONDS)


def kill_zone(fleet: Fleet, zone: str) -> None:
    """Kill all agents of an availability zone at once."""
    dead = fleet.in_zone(zone)
    for agent in dead:
        kill(fleet, agent)
    fleet.call_later(REMOVAL_SECONDS, partial(mark_left, fleet, dead))


def mark_left(fleet: Fleet, dead: tuple[Agent, ...]) -> None:
    """Mark dead agents as having left."""
    for agent in dead:
        update_state(agent, LEFT)
    fleet.update_members(propagation_seconds=PROPAGATION_SECONDS)


def restart_zone(fleet: Fleet, zone: str) -> None:
    """Restart the agents of an availability zone, with cold upstreams."""
    for agent in fleet.in_zone(zone):
        update_state(agent, SERVING)
        restart(fleet, agent)
    fleet.update_members(propagation_seconds=PROPAGATION_SECONDS)


def hide_members(fleet: Fleet) -> None:
    """Hide two members from every second balancer permanently."""
    members = fleet.members
    for balancer in fleet.balancers[::2]:
        balancer.update_members(members[:-2])


def report_constant_load(
    fleet: Fleet, agent: Agent, *, upstream_load: float
) -> None:
    """Report the same upstream load, from 0 to 1, each second."""
    agent_load = agent.load(fleet.now).connections
    agent.capacity.record_hint(
        upstream_load=upstream_load, agent_load=agent_load, at=fleet.now
    )
    fleet.call_later(
        1,
        partial(
            report_constant_load, fleet, agent, upstream_load=upstream_load
        ),
    )
