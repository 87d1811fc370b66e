"""Decide which agent a new flow is offered to.

Answers uneven load: long flows that piled up where the first packets came
through, upstreams that returned cold, and bursts of flows with one request
each, which only the number of requests in progress shows. Upstreams that turn
slow and that fail requests: they are known by what they served.
"""

from collections.abc import Callable, Collection, Iterable

from bluebellfold.core import Record, Registry, Sentinel, read_only
from bluebellfold.relay.agents.roster import Address, AgentView

DEFAULT_RULE = 'least-work'
# An upstream that warms up works about 1.6 times as long on a request.
WARMING_FACTOR = 1.6
# Upstreams differ by less than this in what requests they happen to get.
SLOW_FROM = 2.0
# Keeps one odd measurement from shutting an upstream out.
MOST_SLOWNESS = 8.0
# With a quarter of its late requests failed, any other upstream serves
# clients better, also one whose queue is nearly full.
FAILING_SHARE = 0.25
# Another zone costs a millisecond and the price of its bytes: worth it for
# a twentieth of a request in progress.
OTHER_ZONE_COST = 0.05
# Requests in progress for each slot beyond which an upstream is given no new
# flow. Beyond three the last would be answered after the target latency of
# most routes, which is four to five times the work of a request; it waits at
# the balancer instead, where it goes to the first upstream that has room.
FULL_BUSY_PER_SLOT = 3.0

NO_AGENT = Sentinel(
    name='no-agent',
    reason='no agent of the service is known to take new flows',
)
ALL_FULL = Sentinel(
    name='all-full',
    reason='every upstream of the service has a full queue',
)


class Question(Record):
    """Ask where a new flow goes.

    ``zone`` is the balancer's own, ``usual_seconds`` the work on a request at
    most upstreams of the service.
    """

    __slots__ = ('_draw', '_usual_seconds', '_views', '_zone')

    draw: Callable[[], float] = read_only('_draw')
    usual_seconds: float = read_only('_usual_seconds')
    views: tuple[AgentView, ...] = read_only('_views')
    zone: str = read_only('_zone')

    def __init__(
        self,
        *,
        views: tuple[AgentView, ...],
        zone: str,
        draw: Callable[[], float],
        usual_seconds: float,
    ) -> None:
        self._views = views
        self._zone = zone
        self._draw = draw
        self._usual_seconds = usual_seconds


Rule = Callable[[Question], AgentView]

RULES: Registry[str, Rule] = Registry(name='rules of placing')


def place(
    views: Iterable[AgentView],
    *,
    zone: str,
    now: float,
    draw: Callable[[], float],
    avoided: Collection[Address] = (),
    rule: str = DEFAULT_RULE,
) -> AgentView | Sentinel:
    """Return the agent for a new flow, NO_AGENT or ALL_FULL."""
    able = [
        view
        for view in views
        if view.takes_flows(now) and view.address not in avoided
    ]
    if not able:
        return NO_AGENT
    # Where all fail, the cause is likely elsewhere.
    sound = [view for view in able if not is_failing(view)] or able
    roomy = tuple(view for view in sound if not is_full(view))
    if not roomy:
        return ALL_FULL
    question = Question(
        views=roomy,
        zone=zone,
        draw=draw,
        usual_seconds=_find_usual(sound),
    )
    return RULES.find(rule)(question)


def is_failing(view: AgentView) -> bool:
    """Tell whether the upstream fails many of its requests."""
    return view.load.served.failure_share >= FAILING_SHARE


def is_full(view: AgentView) -> bool:
    """Tell whether one more request would wait too long at the upstream.

    What was measured counts for the choice alone: among requests of a few
    milliseconds it differs by chance, and would shut sound upstreams out.
    """
    load = view.load
    return view.busy >= room_for(
        FULL_BUSY_PER_SLOT, slots=load.slots, warming=load.warming
    )


def slowness(view: AgentView, usual_seconds: float) -> float:
    """Return how many times as long as usual the upstream works, from 1 on."""
    load = view.load
    least = WARMING_FACTOR if load.warming else 1
    if not usual_seconds:
        return least
    measured = load.served.work_seconds / usual_seconds
    if measured < SLOW_FROM:
        return least
    return max(least, min(measured, MOST_SLOWNESS))


def room_for(busy_per_slot: float, *, slots: int, warming: bool) -> float:
    """Return how many requests an upstream may hold at a time.

    One that warms up takes longer for each, so it holds fewer.

    >>> room_for(3, slots=2, warming=False), room_for(3, slots=2, warming=True)
    (6, 3.75)
    """
    room = slots * busy_per_slot
    return room / WARMING_FACTOR if warming else room


@RULES.add('in-turn')
def place_anywhere(question: Question) -> AgentView:
    """Choose any agent; the baseline that others are measured against."""
    return question.views[int(question.draw() * len(question.views))]


@RULES.add('least-busy')
def place_at_least_busy(question: Question) -> AgentView:
    """Choose the agent with the fewest requests in progress for a slot."""
    return min(
        question.views,
        key=lambda view: (view.busy / view.load.slots, question.draw()),
    )


@RULES.add(DEFAULT_RULE)
def place_at_least_work(question: Question) -> AgentView:
    """Choose the agent with the least work now and soon for a slot.

    Open flows bring requests later: each counts as the mean number of
    requests in progress of an open flow.
    """
    flows = sum(view.load.flows for view in question.views)
    busy = sum(view.busy for view in question.views)
    busy_per_flow = min(busy / max(flows, 1), 1)
    return min(
        question.views,
        key=lambda view: (
            _work(view, busy_per_flow, question),
            question.draw(),
        ),
    )


def _work(view: AgentView, busy_per_flow: float, question: Question) -> float:
    load = view.load
    expected = view.busy + 1 + load.flows * busy_per_flow
    work = expected / load.slots * slowness(view, question.usual_seconds)
    return work if load.zone == question.zone else work + OTHER_ZONE_COST


def _find_usual(views: Iterable[AgentView]) -> float:
    served = [view.load.served.work_seconds for view in views]
    known = [seconds for seconds in served if seconds]
    # The lower median. The module statistics would add 4 of the 119 ms that a
    # process takes to import: it comes with fractions and decimals.
    return sorted(known)[(len(known) - 1) // 2] if known else 0
