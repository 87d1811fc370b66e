"""Simulate the assignment of flows by balancers and agents."""

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
    """Define the size of a fleet and its flows.

    ``zones`` has one letter per agent; ``flows`` is the number of flows per
    unit of weight.
    """

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
        """Return the arrival rate that keeps the number of flows constant."""
        return self.flows * sum(self.weights) / self.flow_seconds


class Policy:
    """Define the selection policy of the agents and their load reports.

    ``declines`` is whether an agent may decline a flow forwarded to it.
    """

    __slots__ = ('declines', 'report_seconds', 'name')

    def __init__(
        self, *, name: str, report_seconds: float = 1, declines: bool = False
    ) -> None:
        self.name = name
        self.report_seconds = report_seconds
        self.declines = declines


class Agent:
    """Hold the state of one simulated agent.

    The load table, failure detector, report limiter and usable capacity are
    those of bluebellfold.agents. ``capacity`` follows the loads that the
    upstream reports, which a fault may falsify; ``actual_capacity`` does not.
    """

    def __init__(self, *, member: Member, report_seconds: float) -> None:
        self.member = member
        self.flows = 0
        self.loads = LoadTable()
        self.failure_detector = FailureDetector()
        self.limiter = ReportLimiter(interval_seconds=report_seconds)
        self.capacity = UsableCapacity(cold_at=None)
        self.actual_capacity = UsableCapacity(cold_at=None)
        self.peers: tuple[Member, ...] = ()
        self.report_delay_seconds = 0.002
        self.reported_fraction = 1.0
        self.alive = True

    def load(self, now: float) -> Load:
        """Return the agent's exact load."""
        return Load(
            endpoint=self.member.endpoint,
            slots=0,
            connections=self.flows / CONNECTIONS,
            flows=self.flows,
            seen_at=now,
            usable=self.capacity.usable(now),
        )

    def reported_load(self, now: float) -> Load:
        """Return the load that the agent reports to its peers."""
        load = self.load(now)
        return load.replace(flows=int(self.flows * self.reported_fraction))

    def selection_context(self, now: float) -> SelectionContext:
        """Return what the agent passes to select_agent."""
        self.loads.update(self.load(now))
        return SelectionContext(
            own_member=self.member,
            peers=self.peers,
            loads=self.loads,
            suspected=self.failure_detector.suspected(now),
        )


class Balancer:
    """Hold one simulated balancer's view of the membership."""

    def __init__(self) -> None:
        self.failure_detector = FailureDetector()
        self.ranking = Ranking(())

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Replace the list of members."""
        self.failure_detector.update_members(members)
        self.ranking = Ranking(members)


class Fleet(Timeline):
    """Simulate flows and load reports of a fleet."""

    def __init__(self, *, shape: Shape, policy: Policy, seed: int) -> None:
        super().__init__()
        self.shape = shape
        self.policy = policy
        self.random = random.Random(seed)
        self.offered = 0
        self.arrived = 0
        self.declined = 0
        self.agents: dict[Endpoint, Agent] = {}
        self.balancers = tuple(Balancer() for _ in range(BALANCERS))
        for number, zone in enumerate(shape.zones):
            self._add_agent(number, zone)
        self.update_members()
        self._open_initial_flows()
        self.call_later(0, self._schedule_arrival)

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the current member rows of all agents."""
        return tuple(agent.member for agent in self.agents.values())

    def any_agent(self) -> Agent:
        """Return the first agent."""
        return next(iter(self.agents.values()))

    def in_zone(self, zone: str) -> tuple[Agent, ...]:
        """Return the agents of an availability zone."""
        return tuple(
            agent for agent in self.agents.values() if agent.member.zone == zone
        )

    def update_members(self, *, propagation_seconds: float = 0) -> None:
        """Update the members at all agents now, and at the balancers in turn.

        The balancers follow at intervals within ``propagation_seconds``.
        """
        members = self.members
        for agent in self.agents.values():
            agent.peers = choose_peers(agent.member.endpoint, members)
            agent.failure_detector.update_members(members)
            agent.limiter.reset()
        for number, balancer in enumerate(self.balancers):
            delay = propagation_seconds * number / BALANCERS
            self.call_later(delay, partial(balancer.update_members, members))

    def arrive(self) -> None:
        """Send the first flight of a new flow to a random balancer."""
        flow_key = self.random.randbytes(8)
        balancer = self.random.choice(self.balancers)
        suspected = balancer.failure_detector.suspected(self.now)
        ranked = balancer.ranking.rank(flow_key, 1, suspected)
        if not ranked:
            self.call_later(RETRY_SECONDS, self.arrive)
            return
        endpoint = ranked[0].endpoint
        primary = self.agents[endpoint]
        balancer.failure_detector.record_sent(endpoint, self.now)
        if not primary.alive:
            self.call_later(RETRY_SECONDS, self.arrive)
            return
        balancer.failure_detector.record_received(endpoint, self.now)
        self.arrived += 1
        self._assign(primary, flow_key)

    def report_load(self, agent: Agent) -> None:
        """Report the agent's load to its peers if due; repeat each tick."""
        if not agent.alive:
            return
        self.call_later(
            min(TICK_SECONDS, self.policy.report_seconds),
            partial(self.report_load, agent),
        )
        reported = agent.reported_load(self.now)
        if not agent.limiter.due(reported, self.now):
            return
        for peer in agent.peers:
            receiver = self.agents[peer.endpoint]
            received = reported.replace(
                seen_at=self.now + agent.report_delay_seconds
            )
            self.call_later(
                agent.report_delay_seconds,
                partial(receiver.loads.update, received),
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
        self.call_later(
            self.random.random() * self.policy.report_seconds,
            partial(self.report_load, agent),
        )

    def _open_initial_flows(self) -> None:
        for agent in self.agents.values():
            flows = round(self.shape.flows * agent.member.weight)
            for _ in range(flows):
                self._open_flow(agent)

    def _schedule_arrival(self) -> None:
        gap = self.random.expovariate(self.shape.arrivals_per_second)
        self.call_later(gap, self._schedule_arrival)
        self.arrive()

    def _assign(self, primary: Agent, flow_key: bytes) -> None:
        context = primary.selection_context(self.now)
        selected = self._select(context, flow_key)
        if selected is NO_CANDIDATE:
            self.call_later(RETRY_SECONDS, self.arrive)
            return
        target = self.agents[selected.endpoint]
        primary.loads.count_assignment(selected.endpoint)
        if target is primary:
            self._open_flow(primary)
            return
        primary.failure_detector.record_sent(selected.endpoint, self.now)
        if not target.alive:
            self.call_later(RETRY_SECONDS, self.arrive)
            return
        primary.failure_detector.record_received(selected.endpoint, self.now)
        self._open_flow(self._offer(primary, target, context))

    def _select(self, context: SelectionContext, flow_key: bytes) -> Member:
        policy_name = self.policy.name
        if policy_name == FULL_KNOWLEDGE:
            context = self._full_context(context.own_member)
            policy_name = 'least-of-n'
        return select_agent(context, flow_key, self.now, policy=policy_name)

    def _full_context(self, own_member: Member) -> SelectionContext:
        alive = [one for one in self.agents.values() if one.alive]
        loads = LoadTable()
        for agent in alive:
            loads.update(agent.load(self.now))
        others = tuple(
            one.member for one in alive if one.member is not own_member
        )
        return SelectionContext(
            own_member=own_member, peers=others, loads=loads
        )

    def _offer(
        self, primary: Agent, target: Agent, context: SelectionContext
    ) -> Agent:
        self.offered += 1
        if not self.policy.declines:
            return target
        offered_fill = context.own_fill(self.now)
        accepted = target.selection_context(self.now).accepts(
            offered_fill, self.now
        )
        # The reply contains the current load of the replying agent.
        primary.loads.update(target.reported_load(self.now))
        if accepted:
            primary.loads.count_assignment(target.member.endpoint)
            return target
        self.declined += 1
        return primary

    def _open_flow(self, agent: Agent) -> None:
        agent.flows += 1
        incarnation = agent.member.incarnation
        seconds = self.random.expovariate(1 / self.shape.flow_seconds)
        endpoint = agent.member.endpoint
        self.call_later(seconds, partial(self._end_flow, endpoint, incarnation))

    def _end_flow(self, endpoint: Endpoint, incarnation: int) -> None:
        agent = self.agents[endpoint]
        if agent.alive and agent.member.incarnation == incarnation:
            agent.flows -= 1
