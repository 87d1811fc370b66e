"""Select the agent to which a new flow is offered.

Full and failing upstreams are left out; a policy chooses among the others.
"""

from collections.abc import Callable, Collection, Iterable

from bluebellfold.core import Sentinel
from bluebellfold.relay.agents.agent_entry import Address
from bluebellfold.relay.agents.agent_load import NO_FLOW_LIMIT
from bluebellfold.relay.agents.agent_table import AgentView
from bluebellfold.relay.agents.policies import (
    DEFAULT_POLICY,
    POLICIES,
    SelectionInput,
)
from bluebellfold.relay.agents.upstream_work import (
    median_work_seconds,
    queue_capacity,
)

# If a quarter of its recent requests failed, every other upstream is a better
# choice for clients, even one whose queue is nearly full.
MAX_FAILURE_SHARE = 0.25
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
        typical_work_seconds=median_work_seconds(healthy),
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
