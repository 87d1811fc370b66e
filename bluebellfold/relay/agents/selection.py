"""Select the agent to which a new flow is offered.

Several cases cause uneven load: long flows accumulate at the upstreams that
were reachable first, restarted upstreams are still warming up, and bursts of
flows with one request each show only in the number of requests in flight.
Slow and failing upstreams are recognised by their recent requests.
"""

from collections.abc import Callable, Collection, Iterable
from math import copysign, exp, log

from bluebellfold.core import Record, Registry, Sentinel, read_only
from bluebellfold.relay.agents.agent_entry import Address
from bluebellfold.relay.agents.agent_load import NO_FLOW_LIMIT, RequestStats
from bluebellfold.relay.agents.agent_table import AgentView
from bluebellfold.relay.agents.balancing import (
    draw_index,
    fill_to_common_level,
)

DEFAULT_POLICY = 'water-filling'
# Below this number of flows that others are expected to have sent, the reports
# are as good as current, and the upstream with the least work is the best one.
MIN_ARRIVALS_OF_OTHERS = 0.5
# A request takes about 1.6 times as long at an upstream that is warming up.
WARMING_FACTOR = 1.6
# A difference from the typical work counts in full from this multiple of its
# error bound on, and not at all within the bound.
FULL_WEIGHT_ERRORS = 2.0
# Limits the effect of an outlier, which would otherwise keep all flows from an
# upstream.
MAX_SLOWDOWN = 8.0
# Permanent differences in speed are smaller. An upstream that responds without
# doing the work must not attract all flows.
MIN_SLOWDOWN = 1 / 3
# If a quarter of its recent requests failed, every other upstream is a better
# choice for clients, even one whose queue is nearly full.
MAX_FAILURE_SHARE = 0.25
# Traffic to another zone takes a millisecond more and is charged by the byte.
# The unit is requests in flight per slot.
CROSS_ZONE_COST = 0.05
# Requests in flight per slot from which an upstream gets no new flow. With more
# than three, the last request would exceed the target latency of most routes,
# which is four to five times the work of a request. The flow waits at the
# balancer instead and goes to the first upstream with capacity.
MAX_IN_FLIGHT_PER_SLOT = 3.0

NO_AGENT = Sentinel(
    name='no-agent',
    reason='no live agent of the service accepts new flows',
)
ALL_FULL = Sentinel(
    name='all-full',
    reason='every upstream of the service has a full queue',
)


class SelectionInput(Record):
    """Hold the inputs of a selection policy.

    ``views`` are the candidates, at the time ``now``, and ``zone`` is the zone
    of the balancer.
    ``draw`` returns a random number in [0, 1).
    ``typical_work_seconds`` is the median work of a request over the upstreams
    of the service, 0 if it is not known.
    """

    __slots__ = ('_draw', '_now', '_typical_work_seconds', '_views', '_zone')

    draw: Callable[[], float] = read_only('_draw')
    now: float = read_only('_now')
    typical_work_seconds: float = read_only('_typical_work_seconds')
    views: tuple[AgentView, ...] = read_only('_views')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        views: tuple[AgentView, ...],
        zone: str,
        now: float,
        draw: Callable[[], float],
        typical_work_seconds: float,
    ) -> None:
        self._views = views
        self._zone = zone
        self._now = now
        self._draw = draw
        self._typical_work_seconds = typical_work_seconds


Policy = Callable[[SelectionInput], AgentView]

POLICIES: Registry[str, Policy] = Registry(name='selection policies')


def select_agent(
    views: Iterable[AgentView],
    *,
    zone: str,
    now: float,
    draw: Callable[[], float],
    excluded: Collection[Address] = (),
    policy: str = DEFAULT_POLICY,
) -> AgentView | Sentinel:
    """Return the agent for a new flow, or why there is none.

    The result is NO_AGENT if no agent accepts flows, and ALL_FULL if the queue
    of each is full. The addresses in ``excluded`` are not considered.
    """
    accepting = [
        view
        for view in views
        if view.accepts_flows(now) and view.address not in excluded
    ]
    if not accepting:
        return NO_AGENT
    # If all upstreams fail, the cause is likely elsewhere, so failures are
    # ignored.
    healthy = [view for view in accepting if not is_failing(view)] or accepting
    with_capacity = tuple(view for view in healthy if not is_full(view))
    if not with_capacity:
        return ALL_FULL
    selection = SelectionInput(
        views=with_capacity,
        zone=zone,
        now=now,
        draw=draw,
        typical_work_seconds=_median_work_seconds(healthy),
    )
    return POLICIES.find(policy)(selection)


def is_failing(view: AgentView) -> bool:
    """Tell whether too many recent requests failed at the upstream."""
    return view.reported_load.request_stats.failure_share >= MAX_FAILURE_SHARE


def is_full(view: AgentView) -> bool:
    """Tell whether one more request would wait too long at the upstream.

    The measured work affects the ranking only. For requests of a few
    milliseconds it varies by chance, and a limit on it would exclude healthy
    upstreams.
    """
    if is_warmup_exhausted(view):
        return True
    load = view.reported_load
    return view.in_flight >= queue_capacity(
        MAX_IN_FLIGHT_PER_SLOT, slots=load.slots, warming=load.warming
    )


def is_warmup_exhausted(view: AgentView) -> bool:
    """Tell whether a cold upstream takes no more flows until its next report.

    The balancer's own offers since the last report count as accepted.
    """
    load = view.reported_load
    warmup = load.warmup
    if warmup is None or warmup.flows_left >= NO_FLOW_LIMIT:
        return False
    return view.in_flight - load.in_flight >= warmup.flows_left


def slowdown(view: AgentView, typical_work_seconds: float) -> float:
    """Return the work of a request relative to typical work.

    It is 1 as far as the error of the measured mean explains the difference.
    """
    load = view.reported_load
    measured = relative_work(load.request_stats, typical_work_seconds)
    if load.warming:
        return max(WARMING_FACTOR, measured)
    return measured


def relative_work(stats: RequestStats, typical_work_seconds: float) -> float:
    """Return the measured work relative to typical work, weighted by its error.

    >>> exact = RequestStats(work_seconds=24, failure_share=0, work_error=0.3)
    >>> round(relative_work(exact, typical_work_seconds=10), 2)
    2.4
    >>> vague = RequestStats(work_seconds=24, failure_share=0, work_error=0.9)
    >>> relative_work(vague, typical_work_seconds=10)
    1.0
    """
    if not typical_work_seconds or not stats.work_seconds:
        return float(1)
    difference = log(stats.work_seconds / typical_work_seconds)
    excess = abs(difference) - stats.work_error
    if excess <= 0:
        return float(1)
    # Continuous, so that noise about the bound changes little.
    counted = min(
        abs(difference),
        excess * FULL_WEIGHT_ERRORS / (FULL_WEIGHT_ERRORS - 1),
    )
    ratio = exp(copysign(counted, difference))
    return max(MIN_SLOWDOWN, min(ratio, MAX_SLOWDOWN))


def queue_capacity(
    in_flight_per_slot: float, *, slots: int, warming: bool
) -> float:
    """Return how many requests an upstream may have in flight.

    The limit is lower while the upstream is warming up, because each request
    takes longer.

    >>> queue_capacity(3, slots=2, warming=False)
    6
    >>> queue_capacity(3, slots=2, warming=True)
    3.75
    """
    capacity = slots * in_flight_per_slot
    return capacity / WARMING_FACTOR if warming else capacity


@POLICIES.add('in-turn')
def select_random(selection: SelectionInput) -> AgentView:
    """Select a random agent, as the baseline for other policies."""
    return selection.views[int(selection.draw() * len(selection.views))]


@POLICIES.add('least-busy')
def select_least_in_flight(selection: SelectionInput) -> AgentView:
    """Select the agent with the fewest requests in flight per slot."""
    return min(
        selection.views,
        key=lambda view: (
            view.in_flight / view.reported_load.slots,
            selection.draw(),
        ),
    )


@POLICIES.add('least-work')
def select_least_work(selection: SelectionInput) -> AgentView:
    """Select the agent with the least current and expected work per slot."""
    in_flight_per_flow = _in_flight_per_flow(selection.views)
    return min(
        selection.views,
        key=lambda view: (
            _expected_work(view, in_flight_per_flow, selection),
            selection.draw(),
        ),
    )


@POLICIES.add(DEFAULT_POLICY)
def select_water_filling(selection: SelectionInput) -> AgentView:
    """Select so that the work is equal with the flows that others have sent.

    The agent is drawn in proportion to its part of these flows and the new one,
    if they are spread so that the expected work per slot becomes equal.
    """
    arrivals = sum(
        view.arrivals_of_others(selection.now) for view in selection.views
    )
    if arrivals < MIN_ARRIVALS_OF_OTHERS:
        return select_least_work(selection)
    in_flight_per_flow = _in_flight_per_flow(selection.views)
    levels = []
    capacities = []
    for view in selection.views:
        # What one flow adds to the expected work.
        work = slowdown(view, selection.typical_work_seconds)
        step = work / view.reported_load.slots
        expected = _expected_work(view, in_flight_per_flow, selection)
        levels.append(expected - step)
        capacities.append(1 / step)
    parts = fill_to_common_level(levels, capacities, arrivals + 1)
    return selection.views[draw_index(parts, selection.draw())]


def _in_flight_per_flow(views: Collection[AgentView]) -> float:
    """Return the requests in flight that each open flow is expected to add."""
    flows = sum(view.reported_load.flows for view in views)
    in_flight = sum(view.in_flight for view in views)
    return min(in_flight / max(flows, 1), 1)


def _expected_work(
    view: AgentView, in_flight_per_flow: float, selection: SelectionInput
) -> float:
    load = view.reported_load
    expected = view.in_flight + 1 + load.flows * in_flight_per_flow
    work = (
        expected / load.slots * slowdown(view, selection.typical_work_seconds)
    )
    return work if load.zone == selection.zone else work + CROSS_ZONE_COST


def _median_work_seconds(views: Iterable[AgentView]) -> float:
    measured = [view.reported_load.request_stats.work_seconds for view in views]
    known = [seconds for seconds in measured if seconds]
    # The lower median. Importing the module statistics, which imports
    # fractions and decimal, would add 4 ms to the 119 ms of a process's
    # imports.
    return sorted(known)[(len(known) - 1) // 2] if known else 0
