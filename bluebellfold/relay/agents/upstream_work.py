"""Estimate the work of an upstream from its load report.

Several cases cause uneven load: long flows accumulate at the upstreams that
were reachable first, restarted upstreams are still warming up, and bursts of
flows with one request each show only in the number of requests in flight. Slow
upstreams are recognised by their recent requests.
"""

from collections.abc import Collection, Iterable
from math import copysign, exp, log

from bluebellfold.relay.agents.agent_load import RequestStats
from bluebellfold.relay.agents.agent_table import AgentView

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


def expected_works(
    views: Collection[AgentView], typical_work_seconds: float
) -> list[float]:
    """Return the work per slot of each upstream with one more flow.

    The unit is requests in flight per slot of an upstream with typical work.
    """
    # Each open flow is expected to add as many requests as flows have now.
    flows = sum(view.reported_load.flows for view in views)
    in_flight = sum(view.in_flight for view in views)
    in_flight_per_flow = min(in_flight / max(flows, 1), 1)
    return [
        (view.in_flight + 1 + view.reported_load.flows * in_flight_per_flow)
        / view.reported_load.slots
        * slowdown(view, typical_work_seconds)
        for view in views
    ]


def median_work_seconds(views: Iterable[AgentView]) -> float:
    """Return the lower median of the measured work, 0 if none is known."""
    measured = [view.reported_load.request_stats.work_seconds for view in views]
    known = [seconds for seconds in measured if seconds]
    # Importing the module statistics, which imports fractions and decimal,
    # would add 4 ms to the 119 ms of a process's imports.
    return sorted(known)[(len(known) - 1) // 2] if known else 0
