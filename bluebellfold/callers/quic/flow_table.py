"""Look up flows by the connection ids of their packets."""

from collections.abc import Iterator

from bluebellfold.callers.quic.flow import Flow


class FlowTable:
    """Map all connection ids of an agent's flows to the flows."""

    __slots__ = ('_by_id', '_flows', '_ids_of')

    def __init__(self) -> None:
        self._by_id: dict[bytes, Flow] = {}
        self._flows: dict[bytes, Flow] = {}
        self._ids_of: dict[bytes, tuple[bytes, ...]] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        """Iterate over a snapshot of the flows."""
        return iter(tuple(self._flows.values()))

    def add(self, flow: Flow) -> None:
        """Add a flow under its original and its issued connection ids."""
        self._flows[flow.key] = flow
        self._by_id[flow.key] = flow
        self._ids_of[flow.key] = ()
        self.update_ids(flow)

    def update_ids(self, flow: Flow) -> None:
        """Update the ids that the flow has issued or retired."""
        current = flow.connection_ids
        known = self._ids_of[flow.key]
        if current == known:
            return
        for retired in set(known).difference(current):
            self._by_id.pop(retired, None)
        for issued in current:
            self._by_id[issued] = flow
        self._ids_of[flow.key] = current

    def find(self, connection_id: bytes) -> Flow | None:
        """Return the flow with this connection id, if any."""
        return self._by_id.get(connection_id)

    def find_by_key(self, flow_key: bytes) -> Flow | None:
        """Return the flow with this original connection id, if any."""
        return self._flows.get(flow_key)

    def remove(self, flow: Flow) -> None:
        """Remove a flow and its connection ids."""
        if self._flows.pop(flow.key, None) is None:
            return
        self._by_id.pop(flow.key, None)
        for issued in self._ids_of.pop(flow.key):
            self._by_id.pop(issued, None)
