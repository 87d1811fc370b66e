"""Simulate balancers and agents that decide where flows go, and no more."""

import random
from functools import partial

from benchmarks.timeline import Timeline
from bluebellfold.agents import (
    NO_CANDIDATE,
    FailureDetector,
    LoadTable,
    Ranking,
    ReportLimiter,
    SelectionContext,
    UsableCapacity,
    choose_peers,
    select_agent,
)
from bluebellfold.core import SERVING, Endpoint, Load, Member

FULL_KNOWLEDGE = 'full-knowledge'
CONNECTIONS = 2000
RETRY_SECONDS = 0.5
TICK_SECONDS = 0.25
BALANCERS = 4


class Shape:
    """State the size of a fleet and how its flows come and go."""

    __slots__ = ('flow_seconds', 'flows', 'weights', 'zones')

    def __init__(
        self,
        *,
        zones: str,
        weights: tuple[float, ...] = (),
        flows: int = 140,
        flow_seconds: float = 60,
    ) -> None:
        self.zones = zones
        self.weights = weights or (1,) * len(zones)
        self.flows = flows
        self.flow_seconds = flow_seconds

    @property
    def arrivals_per_second(self) -> float:
        """Return the rate that holds the number of flows."""
        return self.flows * sum(self.weights) / self.flow_seconds


class Policy:
    """State how agents place flows and tell their loads."""

    __slots__ = ('declines', 'report_seconds', 'rule')

    def __init__(
        self, *, rule: str, report_seconds: float = 1, declines: bool = False
    ) -> None:
        self.rule = rule
        self.report_seconds = report_seconds
        self.declines = declines


class Agent:
    """Hold one simulated agent with the real decisions' state."""

    def __init__(self, *, member: Member, report_seconds: float) -> None:
        self.member = member
        self.flows = 0
        self.loads = LoadTable()
        self.liveness = FailureDetector()
        self.limiter = ReportLimiter(interval=report_seconds)
        self.capacity = UsableCapacity(cold_at=None)
        self.ramp = UsableCapacity(cold_at=None)
        self.peers: tuple[Member, ...] = ()
        self.report_delay = 0.002
        self.reported_part = 1.0
        self.alive = True

    def load(self, now: float) -> Load:
        """Return the agent's load, as it counts it itself."""
        return Load(
            endpoint=self.member.endpoint,
            slots=0,
            connections=self.flows / CONNECTIONS,
            flows=self.flows,
            seen_at=now,
            usable=self.capacity.usable(now),
        )

    def told_load(self, now: float) -> Load:
        """Return the load that the agent tells others."""
        load = self.load(now)
        return load.replace(flows=int(self.flows * self.reported_part))

    def surroundings(self, now: float) -> SelectionContext:
        """Return what the agent knows when a flow arrives."""
        self.loads.update(self.load(now))
        return SelectionContext(
            own_member=self.member,
            peers=self.peers,
            loads=self.loads,
            suspected=self.liveness.suspected(now),
        )


class Balancer:
    """Hold one simulated balancer's view of the members."""

    def __init__(self) -> None:
        self.liveness = FailureDetector()
        self.ranking = Ranking(())

    def adopt(self, members: tuple[Member, ...]) -> None:
        """Take a list of members."""
        self.liveness.update_members(members)
        self.ranking = Ranking(members)


class Fleet(Timeline):
    """Run arrivals, ends, reports and faults in simulated time."""

    def __init__(self, *, shape: Shape, policy: Policy, seed: int) -> None:
        super().__init__()
        self.shape = shape
        self.policy = policy
        self.random = random.Random(seed)
        self.handed = 0
        self.arrived = 0
        self.declined = 0
        self.agents: dict[Endpoint, Agent] = {}
        self.balancers = tuple(Balancer() for _ in range(BALANCERS))
        for number, zone in enumerate(shape.zones):
            self._add_agent(number, zone)
        self.adopt_members()
        self._fill_up()
        self.after(0, self._arrive_next)

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members as their agents announce them."""
        return tuple(agent.member for agent in self.agents.values())

    def any_agent(self) -> Agent:
        """Return one agent, always the same."""
        return next(iter(self.agents.values()))

    def in_zone(self, zone: str) -> tuple[Agent, ...]:
        """Return the agents of a zone."""
        return tuple(
            agent for agent in self.agents.values() if agent.member.zone == zone
        )

    def adopt_members(self, *, spread_seconds: float = 0) -> None:
        """Let all learn the members, the balancers one after the other."""
        members = self.members
        for agent in self.agents.values():
            agent.peers = choose_peers(agent.member.endpoint, members)
            agent.liveness.update_members(members)
            agent.limiter.reset()
        for number, balancer in enumerate(self.balancers):
            delay = spread_seconds * number / BALANCERS
            self.after(delay, partial(balancer.adopt, members))

    def arrive(self) -> None:
        """Let a caller's first flight reach some balancer."""
        flow_key = self.random.randbytes(8)
        balancer = self.random.choice(self.balancers)
        avoided = balancer.liveness.suspected(self.now)
        ranked = balancer.ranking.rank(flow_key, 1, avoided)
        if not ranked:
            self.after(RETRY_SECONDS, self.arrive)
            return
        endpoint = ranked[0].endpoint
        home = self.agents[endpoint]
        balancer.liveness.record_sent(endpoint, self.now)
        if not home.alive:
            self.after(RETRY_SECONDS, self.arrive)
            return
        balancer.liveness.record_received(endpoint, self.now)
        self.arrived += 1
        self._place(home, flow_key)

    def keep_reporting(self, agent: Agent) -> None:
        """Tell peers of the agent's load, now and from time to time."""
        if not agent.alive:
            return
        self.after(
            min(TICK_SECONDS, self.policy.report_seconds),
            partial(self.keep_reporting, agent),
        )
        told = agent.told_load(self.now)
        if not agent.limiter.due(told, self.now):
            return
        for peer in agent.peers:
            listener = self.agents[peer.endpoint]
            heard = told.replace(seen_at=self.now + agent.report_delay)
            self.after(
                agent.report_delay, partial(listener.loads.update, heard)
            )

    def _add_agent(self, number: int, zone: str) -> None:
        member = Member(
            name=f'agent-{number}',
            service=1,
            zone=zone,
            endpoint=Endpoint(host='127.0.0.1', port=7000 + number),
            control_port=9000 + number,
            weight=self.shape.weights[number],
            state=SERVING,
            incarnation=1,
            sequence=1,
        )
        agent = Agent(member=member, report_seconds=self.policy.report_seconds)
        self.agents[member.endpoint] = agent
        self.after(
            self.random.random() * self.policy.report_seconds,
            partial(self.keep_reporting, agent),
        )

    def _fill_up(self) -> None:
        for agent in self.agents.values():
            flows = round(self.shape.flows * agent.member.weight)
            for _ in range(flows):
                self._open(agent)

    def _arrive_next(self) -> None:
        gap = self.random.expovariate(self.shape.arrivals_per_second)
        self.after(gap, self._arrive_next)
        self.arrive()

    def _place(self, home: Agent, flow_key: bytes) -> None:
        surroundings = home.surroundings(self.now)
        chosen = self._choose(surroundings, flow_key)
        if chosen is NO_CANDIDATE:
            self.after(RETRY_SECONDS, self.arrive)
            return
        owner = self.agents[chosen.endpoint]
        home.loads.count_assignment(chosen.endpoint)
        if owner is home:
            self._open(home)
            return
        home.liveness.record_sent(chosen.endpoint, self.now)
        if not owner.alive:
            self.after(RETRY_SECONDS, self.arrive)
            return
        home.liveness.record_received(chosen.endpoint, self.now)
        self._open(self._offer(home, owner, surroundings))

    def _choose(
        self, surroundings: SelectionContext, flow_key: bytes
    ) -> Member:
        rule = self.policy.rule
        if rule == FULL_KNOWLEDGE:
            surroundings = self._know_all(surroundings.own_member)
            rule = 'least-of-n'
        return select_agent(surroundings, flow_key, self.now, policy=rule)

    def _know_all(self, home: Member) -> SelectionContext:
        alive = [one for one in self.agents.values() if one.alive]
        truth = LoadTable()
        for agent in alive:
            truth.update(agent.load(self.now))
        others = tuple(one.member for one in alive if one.member is not home)
        return SelectionContext(own_member=home, peers=others, loads=truth)

    def _offer(
        self, home: Agent, owner: Agent, surroundings: SelectionContext
    ) -> Agent:
        self.handed += 1
        if not self.policy.declines:
            return owner
        offered_fill = surroundings.own_fill(self.now)
        accepted = owner.surroundings(self.now).accepts(offered_fill, self.now)
        # The reply carries the load of the agent that answers.
        home.loads.update(owner.told_load(self.now))
        if accepted:
            home.loads.count_assignment(owner.member.endpoint)
            return owner
        self.declined += 1
        return home

    def _open(self, agent: Agent) -> None:
        agent.flows += 1
        incarnation = agent.member.incarnation
        seconds = self.random.expovariate(1 / self.shape.flow_seconds)
        endpoint = agent.member.endpoint
        self.after(seconds, partial(self._end, endpoint, incarnation))

    def _end(self, endpoint: Endpoint, incarnation: int) -> None:
        agent = self.agents[endpoint]
        if agent.alive and agent.member.incarnation == incarnation:
            agent.flows -= 1
