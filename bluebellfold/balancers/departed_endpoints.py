"""Store the endpoints of members that drained and left recently."""

from collections.abc import Iterable

from bluebellfold.core import DRAINING, LEFT, Endpoint, Member

MAX_ENDPOINTS = 4096


class DepartedEndpoints:
    """Store a bounded number of endpoints whose agents drained and left.

    Only agents that announced a drain themselves are included: an agent that
    other processes presumed dead may still be running.

    >>> draining = Member(
    ...     name='agent-1', service=1, zone='a', control_port=1, weight=1,
    ...     endpoint=Endpoint(host='127.0.0.1', port=1), state=DRAINING,
    ...     incarnation=1, sequence=2,
    ... )
    >>> left = draining.replace(state=LEFT, sequence=3)
    >>> departed = DepartedEndpoints()
    >>> departed.record_changes((left,), before=())
    >>> departed.endpoints
    frozenset()
    >>> departed.record_changes((left,), before=(draining,))
    >>> left.endpoint in departed.endpoints
    True
    >>> departed.record_changes((draining.replace(incarnation=2),), before=())
    >>> departed.endpoints
    frozenset()
    """

    __slots__ = ('_endpoints',)

    def __init__(self) -> None:
        self._endpoints: dict[Endpoint, None] = {}

    @property
    def endpoints(self) -> frozenset[Endpoint]:
        """Return the current endpoints."""
        return frozenset(self._endpoints)

    def record_changes(
        self,
        changed: Iterable[Member],
        *,
        before: Iterable[Member],
    ) -> None:
        """Update the endpoints from changed rows and the previous members."""
        drained = {row.name for row in before if row.state == DRAINING}
        present = {row.endpoint for row in changed if row.state != LEFT}
        for row in changed:
            if row.endpoint not in present and row.name in drained:
                self._endpoints[row.endpoint] = None
        for endpoint in present:
            self._endpoints.pop(endpoint, None)
        while len(self._endpoints) > MAX_ENDPOINTS:
            self._endpoints.pop(next(iter(self._endpoints)))
