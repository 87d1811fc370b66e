"""Choose one of the candidates for a new flow by a policy."""

from collections.abc import Callable, Iterable, Sequence

from bluebellfold.core import Record, Registry, read_only
from bluebellfold.relay.agents.agent_table import AgentView
from bluebellfold.relay.agents.balancing import (
    draw_index,
    fill_to_common_level,
    raise_to_common_level,
)
from bluebellfold.relay.agents.upstream_work import expected_works, slowdown

DEFAULT_POLICY = 'water-filling'
# Below this number of flows that others are expected to have sent, the reports
# are as good as current, and the upstream with the least work is the best one.
MIN_ARRIVALS_OF_OTHERS = 0.5
# Traffic to another zone takes a millisecond more and is charged by the byte.
# The unit is requests in flight per slot.
CROSS_ZONE_COST = 0.05


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
    works = [
        (work, selection.draw())
        for work in _works_with_zone_cost(selection.views, selection)
    ]
    return selection.views[works.index(min(works))]


@POLICIES.add(DEFAULT_POLICY)
def select_water_filling(selection: SelectionInput) -> AgentView:
    """Select so that the work is equal with the flows that others have sent.

    The agent is drawn in proportion to its part of these flows and the new one,
    if they are spread so that the expected work per slot becomes equal.
    """
    if _arrivals_of_others(selection.views, selection) < MIN_ARRIVALS_OF_OTHERS:
        return select_least_work(selection)
    local, others = _split_by_zone(selection)
    levels, capacities = _fill_other_zones(local, others, selection)
    arrivals = _arrivals_of_others(local, selection)
    parts = fill_to_common_level(levels, capacities, arrivals + 1)
    return (*local, *others)[draw_index(parts, selection.draw())]


def _split_by_zone(
    selection: SelectionInput,
) -> tuple[Sequence[AgentView], Sequence[AgentView]]:
    """Return the candidates in the balancer's zone, and the others.

    Without any in the zone, all count as such: the balancers of the zone spread
    their flows over them.
    """
    local = [
        view
        for view in selection.views
        if view.reported_load.zone == selection.zone
    ]
    if not local:
        return selection.views, ()
    return local, [
        view
        for view in selection.views
        if view.reported_load.zone != selection.zone
    ]


def _fill_other_zones(
    local: Sequence[AgentView],
    others: Sequence[AgentView],
    selection: SelectionInput,
) -> tuple[list[float], list[float]]:
    """Return the levels and capacities of the candidates, other zones filled.

    The balancers of a zone prefer its upstreams: what others have sent to other
    zones, and a next flow as in the own zone, raises the levels there. If all
    flows were spread over all zones, half of those of a calm site would leave
    their zone.
    """
    views = (*local, *others)
    capacities = [
        view.reported_load.slots
        / slowdown(view, selection.typical_work_seconds)
        for view in views
    ]
    works = _works_with_zone_cost(views, selection)
    # Without the new flow, which adds 1 / capacity.
    levels = [
        work - 1 / capacity
        for work, capacity in zip(works, capacities, strict=True)
    ]
    raised = raise_to_common_level(
        levels[len(local) :],
        capacities[len(local) :],
        _arrivals_of_others(others, selection) + 1,
    )
    return levels[: len(local)] + raised, capacities


def _arrivals_of_others(
    views: Iterable[AgentView], selection: SelectionInput
) -> float:
    return sum(view.arrivals_of_others(selection.now) for view in views)


def _works_with_zone_cost(
    views: Sequence[AgentView], selection: SelectionInput
) -> list[float]:
    works = expected_works(views, selection.typical_work_seconds)
    return [
        work
        if view.reported_load.zone == selection.zone
        else work + CROSS_ZONE_COST
        for view, work in zip(views, works, strict=True)
    ]
