"""Store the flows of one upstream, and count what is in flight."""

from bluebellfold.relay.upstreams.flows import OFFERED, OPEN, UpstreamFlow


class FlowTable:
    """Store the flows of one upstream by key."""

    __slots__ = ('_flows',)

    def __init__(self) -> None:
        self._flows: dict[bytes, UpstreamFlow] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def in_flight(self, now: float) -> int:
        """Return how many flows are opening or await a response."""
        return sum(flow.is_in_flight(now) for flow in self._flows.values())

    def find(self, key: bytes) -> UpstreamFlow | None:
        """Return a flow, None if the upstream isn't known to hold it."""
        return self._flows.get(key)

    def add(self, key: bytes, *, state: str, now: float) -> UpstreamFlow:
        """Add a new flow, and return it."""
        flow = UpstreamFlow(state=state, now=now)
        self._flows[key] = flow
        return flow

    def remove(self, key: bytes) -> None:
        """Remove a flow, if it is known."""
        self._flows.pop(key, None)

    def clear(self) -> int:
        """Remove all flows, and return how many there were."""
        count = len(self._flows)
        self._flows.clear()
        return count

    def list_offered(self) -> list[tuple[bytes, UpstreamFlow]]:
        """Return the flows with an unanswered opening packet."""
        return [
            (key, flow)
            for key, flow in self._flows.items()
            if flow.state == OFFERED
        ]

    def unanswered(self, before: float) -> list[tuple[bytes, UpstreamFlow]]:
        """Return flows with an unanswered opening packet from before a time."""
        return [
            (key, flow)
            for key, flow in self.list_offered()
            if flow.last_packet_at < before
        ]

    def count_newly_hung(self, before: float) -> int:
        """Count requests from before a time that have no response yet.

        Each request is counted once.
        """
        return sum(flow.mark_hung(before) for flow in self._flows.values())

    def expire(self, *, idle_before: float, half_open_before: float) -> float:
        """Remove idle and half-open flows.

        Return when the last packet of a removed open flow passed, minus
        infinity if none was removed.
        """
        expired = []
        last_packet_at = float('-inf')
        for key, flow in self._flows.items():
            is_open = flow.state == OPEN
            before = idle_before if is_open else half_open_before
            if flow.last_packet_at >= before:
                continue
            expired.append(key)
            if is_open:
                last_packet_at = max(last_packet_at, flow.last_packet_at)
        for key in expired:
            self._flows.pop(key)
        return last_packet_at
