"""Remember which agent holds each flow that passes a balancer."""

from bluebellfold.relay.agents import Address

# Bounds memory: about 300 bytes a flow.
MAX_FLOWS = 200_000
# What a client may have sent when its first packet after the opening one
# passes: it has 16 packets of 1,200 bytes in flight, and more may be lost.
_FIRST_WINDOW = 1_048_576
_SEQUENCES = 0x100000000


class Assignment:
    """Hold the agent of one flow; ``tried`` declined or did not answer."""

    __slots__ = (
        '_agent',
        '_declines',
        '_goes_on',
        '_opened_at',
        '_opening',
        '_tried',
        '_used_at',
    )

    def __init__(self, *, now: float) -> None:
        self._agent: Address | None = None
        self._tried: set[Address] = set()
        self._used_at = now
        self._opened_at = now
        self._opening: int | None = None
        self._declines = 0
        self._goes_on = False

    @property
    def agent(self) -> Address | None:
        """Return the agent, None while none is chosen."""
        return self._agent

    @property
    def goes_on(self) -> bool:
        """Tell whether the client has heard from an upstream."""
        return self._goes_on

    @property
    def opened_at(self) -> float:
        """Return when the client sent its first opening packet."""
        return self._opened_at

    @property
    def tried(self) -> set[Address]:
        """Return the agents that are not to be offered the flow again."""
        return self._tried

    @property
    def used_at(self) -> float:
        """Return when a packet of the flow last passed."""
        return self._used_at

    def assign(self, agent: Address | None) -> None:
        """Set the agent."""
        self._agent = agent

    @property
    def declines(self) -> int:
        """Return how often agents had no room for the flow."""
        return self._declines

    def take_back(self, agent: Address) -> None:
        """Take the flow from an agent that has no room for it now."""
        self._declines += 1
        if self._agent == agent:
            self._agent = None

    def give_up(self, agent: Address) -> None:
        """Take the flow from an agent that doesn't serve it."""
        self._tried.add(agent)
        if self._agent == agent:
            self._agent = None

    def begin(self, sequence: int, opened_at: float) -> None:
        """Take an opening packet; another sequence means a new flow."""
        if self._opening != sequence:
            self._opening = sequence
            self._opened_at = opened_at
            self._agent = None
            self._declines = 0
            self._goes_on = False
            self._tried.clear()

    def go_on(self, sequence: int) -> bool:
        """Take a later packet; tell whether it is of the flow that opens.

        A late packet of an earlier flow of the client's port is not.
        """
        if self._opening is not None:
            ahead = (sequence - self._opening) % _SEQUENCES
            self._goes_on = self._goes_on or ahead <= _FIRST_WINDOW
        return self._goes_on

    def touch(self, now: float) -> None:
        """Note that a packet passed."""
        self._used_at = now


class FlowCache:
    """Hold assignments by flow; agents know better if one is missing."""

    __slots__ = ('_assignments', '_max_flows')

    def __init__(self, *, max_flows: int = MAX_FLOWS) -> None:
        self._assignments: dict[bytes, Assignment] = {}
        self._max_flows = max_flows

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._assignments)

    def find(self, flow: bytes) -> Assignment | None:
        """Return the assignment of a flow, None if it isn't known."""
        return self._assignments.get(flow)

    def find_or_add(self, flow: bytes, now: float) -> Assignment:
        """Return the assignment of a flow, new if it wasn't known."""
        assignment = self._assignments.get(flow)
        if assignment is not None:
            return assignment
        if len(self._assignments) >= self._max_flows:
            self._assignments.pop(next(iter(self._assignments)))
        assignment = Assignment(now=now)
        self._assignments[flow] = assignment
        return assignment

    def forget(self, flow: bytes) -> None:
        """Remove a flow."""
        self._assignments.pop(flow, None)

    def expire(self, before: float) -> int:
        """Remove flows that were not used since, and return how many."""
        idle = [
            flow
            for flow, assignment in self._assignments.items()
            if assignment.used_at < before
        ]
        for flow in idle:
            self._assignments.pop(flow)
        return len(idle)
