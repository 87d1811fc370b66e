"""Replay the return of a whole zone of cold upstreams under full load."""

import heapq

from bluebellfold.core import ManualClock, client_host
from bluebellfold.relay.agents import (
    AgentEntry,
    ForwardedPacket,
    encode_message,
)
from bluebellfold.relay.tests.harness import (
    COUNTER,
    Agent,
    Balancer,
    encode_and_decode,
    route_to,
    service_of,
    table_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    FINISH,
    OPEN,
    client_packet,
    opening_packet,
    upstream_packet,
)

BALANCERS = 6
ZONES = 'abc'
COLD_ZONE = 'c'
UPSTREAMS_PER_ZONE = 4
SLOTS = 2
WORK_SECONDS = 0.04
# 70% of what the two other zones can serve: 8 upstreams with 50 requests/s.
FLOWS_PER_SECOND = 280
RATE = 5
OVERSHOOT = 1.5
SLACK = 5
STEP_SECONDS = 0.005
LATENCY_SECONDS = 0.0005
# No flows are opened until the balancers know the load of all agents.
FIRST_REPORTS_SECONDS = 0.1
ANNOUNCEMENT_STEPS = 100
RUN_SECONDS = 5
WARMUP_SECONDS = 4
# Clients wait for 0.2 s until their first retransmission.
AT_ONCE_SECONDS = 0.05
MAX_LATE_SHARE = 0.01


class Upstream:
    """Serve requests in order beside an agent."""

    def __init__(self, *, address, zone, clock):
        self.address = address
        self.zone = zone
        self.clock = clock
        self.opened_at = []
        self.started_at = clock.now()
        self.free_at = [clock.now()] * SLOTS  # noqa: WPS435
        self.responses = []
        self.start_agent()

    @property
    def is_cold(self):
        return self.zone == COLD_ZONE

    @property
    def opened_while_cold(self):
        until = self.started_at + WARMUP_SECONDS
        return [at for at in self.opened_at if at < until]

    def start_agent(self):
        self.agent = Agent(
            announced=False,
            clock=self.clock,
            zone=self.zone,
            slack=SLACK,
            overshoot=OVERSHOOT,
        )

    def announce(self, sequence):
        left = self.started_at + WARMUP_SECONDS - self.clock.now()
        self.agent.announce(
            sequence=sequence,
            slots=SLOTS,
            warmup_seconds=max(0, left) if self.is_cold else 0,
        )

    def serve(self, balancer, packet):
        """Answer an opening packet, and the request that follows it."""
        now = self.clock.now()
        self.opened_at.append(now)
        client = client_of(packet)
        self.agent.receive_upstream_packet(
            upstream_packet(client=client, flags=OPEN | ACKNOWLEDGE)
        )
        request = client_packet(
            source=client,
            flags=ACKNOWLEDGE,
            sequence=1,
            acknowledged=1,
            payload=b'GET',
        )
        self.agent.receive_message(balancer, ForwardedPacket(packet=request))
        done_at = max(now, heapq.heappop(self.free_at)) + WORK_SECONDS
        heapq.heappush(self.free_at, done_at)
        heapq.heappush(self.responses, (done_at, client))

    def step(self):
        now = self.clock.now()
        while self.responses and self.responses[0][0] <= now:
            _, client = heapq.heappop(self.responses)
            response = upstream_packet(
                client=client,
                flags=ACKNOWLEDGE | FINISH,
                sequence=1,
                payload=b'OK',
            )
            self.agent.receive_upstream_packet(response)
        self.agent.relay.tick(now)


class Replay:
    """Open flows at all balancers while one zone is cold."""

    def __init__(self, *, rate):
        self.clock = ManualClock(start=100)
        self.started_at = self.clock.now()
        self.opened_at = {}
        self.waited = {}
        self.upstreams = {}
        for number in range(UPSTREAMS_PER_ZONE * len(ZONES)):
            address = (f'10.0.0.{number + 1}', 8172)
            self.upstreams[address] = Upstream(
                address=address,
                zone=ZONES[number % len(ZONES)],
                clock=self.clock,
            )
        entries = [
            AgentEntry(address=address, service=COUNTER, zone=upstream.zone)
            for address, upstream in self.upstreams.items()
        ]
        routes = table_of(route_to(), services=(service_of(rate),))
        self.balancers = {}
        for index in range(BALANCERS):
            host = f'10.1.0.{index + 1}'
            self.balancers[host, 7720] = Balancer(
                agents=entries,
                routes=routes,
                clock=self.clock,
                identity=host,
                zone=ZONES[index % len(ZONES)],
            )

    @property
    def cold(self):
        return [each for each in self.upstreams.values() if each.is_cold]

    def run(self, *, restart_agents_at_step=None):
        for step in range(round(RUN_SECONDS / STEP_SECONDS)):
            if step % ANNOUNCEMENT_STEPS == 0:
                for upstream in self.upstreams.values():
                    upstream.announce(step + 1)
            if step == restart_agents_at_step:
                for restarted in self.cold:
                    restarted.start_agent()
            self.open_flows()
            self.step()
        return self

    def open_flows(self):
        elapsed = self.clock.now() - self.started_at
        due = (elapsed - FIRST_REPORTS_SECONDS) * FLOWS_PER_SECOND
        while len(self.opened_at) < due:
            self.open_flow(len(self.opened_at))

    def open_flow(self, flow):
        packet = opening_packet(client=('100.64.4.1', flow + 1))
        self.opened_at[packet.flow] = self.clock.now()
        balancers = list(self.balancers.values())
        balancers[flow % BALANCERS].receive_packet(packet)

    def step(self):
        self.clock.advance(STEP_SECONDS)
        for balancer in self.balancers.values():
            balancer.relay.tick(self.clock.now())
        for upstream in self.upstreams.values():
            upstream.step()
        self.exchange()

    def exchange(self):
        """Deliver messages until none is left."""
        while any(each.transport.sent for each in self.balancers.values()):
            for source, balancer in self.balancers.items():
                sent, balancer.transport.sent = balancer.transport.sent, []
                for target, message in sent:
                    self.deliver(source, self.upstreams[target], message)
            self.clock.advance(LATENCY_SECONDS)
            for address, upstream in self.upstreams.items():
                transport = upstream.agent.transport
                replies, transport.sent = transport.sent, []
                for receiver, reply in replies:
                    self.balancers[receiver].receive_message(
                        address, encode_and_decode(reply)
                    )

    def deliver(self, source, upstream, message):
        assert encode_message(message)
        transport = upstream.agent.transport
        upstream.agent.receive_message(source, message)
        accepted, transport.delivered = transport.delivered, []
        for packet in accepted:
            opened_at = self.opened_at[packet.flow]
            waited = self.clock.now() - opened_at
            self.waited.setdefault(packet.flow, waited)
            upstream.serve(source, packet)
        # The requests that followed.
        transport.delivered.clear()

    def most_in_a_second(self):
        """Return the most flows that a cold upstream got in any second."""
        return max(
            sum(start <= at < start + 1 for at in upstream.opened_while_cold)
            for upstream in self.cold
            for start in upstream.opened_while_cold
        )

    def late_flows(self):
        """Return how many flows no upstream accepted at once."""
        prompt = [
            waited
            for waited in self.waited.values()
            if waited <= AT_ONCE_SECONDS
        ]
        return len(self.opened_at) - len(prompt)


def client_of(packet):
    return (client_host(packet.flow), int.from_bytes(packet.flow[6:8]))


def test_cold_zone_stays_within_the_bound_under_full_load():
    replay = Replay(rate=RATE).run()
    assert replay.most_in_a_second() <= RATE * OVERSHOOT + SLACK
    assert replay.late_flows() <= MAX_LATE_SHARE * len(replay.opened_at)


def test_cold_upstreams_use_their_rate():
    # The limit must not keep flows from cold upstreams beyond the rate.
    replay = Replay(rate=RATE).run()
    for upstream in replay.cold:
        seconds = WARMUP_SECONDS - 1
        assert len(upstream.opened_while_cold) >= 0.8 * RATE * seconds


def test_bound_holds_while_the_agents_of_cold_upstreams_restart():
    replay = Replay(rate=RATE).run(restart_agents_at_step=300)
    assert replay.most_in_a_second() <= RATE * OVERSHOOT + SLACK
    assert replay.late_flows() <= MAX_LATE_SHARE * len(replay.opened_at)


def test_replay_exceeds_the_bound_without_the_limit():
    replay = Replay(rate=0).run()
    assert replay.most_in_a_second() > RATE * OVERSHOOT + SLACK
