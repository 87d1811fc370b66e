"""Hold the flows of one upstream, and count what it has to do."""

from bluebellfold.relay.upstreams.flows import OFFERED, OPEN, UpstreamFlow


class FlowTable:
    """Hold the flows of one upstream."""

    __slots__ = ('_flows',)

    def __init__(self) -> None:
        self._flows: dict[bytes, UpstreamFlow] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def busy(self, now: float) -> int:
        """Return how many flows open or wait for an answer."""
        return sum(flow.is_busy(now) for flow in self._flows.values())

    def find(self, key: bytes) -> UpstreamFlow | None:
        """Return a flow, None if the upstream isn't known to hold it."""
        return self._flows.get(key)

    def add(self, key: bytes, *, state: str, now: float) -> UpstreamFlow:
        """Return a new flow."""
        flow = UpstreamFlow(state=state, now=now)
        self._flows[key] = flow
        return flow

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        self._flows.pop(key, None)

    def clear(self) -> int:
        """Forget all flows, and return how many there were."""
        count = len(self._flows)
        self._flows.clear()
        return count

    def unanswered(self, before: float) -> list[tuple[bytes, UpstreamFlow]]:
        """Return flows whose opening packet got no answer since a moment."""
        return [
            (key, flow)
            for key, flow in self._flows.items()
            if flow.state == OFFERED and flow.used_at < before
        ]

    def count_hanging(self, before: float) -> int:
        """Return how many requests hang that didn't at the last call."""
        return sum(flow.notice_hanging(before) for flow in self._flows.values())

    def expire(self, *, idle_before: float, half_open_before: float) -> int:
        """Forget idle flows and those that never opened; return how many."""
        over = []
        for key, flow in self._flows.items():
            before = idle_before if flow.state == OPEN else half_open_before
            if flow.used_at < before:
                over.append(key)
        for key in over:
            self._flows.pop(key)
        return len(over)
