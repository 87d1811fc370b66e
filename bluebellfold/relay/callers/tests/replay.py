"""Replay the load of clients against a balancer and upstreams, without I/O."""

import heapq
import itertools
import random
from collections import Counter

from bluebellfold.core import Route, Share, pack_address
from bluebellfold.relay.agents import DECLINED_FULL, Declined, Offer, Subscribe
from bluebellfold.relay.callers.queued_flow import RETRANSMIT_SECONDS
from bluebellfold.relay.tests.harness import (
    COUNTER,
    TICK_SECONDS,
    Balancer,
    report_of,
    table_of,
)
from bluebellfold.standins.packets import ACKNOWLEDGE, OPEN, client_packet

LINK_SECONDS = 0.001
REPORT_SECONDS = 0.2
GIVE_UP_SECONDS = 1.4
MAX_TRIES = 3
MAX_PER_SLOT = 4
SLOTS = 2


def route_of(port, *, priority=1, target=0.3, timeout=3):
    return Route(
        name=f'route-{port}',
        address=pack_address('198.18.0.1', port),
        shares=(Share(service=COUNTER, weight=1),),
        repeatable=True,
        priority=priority,
        timeout_seconds=timeout,
        target_seconds=target,
    )


class Upstream:
    """Serve the offered flows in turn, a slot for each."""

    def __init__(self, replay, address):
        self.replay = replay
        self.address = address
        self.is_reachable = True
        self.sequence = 0
        self.offers_seen = 0
        self.in_flight = 0
        self.slots_free_at = [float(0) for _ in range(SLOTS)]

    def report(self):
        self.sequence += 1
        message = report_of(
            sequence=self.sequence,
            slots=SLOTS,
            in_flight=self.in_flight,
            offers_seen=self.offers_seen,
        )
        self.send(message)

    def send(self, message):
        if self.is_reachable:
            self.replay.after(
                LINK_SECONDS, self.replay.deliver, self.address, message
            )

    def receive(self, message):
        if not self.is_reachable:
            return
        if isinstance(message, Subscribe):
            # Offers may have been lost.
            self.offers_seen = message.offers_sent
            self.report()
            return
        self.receive_offer(message)

    def receive_offer(self, offer):
        self.offers_seen += 1
        request = self.replay.flows[offer.packet.flow]
        if request.flow != offer.packet.flow or request.upstream is self:
            # The client has left, or it is a copy of the opening packet.
            self.report()
            return
        if self.in_flight >= min(MAX_PER_SLOT * SLOTS, offer.max_in_flight):
            self.report()
            self.send(Declined(packet=offer.packet, reason=DECLINED_FULL))
            return
        request.open(self)
        self.in_flight += 1
        self.report()
        start = max(self.replay.now, heapq.heappop(self.slots_free_at))
        done = start + request.load.work_seconds
        heapq.heappush(self.slots_free_at, done)
        self.replay.after(done - self.replay.now, self.finish, request)

    def finish(self, request):
        self.in_flight -= 1
        self.report()
        request.answer()


class Load:
    """Open one flow a request, at a mean rate from start to end."""

    def __init__(
        self,
        route,
        *,
        rate,
        end,
        start: float = 0,
        clients=20,
        first_client=0,
        work_seconds=0.04,
    ):
        self.route = route
        self.rate = rate
        self.start = start
        self.end = end
        self.clients = clients
        self.first_client = first_client
        self.work_seconds = work_seconds
        self.outcomes = Counter()
        self.resets = 0

    @property
    def requests(self):
        return sum(self.outcomes.values())

    def share(self, *outcomes):
        """Return the share of the requests with one of these outcomes."""
        ended = sum(self.outcomes[outcome] for outcome in outcomes)
        return ended / self.requests


class Request:
    """Try up to three flows until an upstream has answered."""

    def __init__(self, replay, load, host):
        self.replay = replay
        self.load = load
        self.host = host
        self.begun_at = replay.now
        self.tries = 0
        self.flow = None
        self.upstream = None
        self.try_once()

    def try_once(self):
        self.tries += 1
        self.source = (self.host, next(self.replay.ports))
        self.flow = self.packet(0).flow
        self.opened_at = self.replay.now
        self.replay.flows[self.flow] = self
        for attempt, seconds in enumerate(RETRANSMIT_SECONDS):
            self.replay.after(seconds, self.send, self.flow, attempt)
        self.replay.after(GIVE_UP_SECONDS, self.fail, self.flow, 'timed out')

    def packet(self, attempt):
        port = int.from_bytes(self.load.route.address[:2])
        return client_packet(
            source=self.source,
            destination=('198.18.0.1', port),
            flags=OPEN,
            acknowledged=attempt,
        )

    def send(self, flow, attempt):
        if self.flow == flow and self.upstream is None:
            self.replay.receive(self.packet(attempt))

    def open(self, upstream):
        self.upstream = upstream
        established = client_packet(
            source=self.source,
            destination=(
                '198.18.0.1',
                int.from_bytes(self.load.route.address[:2]),
            ),
            flags=ACKNOWLEDGE,
            sequence=1,
        )
        self.replay.after(2 * LINK_SECONDS, self.replay.receive, established)

    def fail(self, flow, outcome):
        if self.flow != flow or self.upstream:
            return
        elapsed = self.replay.now - self.begun_at
        retries = self.tries < MAX_TRIES
        if retries and elapsed < self.load.route.timeout_seconds:
            self.try_once()
            return
        self.flow = None
        self.load.outcomes[outcome] += 1

    def answer(self):
        elapsed = self.replay.now - self.begun_at
        on_time = elapsed <= self.load.route.target_seconds
        self.load.outcomes['in target' if on_time else 'late'] += 1


class Replay:
    """Run loads against one balancer; times are in seconds from the start."""

    def __init__(self, *loads, upstreams=4, reachable=True, seed=7):
        self.loads = loads
        self.draw = random.Random(seed)
        routes = {load.route.address: load.route for load in loads}
        addresses = [
            (f'10.0.0.{number + 1}', 8172) for number in range(upstreams)
        ]
        self.balancer = Balancer(
            agents=addresses, routes=table_of(*routes.values())
        )
        self.started_at = self.balancer.now
        self.upstreams = {
            address: Upstream(self, address) for address in addresses
        }
        self.set_reachable(reachable)
        self.events = []
        self.numbers = itertools.count()
        self.ports = itertools.count(1024)
        self.flows = {}
        self.resets = []
        for upstream in self.upstreams.values():
            self.repeat(REPORT_SECONDS, upstream.report)
        self.repeat(TICK_SECONDS, self.tick)
        for load in loads:
            self.after(load.start, self.begin, load)

    @property
    def now(self):
        return self.balancer.now

    @property
    def elapsed(self):
        return self.now - self.started_at

    def set_reachable(self, reachable):
        for upstream in self.upstreams.values():
            upstream.is_reachable = reachable

    def after(self, seconds, act, *arguments):
        heapq.heappush(
            self.events,
            (self.now + seconds, next(self.numbers), act, arguments),
        )

    def repeat(self, seconds, act):
        act()
        self.after(seconds, self.repeat, seconds, act)

    def run(self, seconds):
        until = self.started_at + seconds
        while self.events[0][0] <= until:
            moment, _, act, arguments = heapq.heappop(self.events)
            self.balancer.clock.advance(max(0, moment - self.now))
            act(*arguments)
        return self

    def begin(self, load):
        if self.elapsed >= load.end:
            return
        client = load.first_client + self.draw.randrange(load.clients)
        Request(self, load, f'100.64.0.{client}')
        self.after(self.draw.expovariate(load.rate), self.begin, load)

    def receive(self, packet):
        self.balancer.receive_packet(packet)
        self.carry_out()

    def deliver(self, address, message):
        self.balancer.receive_message(address, message)
        self.carry_out()

    def tick(self):
        self.balancer.relay.tick(self.now)
        self.carry_out()

    def carry_out(self):
        transport = self.balancer.transport
        sent, transport.sent = transport.sent, []
        for address, message in sent:
            if isinstance(message, (Offer, Subscribe)):
                self.after(
                    LINK_SECONDS, self.upstreams[address].receive, message
                )
        resets, transport.resets = transport.resets, []
        for packet in resets:
            request = self.flows[packet.flow]
            if request.flow != packet.flow:
                # The client has left this flow.
                continue
            assert request.upstream is None, 'a flow that runs was reset'
            request.load.resets += 1
            waited = self.now - request.opened_at
            self.resets.append((self.elapsed, waited))
            self.after(LINK_SECONDS, request.fail, packet.flow, 'refused')
