"""Check invariants on what clients and upstreams observe in a run."""

from collections.abc import Iterable

from bluebellfold.core import Record, read_only

# Invariants of a component are checked again this long after its last
# disturbance, the same time that the platform uses.
SETTLE_SECONDS = 4.0
# A configuration change must be in force within this time.
PROPAGATION_SECONDS = 4.0
# New flows may reach a draining upstream for this long after the drain was
# acknowledged.
DRAIN_GRACE_SECONDS = 3.0
# Share of the flows of the other routes that are served during a burst of one
# route. Their demand is below their fair share; faults lose some of them.
MIN_SERVED_SHARE = 0.5
# With fewer flows, one upstream that crashes can take most of them.
MIN_JUDGED_FLOWS = 4


class Disturbance(Record):
    """State from when to when a component was disturbed."""

    __slots__ = ('_component', '_ended_at', '_started_at')

    started_at: float = read_only('_started_at')
    ended_at: float = read_only('_ended_at')
    component: str = read_only('_component')

    def __init__(
        self, *, component: str, started_at: float, ended_at: float
    ) -> None:
        self._component = component
        self._started_at = started_at
        self._ended_at = ended_at


class InvariantChecker:
    """Collect disturbances and invariant violations."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.served = 0
        self.failed = 0
        self._disturbances: list[Disturbance] = []
        self._executions: dict[bytes, list[str]] = {}

    def record_disturbance(
        self, component: str, *, started_at: float, ended_at: float
    ) -> None:
        """Record the time in which a component was or will be disturbed."""
        self._disturbances.append(
            Disturbance(
                component=component, started_at=started_at, ended_at=ended_at
            )
        )

    def is_undisturbed(self, component: str, *, at: float) -> bool:
        """Return whether a component has settled, so that invariants apply.

        >>> checker = InvariantChecker()
        >>> checker.record_disturbance('agent-1', started_at=1, ended_at=3)
        >>> times = (0.5, 2, 6, 8)
        >>> [checker.is_undisturbed('agent-1', at=at) for at in times]
        [True, False, False, True]
        """
        return not any(
            disturbance.component == component
            and disturbance.started_at
            <= at
            <= disturbance.ended_at + SETTLE_SECONDS
            for disturbance in self._disturbances
        )

    def disturbances(self, component: str) -> list[Disturbance]:
        """Return the disturbances of a component by their start."""
        return sorted(
            (
                disturbance
                for disturbance in self._disturbances
                if disturbance.component == component
            ),
            key=lambda disturbance: disturbance.started_at,
        )

    def record_execution(self, request: bytes, upstream: str) -> None:
        """Record that a request ran; a second time is a violation."""
        executions = self._executions.setdefault(request, [])
        executions.append(upstream)
        if len(executions) > 1:
            self.violations.append(
                f'{request!r} ran more than once, at {executions}'
            )

    def record_response(
        self, response: bytes, request: bytes, upstream: str
    ) -> None:
        """Record a response and check that it matches the request."""
        self.served += 1
        if response != b'%s:%s' % (upstream.encode(), request):
            self.violations.append(
                f'response {response!r} to {request!r} at {upstream}'
            )

    def record_refusal(self, flow: str, *, accepted_at: str, at: float) -> None:
        """Record a reset before a flow was open; the request must not run.

        ``accepted_at`` names the settled upstream that accepted the flow, if
        one has.
        """
        self.failed += 1
        if accepted_at:
            self.violations.append(
                f'{flow} was refused at {at:.2f} s, but {accepted_at} has it'
            )

    def record_reset(
        self, flow: str, *, upstream: str, agent: str, is_open: bool, at: float
    ) -> None:
        """Record a reset and check that the flow was not open."""
        self.failed += 1
        if is_open and self.is_undisturbed(agent, at=at):
            self.violations.append(
                f'{flow} was reset at {at:.2f} s while open at {upstream}'
            )

    def record_drain(self, upstream: str, *, opened: int) -> None:
        """Record the flows that opened after the grace time of a drain."""
        if opened:
            self.violations.append(
                f'{opened} flows opened late in the drain of {upstream}'
            )

    def record_warmup(
        self, upstream: str, opened_at: list[float], *, bound: float
    ) -> None:
        """Record when a cold upstream got flows, and check each second."""
        for start in opened_at:
            received = sum(start <= at < start + 1 for at in opened_at)
            if received > bound:
                self.violations.append(
                    f'{received} flows in a second at the cold {upstream}'
                )
                return

    def record_evacuation(
        self,
        zone: str,
        openings: Iterable[tuple[str, float]],
        *,
        in_force_at: float,
        ended_at: float,
    ) -> None:
        """Record which upstreams of an evacuated zone got new flows, and when.

        None may get one from when the evacuation is in force until its end.
        """
        late = [
            f'{upstream} at {at:.2f} s'
            for upstream, at in openings
            if in_force_at < at < ended_at
        ]
        if late:
            self.violations.append(
                f'new flows in zone {zone}, evacuated from {in_force_at:.2f} '
                f'to {ended_at:.2f} s: {late}'
            )

    def record_burst(self, *, served: int, opened: int, at: float) -> None:
        """Record how many flows of another route were served in a burst."""
        if opened < MIN_JUDGED_FLOWS:
            return
        if served < opened * MIN_SERVED_SHARE:
            self.violations.append(
                f'{served} of {opened} flows beside the burst that ended at '
                f'{at:.2f} s were served'
            )

    def record_probe(
        self, balancer: str, *, is_open: bool, expected: bool, at: float
    ) -> None:
        """Record a probe and check that the route is as configured."""
        if is_open != expected:
            self.violations.append(
                f'route open at {balancer} at {at:.2f} s: '
                f'{is_open}, expected {expected}'
            )

    def record_exit(self, process: str, code: int | None) -> None:
        """Record the exit code of a stopped process, None if it was killed."""
        if code != 0:
            self.violations.append(
                f'{process} did not stop cleanly: exit code {code}'
            )
