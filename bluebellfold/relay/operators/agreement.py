"""Find the processes whose state differs from that of the majority."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

from bluebellfold.core import Record, Registry, read_only
from bluebellfold.relay.operators.process_state import (
    AGENT,
    BALANCER,
    Gauges,
    ProcessState,
)

# What all processes of a role know alike once a change has reached them. The
# revision of the list of agents isn't among them: of two balancers with the
# same list, one may have seen an agent come and go.
COMPARED_GAUGES = (
    (BALANCER, 'configuration_version'),
    (BALANCER, 'agents_listed'),
    (BALANCER, 'agents_checksum'),
    (BALANCER, 'evacuated_zones'),
    (BALANCER, 'store_era'),
    (AGENT, 'newest_configuration_version'),
    (AGENT, 'store_era'),
)
# A followed agent reports each 0.2 s, and is replaced after 3 s of silence.
OLD_REPORT_MILLISECONDS = 700

Warn = Callable[[Gauges], bool]
WARNINGS: Registry[tuple[str, str], Warn] = Registry(
    name='warnings by role and meaning'
)


class Majority(Record):
    """Hold the state that most processes of a role have, and how many."""

    __slots__ = ('_gauge', '_holders', '_level', '_processes', '_role')

    gauge: str = read_only('_gauge')
    holders: int = read_only('_holders')
    level: int = read_only('_level')
    processes: int = read_only('_processes')
    role: str = read_only('_role')

    def __init__(
        self,
        *,
        role: str,
        gauge: str,
        level: int,
        holders: int,
        processes: int,
    ) -> None:
        self._role = role
        self._gauge = gauge
        self._level = level
        self._holders = holders
        self._processes = processes

    def differs(self, state: ProcessState) -> bool:
        """Return whether a process has another state."""
        if state.role != self._role or not is_informed(state):
            return False
        return state.gauges.get(self._gauge, self._level) != self._level


class Judgement(Record):
    """Hold the state of a process, and what is remarkable about it."""

    __slots__ = ('_differences', '_state', '_warnings')

    differences: tuple[Majority, ...] = read_only('_differences')
    state: ProcessState = read_only('_state')
    warnings: tuple[str, ...] = read_only('_warnings')

    def __init__(
        self,
        *,
        state: ProcessState,
        differences: tuple[Majority, ...],
        warnings: tuple[str, ...],
    ) -> None:
        self._state = state
        self._differences = differences
        self._warnings = warnings

    @property
    def is_flagged(self) -> bool:
        """Return whether the process differs from others or has a warning."""
        return bool(self._differences or self._warnings)


def is_informed(state: ProcessState) -> bool:
    """Return whether others tell the process what is in force.

    An agent that no balancer follows at the moment learns of no change.
    """
    return state.role != AGENT or state.gauges.get('balancers', 0) > 0


def find_majorities(states: Iterable[ProcessState]) -> tuple[Majority, ...]:
    """Return the most common state of each compared gauge.

    Of two that are equally common, the greater one counts: it is newer.
    """
    levels: dict[tuple[str, str], Counter[int]] = defaultdict(Counter)
    for state in states:
        for role, gauge in COMPARED_GAUGES:
            if role == state.role and gauge in state.gauges:
                levels[role, gauge][state.gauges[gauge]] += is_informed(state)
    return tuple(_count_majorities(levels))


def judge_processes(
    states: Iterable[ProcessState], majorities: Iterable[Majority]
) -> tuple[Judgement, ...]:
    """Return the differences and the warnings of each process."""
    listed = tuple(majorities)
    return tuple(
        Judgement(
            state=state,
            differences=tuple(one for one in listed if one.differs(state)),
            warnings=tuple(_find_warnings(state)),
        )
        for state in states
    )


def _count_majorities(
    levels: dict[tuple[str, str], Counter[int]],
) -> Iterator[Majority]:
    for (role, gauge), counts in levels.items():
        holders, level = max((counts[level], level) for level in counts)
        if holders:
            yield Majority(
                role=role,
                gauge=gauge,
                level=level,
                holders=holders,
                processes=counts.total(),
            )


def _find_warnings(state: ProcessState) -> Iterator[str]:
    if not state.role:
        yield 'serves no metrics of the relay'
    for role, meaning in WARNINGS:
        warn = WARNINGS.find((role, meaning))
        if role == state.role and warn(state.gauges):
            yield meaning


@WARNINGS.add((BALANCER, 'no configuration'))
def _lacks_configuration(gauges: Gauges) -> bool:
    return gauges['configuration_version'] < 0


@WARNINGS.add((BALANCER, 'knows no agents'))
def _lacks_agents(gauges: Gauges) -> bool:
    return gauges.get('agents_listed') == 0


@WARNINGS.add((BALANCER, 'configuration is a copy from a balancer'))
def _copied_configuration(gauges: Gauges) -> bool:
    return gauges.get('configuration_from_peer', 0) > 0


@WARNINGS.add((BALANCER, 'list of agents is a copy from a balancer'))
def _copied_agents(gauges: Gauges) -> bool:
    return gauges.get('agents_from_peer', 0) > 0


@WARNINGS.add((BALANCER, 'follows no agent that takes flows of a service'))
def _lacks_usable_agent(gauges: Gauges) -> bool:
    return gauges.get('services_unserved', 0) > 0


@WARNINGS.add((BALANCER, 'a followed agent reports late'))
def _has_old_report(gauges: Gauges) -> bool:
    return gauges.get('oldest_report_milliseconds', 0) > OLD_REPORT_MILLISECONDS
