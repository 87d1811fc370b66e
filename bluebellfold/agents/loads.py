"""Store the load reports of peers, and limit the rate of an agent's own."""

from collections.abc import Container

from bluebellfold.core import Endpoint, Load, Sentinel

# Minimum interval between reports of a changed load.
REPORT_INTERVAL_SECONDS = 1.0
# An unchanged load is reported again after this time.
REFRESH_INTERVAL_SECONDS = 5.0
# One lost refresh does not make a load unknown.
MAX_REPORT_AGE_SECONDS = 12.0
# A load has changed by this number of flows, or by this fraction of the slots,
# the connections or the usable capacity.
MIN_CHANGED_FLOWS = 1
MIN_CHANGED_FRACTION = 0.05

UNKNOWN_LOAD = Sentinel(
    name='unknown-load',
    reason='no recent load report was received',
)


class _Entry:
    """Hold the latest load of an endpoint and the flows assigned since."""

    __slots__ = ('assigned', 'load')

    def __init__(self, *, load: Load) -> None:
        self.load = load
        self.assigned = 0


class LoadTable:
    """Store the latest load of each endpoint, and the flows assigned since.

    It also holds the agent's own load, which is updated whenever it changes.
    Times are in seconds.
    """

    __slots__ = ('_assigned_count', '_entries')

    def __init__(self) -> None:
        self._entries: dict[Endpoint, _Entry] = {}
        self._assigned_count = 0

    @property
    def assigned_count(self) -> int:
        """Return the number of flows assigned so far."""
        return self._assigned_count

    def update(self, load: Load) -> None:
        """Store a load, unless a newer one of that endpoint is stored."""
        entry = self._entries.get(load.endpoint)
        if entry is None or entry.load.seen_at <= load.seen_at:
            self._entries[load.endpoint] = _Entry(load=load)

    def count_assignment(self, endpoint: Endpoint) -> None:
        """Count a flow that was assigned to an endpoint."""
        self._assigned_count += 1
        entry = self._entries.get(endpoint)
        if entry is not None:
            entry.assigned += 1

    def retain(self, endpoints: Container[Endpoint]) -> None:
        """Remove the loads of all other endpoints."""
        for endpoint in tuple(self._entries):
            if endpoint not in endpoints:
                self._entries.pop(endpoint)

    def find(self, endpoint: Endpoint, now: float) -> Load | Sentinel:
        """Return the latest load, or UNKNOWN_LOAD if it is missing or stale.

        Its flows include those assigned to the endpoint since the report.
        """
        entry = self._entries.get(endpoint)
        if entry is None or now - entry.load.seen_at > MAX_REPORT_AGE_SECONDS:
            return UNKNOWN_LOAD
        if not entry.assigned:
            return entry.load
        return entry.load.replace(flows=entry.load.flows + entry.assigned)

    def utilisation(self, endpoint: Endpoint, now: float) -> float | Sentinel:
        """Return the used fraction of slots or connections, whichever is more.

        Return UNKNOWN_LOAD if the load is missing or stale.
        """
        load = self.find(endpoint, now)
        if isinstance(load, Sentinel):
            return load
        return max(load.slots, load.connections)


class ReportLimiter:
    """Decide when an agent reports its load to its peers.

    ``interval_seconds`` is the minimum time between two reports.
    """

    __slots__ = ('_interval_seconds', '_last_report')

    def __init__(
        self, *, interval_seconds: float = REPORT_INTERVAL_SECONDS
    ) -> None:
        self._interval_seconds = interval_seconds
        self._last_report: Load | None = None

    def due(self, load: Load, now: float) -> bool:
        """Return whether a report is due, and record the load as sent if so."""
        if not self._is_due(load, now):
            return False
        self._last_report = load.replace(seen_at=now)
        return True

    def reset(self) -> None:
        """Make the next report due immediately, for example for new peers."""
        self._last_report = None

    def _is_due(self, load: Load, now: float) -> bool:
        last_report = self._last_report
        if last_report is None:
            return True
        elapsed_seconds = now - last_report.seen_at
        if elapsed_seconds < self._interval_seconds:
            return False
        if elapsed_seconds >= REFRESH_INTERVAL_SECONDS:
            return True
        changed_fraction = max(
            abs(load.slots - last_report.slots),
            abs(load.connections - last_report.connections),
            abs(load.usable - last_report.usable),
        )
        return (
            abs(load.flows - last_report.flows) >= MIN_CHANGED_FLOWS
            or changed_fraction >= MIN_CHANGED_FRACTION
        )
