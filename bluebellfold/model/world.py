"""Build a simulated site and check invariants while it runs."""

import itertools
import logging
import random
import zlib
from functools import partial

from bluebellfold.core import (
    Record,
    Route,
    RoutingTable,
    Share,
    pack_address,
    read_only,
)
from bluebellfold.model.clients import (
    FIRST_PORT,
    PORT_COUNT,
    ModelFlow,
    ModelRequest,
)
from bluebellfold.model.links import Links
from bluebellfold.model.machines import AgentMachine, BalancerMachine
from bluebellfold.model.recorder import OutcomeRecorder
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import payload_of
from bluebellfold.platform import decode_client_packet, decode_packet
from bluebellfold.relay.agents import DEFAULT_POLICY, AgentEntry
from bluebellfold.relay.collectors import Journal
from bluebellfold.standins.packets import SERVICE

ZONES = ('a', 'b', 'c')
SERVICE_NAME = 'counter'
IDLE_SECONDS = 15.0
# The network takes a balancer out of rotation after two missed health checks.
FAILURE_DETECTION_SECONDS = 1.0
REQUESTS_PER_FLOW = 3
# Resets of an upstream's flows are allowed for this long after a disturbance of
# the upstream or its agent.
SETTLE_SECONDS = 3.0

# Machines of the model don't log: a run is deterministic, and the recorder
# reports the violations to investigate.
_log = logging.getLogger(__name__)
_log.addHandler(logging.NullHandler())
_log.propagate = False


class SiteParameters(Record):
    """State the size of a site, its load, its links and the policy.

    ``load_share`` is a share of the total capacity of the upstreams.
    """

    __slots__ = (
        '_agents',
        '_balancers',
        '_doubled_share',
        '_load_share',
        '_lost_share',
        '_policy',
        '_slots',
        '_work_seconds',
    )

    agents: int = read_only('_agents')
    balancers: int = read_only('_balancers')
    doubled_share: float = read_only('_doubled_share')
    load_share: float = read_only('_load_share')
    lost_share: float = read_only('_lost_share')
    policy: str = read_only('_policy')
    slots: int = read_only('_slots')
    work_seconds: float = read_only('_work_seconds')

    def __init__(
        self,
        *,
        balancers: int = 6,
        agents: int = 12,
        slots: int = 2,
        work_seconds: float = 0.05,
        load_share: float = 0.6,
        lost_share: float = 0,
        doubled_share: float = 0,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        self._balancers = balancers
        self._agents = agents
        self._slots = slots
        self._work_seconds = work_seconds
        self._load_share = load_share
        self._lost_share = lost_share
        self._doubled_share = doubled_share
        self._policy = policy

    @property
    def requests_per_second(self) -> float:
        """Return the rate at which clients issue requests."""
        return self.agents * self.slots / self.work_seconds * self.load_share


class ModelSite:
    """Hold the machines, the clients and the recorder of one run."""

    __slots__ = (
        '_flows',
        '_machines',
        '_ports',
        '_request_numbers',
        '_sent_packets',
        '_site_parameters',
        'agents',
        'balancers',
        'disturbed_at',
        'journal',
        'links',
        'load_factor',
        'randomness',
        'recorder',
        'rotation',
        'routes',
        'timeline',
    )

    def __init__(self, *, site_parameters: SiteParameters, seed: int) -> None:
        self.timeline = Timeline()
        self.randomness = random.Random(seed)
        self.recorder = OutcomeRecorder()
        self.journal = Journal(logger=_log, clock=self.timeline)
        self.links = Links(
            timeline=self.timeline,
            randomness=self.randomness,
            lost_share=site_parameters.lost_share,
            doubled_share=site_parameters.doubled_share,
        )
        self.routes = RoutingTable(
            version=1, routes=(_route(),), idle_seconds=IDLE_SECONDS
        )
        self.load_factor = float(1)
        self.disturbed_at: dict[str, float] = {}
        self._site_parameters = site_parameters
        self._request_numbers = itertools.count(1)
        self._ports = itertools.count(FIRST_PORT)
        self._flows: dict[int, ModelFlow] = {}
        self._sent_packets: set[bytes] = set()
        self.agents = [
            AgentMachine(
                service=SERVICE_NAME,
                slots=site_parameters.slots,
                work_seconds=site_parameters.work_seconds,
                **self._machine_arguments('10.0.0', index),
            )
            for index in range(site_parameters.agents)
        ]
        self.balancers = [
            BalancerMachine(
                policy=site_parameters.policy,
                **self._machine_arguments('10.1.0', index),
            )
            for index in range(site_parameters.balancers)
        ]
        self._machines = {
            machine.host: machine for machine in self.agents + self.balancers
        }
        self.rotation = list(self.balancers)

    def run(self, seconds: float) -> None:
        """Run the site under load and check the invariants.

        Clients open flows for the given number of simulated seconds.
        """
        for agent in self.agents:
            agent.upstream.start(warm=True)
            agent.start(booted=True)
        for balancer in self.balancers:
            balancer.start(booted=True)
        self.timeline.call_later(
            1, partial(self._generate_arrivals, 1 + seconds)
        )
        self.timeline.run_until(1 + seconds + SETTLE_SECONDS)
        self._check_executions()

    def new_request(self) -> ModelRequest:
        """Return a new request."""
        now = self.timeline.now()
        self.recorder.record_request(now)
        return ModelRequest(number=next(self._request_numbers), issued_at=now)

    def open_flow(self, flow: ModelFlow) -> None:
        """Open a flow and deliver its packets from now on."""
        self._flows[flow.port] = flow
        flow.open()

    def allocate_port(self) -> int:
        """Return a client port for a new flow."""
        return FIRST_PORT + next(self._ports) % PORT_COUNT

    def balancer_at(self, host: str) -> BalancerMachine:
        """Return the balancer at an address."""
        return self._machines[host]

    def agent_at(self, host: str) -> AgentMachine:
        """Return the agent at an address."""
        return self._machines[host]

    def agent_entries(self) -> list[AgentEntry]:
        """Return the list of agents."""
        return [
            AgentEntry(
                address=agent.address, service=agent.service, zone=agent.zone
            )
            for agent in self.agents
        ]

    def send_to_balancer(self, raw: bytes, flow: ModelFlow) -> None:
        """Send a client's packet to the balancer that its flow hashes to."""
        self._sent_packets.add(raw)
        if not self.rotation:
            return
        position = zlib.crc32(flow.port.to_bytes(2)) % len(self.rotation)
        balancer = self.rotation[position]
        self.links.send(
            partial(balancer.handle_client_packet, raw), same_zone=True
        )

    def deliver_to_client(self, raw: bytes, *, reset_by: str = '') -> None:
        """Deliver a packet to its client and check resets by the relay."""
        packet = decode_packet(raw, from_client=False)
        flow = self._flows.get(int.from_bytes(packet.flow[6:8]))
        if flow is None:
            return
        if packet.resets:
            self._check_reset(packet.flow, reset_by)
        self.links.send(partial(flow.handle_packet, packet), same_zone=True)

    def schedule_removal(self, balancer: BalancerMachine) -> None:
        """Remove a stopped balancer from rotation after the detection time."""
        self.timeline.call_later(
            FAILURE_DETECTION_SECONDS, partial(self._remove_stopped, balancer)
        )

    def record_disturbance(self, agent: AgentMachine) -> None:
        """Record that an agent or its upstream was disturbed."""
        self.disturbed_at[agent.host] = self.timeline.now()

    def _remove_stopped(self, balancer: BalancerMachine) -> None:
        if not balancer.is_running and balancer in self.rotation:
            self.rotation.remove(balancer)

    def _generate_arrivals(self, end: float) -> None:
        if self.timeline.now() >= end:
            return
        flow = ModelFlow(
            environment=self,
            request=self.new_request(),
            request_count=REQUESTS_PER_FLOW,
        )
        self.open_flow(flow)
        rate = self._site_parameters.requests_per_second / REQUESTS_PER_FLOW
        interval = self.randomness.expovariate(rate * self.load_factor)
        self.timeline.call_later(
            interval, partial(self._generate_arrivals, end)
        )

    def _machine_arguments(self, network: str, index: int) -> dict[str, object]:
        number = index + 1
        return {
            'host': f'{network}.{number}',
            'zone': ZONES[index % len(ZONES)],
            'world': self,
        }

    def _check_reset(self, flow: bytes, reset_by: str) -> None:
        now = self.timeline.now()
        for agent in self.agents:
            is_settled = (
                now - self.disturbed_at.get(agent.host, 0) > SETTLE_SECONDS
            )
            if is_settled and flow in agent.upstream.open_flows:
                self.recorder.record_violation(
                    'FLOW', now, f'reset by {reset_by}'
                )

    def _check_executions(self) -> None:
        """Check that each request ran at most once and as it was sent."""
        now = self.timeline.now()
        executed: set[bytes] = set()
        # The first 4 bytes of a packet are the tag, which the agent sets.
        sent = {raw[4:] for raw in self._sent_packets}
        for agent in self.agents:
            for _, raw in agent.upstream.executions:
                packet = decode_client_packet(raw)
                attempt_id = payload_of(packet)
                if attempt_id in executed:
                    self.recorder.record_violation('UNASKED', now, 'ran twice')
                if raw[4:] not in sent:
                    self.recorder.record_violation(
                        'UNASKED', now, 'ran with other bytes than were sent'
                    )
                executed.add(attempt_id)


def _route() -> Route:
    return Route(
        name='counter',
        address=pack_address(*SERVICE),
        shares=(Share(service=SERVICE_NAME, weight=1),),
        repeatable=True,
        priority=1,
        timeout_seconds=3,
    )
