"""Run the decisions of balancers and agents without sockets, for tests."""

import logging
import random

from bluebellfold.core import (
    NO_ROUTES,
    Announcement,
    ManualClock,
    Route,
    RoutedService,
    RoutingTable,
    Share,
    StorePosition,
    pack_address,
)
from bluebellfold.platform import decode_client_packet
from bluebellfold.relay.agents import (
    NO_EVACUATION,
    READY,
    AgentEntry,
    AgentLoad,
    Evacuation,
    LoadReport,
    RequestStats,
    Subscribe,
    Versions,
    decode_message,
    encode_message,
)
from bluebellfold.relay.callers.home_regions import NO_REGIONS
from bluebellfold.relay.callers.relay import ClientRelay
from bluebellfold.relay.collectors import Journal
from bluebellfold.relay.upstreams.agent_start import AgentStart
from bluebellfold.relay.upstreams.health import UpstreamHealth
from bluebellfold.relay.upstreams.relay import UpstreamRelay
from bluebellfold.relay.upstreams.warmup import WarmupLimit
from bluebellfold.standins.packets import SERVICE

COUNTER = 'counter'
ZONE = 'a'
ZONES = ('a', 'b', 'c')
UPSTREAM_START_MS = 1_000_000
ANNOUNCEMENT_SECONDS = 1.0
TICK_SECONDS = 0.05


def route_to(service=COUNTER, *, address=SERVICE, priority=1, **changes):
    return Route(
        name=f'to-{service}',
        address=pack_address(*address),
        shares=(Share(service=service, weight=1),),
        repeatable=True,
        priority=priority,
        timeout_seconds=3,
        **changes,
    )


def table_of(*routes, version=1, idle_seconds=15, services=()):
    return RoutingTable(
        version=version,
        routes=routes,
        idle_seconds=idle_seconds,
        services=services,
    )


def service_of(flows_per_second, *, name=COUNTER):
    return RoutedService(name=name, warmup_flows_per_second=flows_per_second)


def announcement_of(
    *, born=UPSTREAM_START_MS, sequence=1, name='i-1', **changes
):
    fields = {
        'name': name,
        'service': COUNTER,
        'slots': 2,
        'draining': False,
        'warmup_seconds': 0,
        'born': born,
        'sequence': sequence,
    }
    return Announcement(**{**fields, **changes})


def fleet_of(count, *, zones=ZONES):
    """Return the entries of agents of one service, spread over zones."""
    return [
        AgentEntry(
            address=(f'10.{number % 200}.0.{number // 200 + 1}', 8172),
            service=COUNTER,
            zone=zones[number % len(zones)],
        )
        for number in range(count)
    ]


def position_of(revision, *, era=1):
    return StorePosition(era=era, revision=revision)


def evacuation_of(*, evacuated=True, revision=9, era=1, is_certain=False):
    return Evacuation(
        evacuated=evacuated,
        position=position_of(revision, era=era),
        is_certain=is_certain,
    )


def versions_of(*, configuration=1, agents=0, era=1, evacuation=NO_EVACUATION):
    return Versions(
        configuration=configuration,
        agents=position_of(agents, era=era),
        evacuation=evacuation,
    )


def request_stats_of(
    *, work_seconds: float = 0, failure_share: float = 0, **changes
):
    return RequestStats(
        work_seconds=work_seconds, failure_share=failure_share, **changes
    )


def report_of(*, sequence=1, incarnation=1, followers=0, **changes):
    fields = {
        'incarnation': incarnation,
        'sequence': sequence,
        'state': READY,
        'service': COUNTER,
        'zone': ZONE,
        'slots': 2,
        'in_flight': 0,
        'flows': 0,
        'warmup': None,
        'request_stats': request_stats_of(),
        'offers_seen': 0,
        'versions': versions_of(),
    }
    load = AgentLoad(**{**fields, **changes})
    return LoadReport(load=load, followers=followers)


def subscribe_of(**changes):
    fields = {
        'idle_seconds': 15,
        'offers_sent': 0,
        'versions': versions_of(),
    }
    return Subscribe(**{**fields, **changes})


def journal_of(clock):
    return Journal(logger=logging.getLogger('bluebellfold.test'), clock=clock)


class ClientTransport:
    """Record what a balancer sends."""

    def __init__(self):
        self.sent = []
        self.resets = []

    def send_to_agent(self, address, message):
        self.sent.append((address, message))

    def reset_client(self, packet):
        self.resets.append(packet)

    def pop_messages(self, message_type):
        """Remove and return the messages of a type, with their addresses."""
        popped = [
            sent for sent in self.sent if isinstance(sent[1], message_type)
        ]
        self.sent = [sent for sent in self.sent if sent not in popped]
        return popped


class UpstreamTransport:
    """Record what an agent sends."""

    def __init__(self):
        self.sent = []
        self.delivered = []
        self.to_clients = []
        self.resets = []
        self.verifications = 0

    def verify_registration(self):
        self.verifications += 1

    def send_to_balancer(self, address, message):
        self.sent.append((address, message))

    def send_to_upstream(self, packet, balancer):
        self.delivered.append(packet)

    def send_to_client(self, packet):
        self.to_clients.append(packet)

    def reset_client(self, packet):
        self.resets.append(packet)

    def request_id(self, packet):
        return 'r-1'

    def request_bytes(self, packet):
        return packet.payload_bytes

    def status(self, packet):
        return 200

    def pop_messages(self, message_type):
        popped = [
            sent for sent in self.sent if isinstance(sent[1], message_type)
        ]
        self.sent = [sent for sent in self.sent if sent not in popped]
        return [message for _, message in popped]


class Balancer:
    """Hold the decisions of a balancer, a recording transport and a clock."""

    def __init__(
        self,
        *,
        agents=(),
        routes=None,
        fresh=True,
        clock=None,
        identity='10.1.0.1:7720',
        zone=ZONE,
        regions=NO_REGIONS,
    ):
        self.clock = clock or ManualClock(start=100)
        self.transport = ClientTransport()
        self.relay = ClientRelay(
            identity=identity,
            zone=zone,
            regions=regions,
            transport=self.transport,
            journal=journal_of(self.clock),
            draw=random.Random(7).random,
        )
        self.relay.set_routes_fresh(fresh=fresh)
        if routes is None:
            routes = table_of(route_to())
        if routes is not NO_ROUTES:
            self.relay.update_routes(routes, now=self.now)
        if agents is not None:
            self.list_agents(agents)

    @property
    def now(self):
        return self.clock.now()

    def list_agents(self, agents, *, revision=0, as_of=0, era=1, **fields):
        """Update the list of agents, given by their addresses or entries.

        Without ``as_of`` it isn't known as of when the list was read.
        """
        entries = [
            agent
            if isinstance(agent, AgentEntry)
            else AgentEntry(address=agent)
            for agent in agents
        ]
        self.relay.update_agents(
            entries,
            self.now,
            position=position_of(revision, era=era),
            as_of=position_of(as_of, era=era) if as_of else None,
            **fields,
        )

    def receive_message(self, address, message):
        self.relay.handle_message(message, address, self.now)

    def receive_packet(self, packet):
        self.relay.handle_packet(packet, self.now)

    def advance(self, seconds):
        """Advance the clock in ticks, as in a running process."""
        until = self.now + seconds
        while self.now < until:
            self.clock.advance(min(TICK_SECONDS, until - self.now))
            self.relay.tick(self.now)


class Agent:
    """Hold the decisions of an agent, a recording transport and a clock."""

    def __init__(
        self,
        *,
        announced=True,
        clock=None,
        agent_start=None,
        zone=ZONE,
        slack=None,
        overshoot=None,
    ):
        self.clock = clock or ManualClock(start=100)
        self.transport = UpstreamTransport()
        self.relay = UpstreamRelay(
            zone=zone,
            incarnation=round(self.now * 1000),
            agent_start=agent_start
            or AgentStart(
                # By default the upstream started before its agent.
                created_ms=UPSTREAM_START_MS + 1,
                ready_ms=UPSTREAM_START_MS + 1,
                ready_at=self.now,
            ),
            health=UpstreamHealth(
                service=COUNTER,
                announcement_seconds=ANNOUNCEMENT_SECONDS,
                now=self.now,
            ),
            warmup=WarmupLimit(slack=slack, overshoot=overshoot, now=self.now),
            transport=self.transport,
            journal=journal_of(self.clock),
            now=self.now,
        )
        if announced:
            self.announce()

    @property
    def now(self):
        return self.clock.now()

    def announce(self, **changes):
        return self.relay.apply_announcement(
            announcement_of(**changes), self.now
        )

    def receive_message(self, address, message):
        self.relay.handle_message(message, address, self.now)

    def receive_upstream_packet(self, packet):
        self.relay.handle_upstream_packet(packet, self.now)

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.relay.tick(self.now)


def single(items):
    """Return the single item of a collection."""
    assert len(items) == 1
    return items[0]


def encode_and_decode(message):
    """Encode a message, and return what its receiver decodes."""
    return decode_message(
        encode_message(message),
        read_packet=decode_client_packet,
    )
