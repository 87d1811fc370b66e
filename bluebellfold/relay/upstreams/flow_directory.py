"""Remember for balancers which agents hold flows.

Load pattern: a balancer that was replaced or restarted gets packets of all its
former flows at once, and asking every agent about each would cost a multiple
of the packets. Balancers tell each flow's owner to two home agents of the flow,
which they find by hashing, and look the flow up there.

An entry is a hint. The owner itself decides whether its upstream holds the
flow.
"""

from bluebellfold.relay.agents import Address

# Balancers repeat an entry every 15 s while packets of the flow pass.
ENTRY_SECONDS = 45.0
# Limits memory to about 25 MB.
MAX_ENTRIES = 100_000


class FlowDirectory:
    """Hold the owners of flows whose home is this agent."""

    __slots__ = ('_entries', '_max_entries')

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries: dict[bytes, tuple[Address, float]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def record(self, flow: bytes, owner: Address, now: float) -> None:
        """Record the owner of a flow; a full directory drops the oldest."""
        # Entries stay in the order in which they were recorded.
        self._entries.pop(flow, None)
        if len(self._entries) >= self._max_entries:
            self._entries.pop(next(iter(self._entries)))
        self._entries[flow] = (owner, now)

    def find(self, flow: bytes) -> Address | None:
        """Return the owner of a flow, None if it isn't known."""
        entry = self._entries.get(flow)
        return None if entry is None else entry[0]

    def expire(self, now: float) -> int:
        """Remove entries that were not repeated, and return how many."""
        expired = 0
        for flow, (_, recorded_at) in tuple(self._entries.items()):
            if now - recorded_at <= ENTRY_SECONDS:
                break
            self._entries.pop(flow)
            expired += 1
        return expired
