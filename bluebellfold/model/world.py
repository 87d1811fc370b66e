"""Build a site of the model, and judge what happens in it."""

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
    PORTS,
    ModelFlow,
    Wish,
)
from bluebellfold.model.ledger import Ledger
from bluebellfold.model.links import Links
from bluebellfold.model.machines import AgentMachine, BalancerMachine
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import payload_of
from bluebellfold.platform import decode_client_packet, decode_packet
from bluebellfold.relay.agents import DEFAULT_POLICY, Address
from bluebellfold.relay.collectors import Journal
from bluebellfold.standins.packets import SERVICE

ZONES = ('a', 'b', 'c')
SERVICE_NAME = 'counter'
IDLE_SECONDS = 15.0
# The fabric takes a balancer out of rotation after two missed health checks.
NOTICE_SECONDS = 1.0
REQUESTS_PER_FLOW = 3
# A flow's upstream is in touch again this long after anything happened to it.
SETTLE_SECONDS = 3.0

# Machines of the model log nothing: a run is the same each time, and its
# ledger tells what to look into.
_log = logging.getLogger(__name__)
_log.addHandler(logging.NullHandler())
_log.propagate = False


class Shape(Record):
    """State the size of a site and what its links do."""

    __slots__ = (
        '_agents',
        '_balancers',
        '_doubled_share',
        '_load_share',
        '_lost_share',
        '_rule',
        '_slots',
        '_work_seconds',
    )

    agents: int = read_only('_agents')
    balancers: int = read_only('_balancers')
    doubled_share: float = read_only('_doubled_share')
    load_share: float = read_only('_load_share')
    lost_share: float = read_only('_lost_share')
    rule: str = read_only('_rule')
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
        rule: str = DEFAULT_POLICY,
    ) -> None:
        self._balancers = balancers
        self._agents = agents
        self._slots = slots
        self._work_seconds = work_seconds
        # Of what all upstreams together can do.
        self._load_share = load_share
        self._lost_share = lost_share
        self._doubled_share = doubled_share
        self._rule = rule

    @property
    def requests_per_second(self) -> float:
        """Return how many requests clients ask for."""
        return self.agents * self.slots / self.work_seconds * self.load_share


class ModelSite:
    """Hold the machines, the clients and the ledger of one run."""

    __slots__ = (
        '_by_host',
        '_flows',
        '_numbers',
        '_ports',
        '_sent',
        '_shape',
        'agents',
        'balancers',
        'journal',
        'ledger',
        'links',
        'load_factor',
        'randomness',
        'rotation',
        'routes',
        'timeline',
        'touched',
    )

    def __init__(self, *, shape: Shape, seed: int) -> None:
        self.timeline = Timeline()
        self.randomness = random.Random(seed)
        self.ledger = Ledger()
        self.journal = Journal(logger=_log, clock=self.timeline)
        self.links = Links(
            timeline=self.timeline,
            randomness=self.randomness,
            lost_share=shape.lost_share,
            doubled_share=shape.doubled_share,
        )
        self.routes = RoutingTable(
            version=1, routes=(_route(),), idle_seconds=IDLE_SECONDS
        )
        self.load_factor = float(1)
        self.touched: dict[str, float] = {}
        self._shape = shape
        self._numbers = itertools.count(1)
        self._ports = itertools.count(FIRST_PORT)
        self._flows: dict[int, ModelFlow] = {}
        self._sent: set[bytes] = set()
        self.agents = [
            AgentMachine(
                service=SERVICE_NAME,
                slots=shape.slots,
                work_seconds=shape.work_seconds,
                **self._place('10.0.0', index),
            )
            for index in range(shape.agents)
        ]
        self.balancers = [
            BalancerMachine(rule=shape.rule, **self._place('10.1.0', index))
            for index in range(shape.balancers)
        ]
        self._by_host = {
            machine.host: machine for machine in self.agents + self.balancers
        }
        self.rotation = list(self.balancers)

    def run(self, seconds: float) -> None:
        """Start all, let clients ask for so long, and judge the end."""
        for agent in self.agents:
            agent.upstream.start(warm=True)
            agent.start(booted=True)
        for balancer in self.balancers:
            balancer.start(booted=True)
        self.timeline.after(1, partial(self._arrive, 1 + seconds))
        self.timeline.run_until(1 + seconds + SETTLE_SECONDS)
        self._judge_runs()

    def new_wish(self) -> Wish:
        """Return another thing that a client wants served."""
        now = self.timeline.now()
        self.ledger.ask(now)
        return Wish(number=next(self._numbers), asked_at=now)

    def begin(self, flow: ModelFlow) -> None:
        """Let a client open a flow."""
        self._flows[flow.port] = flow
        flow.begin()

    def next_port(self) -> int:
        """Return a port that no other flow has."""
        return FIRST_PORT + next(self._ports) % PORTS

    def balancer_at(self, host: str) -> BalancerMachine:
        """Return the balancer at an address."""
        return self._by_host[host]

    def agent_at(self, host: str) -> AgentMachine:
        """Return the agent at an address."""
        return self._by_host[host]

    def agent_addresses(self) -> list[Address]:
        """Return where agents take datagrams."""
        return [agent.address for agent in self.agents]

    def to_balancer(self, raw: bytes, flow: ModelFlow) -> None:
        """Bring a client's packet to the balancer that its flow hashes to."""
        self._sent.add(raw)
        if not self.rotation:
            return
        turn = zlib.crc32(flow.port.to_bytes(2)) % len(self.rotation)
        balancer = self.rotation[turn]
        self.links.carry(partial(balancer.take_client, raw), near=True)

    def to_client(self, raw: bytes, *, reset_by: str = '') -> None:
        """Bring a packet to its client, and judge a reset of the system."""
        packet = decode_packet(raw, from_client=False)
        flow = self._flows.get(int.from_bytes(packet.flow[6:8]))
        if flow is None:
            return
        if packet.resets:
            self._judge_reset(packet.flow, reset_by)
        self.links.carry(partial(flow.take, packet), near=True)

    def leave(self, balancer: BalancerMachine) -> None:
        """Take a balancer out of rotation once its end is noticed."""
        self.timeline.after(NOTICE_SECONDS, partial(self._note_end, balancer))

    def touch(self, agent: AgentMachine) -> None:
        """Note that something happened to an upstream."""
        self.touched[agent.host] = self.timeline.now()

    def _note_end(self, balancer: BalancerMachine) -> None:
        if not balancer.runs and balancer in self.rotation:
            self.rotation.remove(balancer)

    def _arrive(self, end: float) -> None:
        if self.timeline.now() >= end:
            return
        flow = ModelFlow(
            around=self, wish=self.new_wish(), requests=REQUESTS_PER_FLOW
        )
        self.begin(flow)
        rate = self._shape.requests_per_second / REQUESTS_PER_FLOW
        pause = self.randomness.expovariate(rate * self.load_factor)
        self.timeline.after(pause, partial(self._arrive, end))

    def _place(self, network: str, index: int) -> dict[str, object]:
        number = index + 1
        return {
            'host': f'{network}.{number}',
            'zone': ZONES[index % len(ZONES)],
            'world': self,
        }

    def _judge_reset(self, flow: bytes, reset_by: str) -> None:
        now = self.timeline.now()
        for agent in self.agents:
            calm = now - self.touched.get(agent.host, 0) > SETTLE_SECONDS
            if calm and flow in agent.upstream.open:
                self.ledger.breach('FLOW', now, f'reset by {reset_by}')

    def _judge_runs(self) -> None:
        """Find requests that ran twice, or not as they were sent."""
        now = self.timeline.now()
        ran: set[bytes] = set()
        sent = {raw[4:] for raw in self._sent}
        for agent in self.agents:
            for _, raw in agent.upstream.ran:
                packet = decode_client_packet(raw)
                wanted = payload_of(packet)
                if wanted in ran:
                    self.ledger.breach('UNASKED', now, 'ran twice')
                if raw[4:] not in sent:
                    self.ledger.breach('UNASKED', now, 'ran as it was not sent')
                ran.add(wanted)


def _route() -> Route:
    return Route(
        name='counter',
        address=pack_address(*SERVICE),
        shares=(Share(service=SERVICE_NAME, weight=1),),
        repeatable=True,
        priority=1,
        timeout_seconds=3,
    )
