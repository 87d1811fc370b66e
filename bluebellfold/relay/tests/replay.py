"""Replay the choices of many balancers at once, without sockets."""

import heapq
import random
from itertools import chain, count, cycle
from statistics import fmean, pstdev

from bluebellfold.relay.agents import (
    AgentEntry,
    ArrivalRate,
    RequestStats,
    queue_capacity,
    select_agent,
)
from bluebellfold.relay.agents.agent_table import AgentView
from bluebellfold.relay.callers.admission import LIMITED_OFFERS, MARGIN_REQUESTS
from bluebellfold.relay.tests.harness import ZONE, report_of
from bluebellfold.relay.upstreams.admission import MAX_IN_FLIGHT_PER_SLOT
from bluebellfold.relay.upstreams.performance import Performance

SUBSET_SIZE = 8
# 3% of the requests take 7 times as long.
WORK = (1,) * 97 + (7,) * 3
RETRY_SECONDS = 0.005
WARM_UP_SECONDS = 2


class Upstream:
    """Serve flows of one request each in the order of their arrival."""

    def __init__(self, *, slots, work_seconds, zone=ZONE):
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.views = []
        self._arrivals = ArrivalRate(now=0)
        self._performance = Performance(now=0)
        self._sequence = 0
        self._free_at = [0 for _ in range(slots)]
        self._running = []

    def in_flight(self, now):
        while self._running and self._running[0][0] <= now:
            end, start, in_flight = heapq.heappop(self._running)
            self._performance.record_response(
                end - start,
                in_flight=in_flight,
                slots=self.slots,
                status=200,
                now=end,
            )
        return len(self._running)

    def admit(self, work, max_in_flight, now):
        """Serve a flow; return how long it takes, None if it is declined."""
        capacity = queue_capacity(
            MAX_IN_FLIGHT_PER_SLOT, slots=self.slots, warming=False
        )
        if self.in_flight(now) >= min(capacity, max_in_flight):
            return None
        self._arrivals.count(now)
        begin = max(now, heapq.heappop(self._free_at))
        end = begin + work * self.work_seconds
        heapq.heappush(self._free_at, end)
        heapq.heappush(self._running, (end, now, len(self._running) + 1))
        return end - now

    def report_to(self, view, now):
        self._sequence += 1
        report = report_of(
            sequence=self._sequence,
            zone=self.zone,
            slots=self.slots,
            in_flight=self.in_flight(now),
            offers_seen=view.offers_sent,
            request_stats=RequestStats(
                work_seconds=self._performance.work_seconds,
                work_error=self._performance.work_error(now),
                failure_share=0,
                arrivals_per_second=self._arrivals.per_second(now),
            ),
        )
        view.update(report.load, now)


class Replay:
    """Offer flows as balancers do, and measure how even the load is.

    An upstream reports to each balancer that follows it, and at once to one
    that offers a flow. ``load`` is the share of the slots that is needed.
    Balancers are spread evenly over the zones of the upstreams, and half of
    what one follows is in its own zone.
    """

    def __init__(self, *, policy, upstreams, balancers, report_seconds, load):
        self.offers = 0
        self.declined = 0
        self.cross_zone = 0
        self.seconds = []
        self._deviations = []
        self._policy = policy
        self._upstreams = upstreams
        self._report_seconds = report_seconds
        self._random = random.Random(3)
        zones = sorted({one.zone for one in upstreams})
        self._balancers = [
            (zone, self._follow(zone))
            for _, zone in zip(range(balancers), cycle(zones), strict=False)
        ]
        capacity = sum(one.slots / one.work_seconds for one in upstreams)
        self._flows_per_second = load * capacity / fmean(WORK)
        self._order = count()
        self._events = []

    @property
    def declined_share(self):
        return self.declined / self.offers

    @property
    def cross_zone_share(self):
        """Return the share of the admitted flows in another zone."""
        return self.cross_zone / len(self.seconds)

    @property
    def deviation(self):
        """Return the mean standard deviation of requests per slot."""
        return fmean(self._deviations)

    def run(self, seconds):
        for upstream in self._upstreams:
            first = self._random.uniform(0, self._report_seconds)
            self._schedule(first, self._report, upstream)
        self._schedule(0, self._open_flow)
        now = 0
        while now < WARM_UP_SECONDS + seconds:
            now, _, handle, subject = heapq.heappop(self._events)
            handle(subject, now)
        return self

    def _schedule(self, moment, handle, subject=None):
        event = (moment, next(self._order), handle, subject)
        heapq.heappush(self._events, event)

    def _follow(self, zone):
        followed = {}
        # Those with the fewest followers, so that each upstream gets flows.
        ranked = sorted(self._upstreams, key=self._follow_rank)
        local = [one for one in ranked if one.zone == zone]
        remote = [one for one in ranked if one.zone != zone]
        size = SUBSET_SIZE // 2 if remote else SUBSET_SIZE
        for upstream in chain(local[:size], remote[:size]):
            entry = AgentEntry(address=(f'10.0.0.{len(followed)}', 1))
            view = AgentView(entry=entry, now=0)
            view.follow(0, followed=True)
            upstream.views.append(view)
            followed[view] = upstream
        return followed

    def _follow_rank(self, upstream):
        return len(upstream.views), self._random.random()

    def _report(self, upstream, now):
        for view in upstream.views:
            upstream.report_to(view, now)
        self._schedule(now + self._report_seconds, self._report, upstream)

    def _open_flow(self, _, now):
        gap = self._random.expovariate(self._flows_per_second)
        self._schedule(now + gap, self._open_flow)
        flow = (self._random.choice(self._balancers), now)
        self._offer(flow, now)
        if now >= WARM_UP_SECONDS:
            self._deviations.append(
                pstdev(
                    one.in_flight(now) / one.slots for one in self._upstreams
                )
            )

    def _offer(self, flow, now):
        (zone, followed), opened_at = flow
        for declines in count():
            view = select_agent(
                followed,
                zone=zone,
                now=now,
                draw=self._random.random,
                policy=self._policy,
            )
            if not view:
                self._schedule(now + RETRY_SECONDS, self._offer, flow)
                return
            limit = 0xFF
            if declines < LIMITED_OFFERS:
                limit = (
                    view.in_flight + view.reported_load.slots + MARGIN_REQUESTS
                )
            view.count_offer(now)
            upstream = followed[view]
            work = self._random.choice(WORK)
            seconds = upstream.admit(work, limit, now)
            upstream.report_to(view, now)
            measured = now >= WARM_UP_SECONDS
            self.offers += measured
            if seconds is not None:
                if measured:
                    self.seconds.append(now + seconds - opened_at)
                    self.cross_zone += upstream.zone != zone
                return
            view.back_off_until(now + RETRY_SECONDS)
            self.declined += measured
