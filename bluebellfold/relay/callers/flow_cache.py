"""Cache which agent holds each flow that passes a balancer."""

from bluebellfold.core import Packet
from bluebellfold.relay.agents import Address

# Limits memory to about 60 MB: a flow takes about 300 bytes.
MAX_FLOWS = 200_000
# Upper bound of the bytes that a client has sent when its first packet after
# the opening one arrives: it has 16 packets of 1,200 bytes in flight, and more
# may have been lost.
_FIRST_WINDOW_BYTES = 1_048_576
_SEQUENCE_RANGE = 0x100000000
# Flows of a single request end before this age, and home agents needn't know
# their owners.
LONG_FLOW_SECONDS = 1.0
# How often the owner of a flow in use is told to its home agents again.
REGISTRATION_SECONDS = 15.0


class Assignment:
    """Hold the agent of one flow, and the state of its opening.

    ``excluded_agents`` were unreachable, did not open the flow in time, or
    declined it for a reason other than a lack of capacity.
    """

    __slots__ = (
        '_agent',
        '_declines',
        '_excluded_agents',
        '_has_ended',
        '_is_established',
        '_last_used_at',
        '_may_have_run',
        '_opened_at',
        '_opening_sequence',
        '_registered_at',
    )

    def __init__(self, *, now: float) -> None:
        self._agent: Address | None = None
        self._excluded_agents: set[Address] = set()
        self._last_used_at = now
        self._opened_at = now
        self._opening_sequence: int | None = None
        self._declines = 0
        self._is_established = False
        self._has_ended = False
        self._may_have_run = False
        self._registered_at: float | None = None

    @property
    def agent(self) -> Address | None:
        """Return the agent, None while none is assigned."""
        return self._agent

    @property
    def is_established(self) -> bool:
        """Return whether the client has received a packet of an upstream."""
        return self._is_established

    @property
    def may_have_run(self) -> bool:
        """Return whether an agent may have accepted the flow unnoticed.

        The client's next opening packet shows that it has had no answer.
        """
        return self._may_have_run

    @property
    def opened_at(self) -> float:
        """Return when the client sent its first opening packet."""
        return self._opened_at

    @property
    def excluded_agents(self) -> set[Address]:
        """Return the agents that are not offered the flow again."""
        return self._excluded_agents

    @property
    def last_used_at(self) -> float:
        """Return when the last packet of the flow passed."""
        return self._last_used_at

    def assign(self, agent: Address | None) -> None:
        """Assign the flow to an agent."""
        self._agent = agent

    @property
    def declines(self) -> int:
        """Return how often agents declined the flow for lack of capacity."""
        return self._declines

    def unassign(self, agent: Address) -> None:
        """Unassign an agent that lacks capacity, and count the decline."""
        self._declines += 1
        if self._agent == agent:
            self._agent = None

    def exclude(self, agent: Address) -> None:
        """Unassign an agent, and exclude it from further offers of the flow."""
        self._excluded_agents.add(agent)
        if self._agent == agent:
            self._agent = None

    def expect_answer(self) -> None:
        """Record that an agent may have accepted the flow unnoticed."""
        self._may_have_run = True

    def give_up_offer(self, agent: Address) -> None:
        """Exclude an agent that may have accepted the flow unnoticed."""
        self.expect_answer()
        self.exclude(agent)

    def record_opening(self, sequence: int, opened_at: float) -> None:
        """Record an opening packet.

        Another sequence number than before means that the client has reused
        its port for a new flow.
        """
        self._may_have_run = False
        if self._opening_sequence != sequence:
            self._opening_sequence = sequence
            self._opened_at = opened_at
            self._agent = None
            self._declines = 0
            self._is_established = False
            self._has_ended = False
            self._registered_at = None
            self._excluded_agents.clear()

    def is_opened_by(self, packet: Packet) -> bool:
        """Tell whether a packet is the last opening packet or a copy of it.

        The opening packet of a flow that a lookup found isn't known.
        """
        return self._opening_sequence == packet.sequence

    def mark_established(self, sequence: int) -> bool:
        """Record a later packet, and return whether the flow is established.

        A delayed packet of an earlier flow from the same client port doesn't
        establish the flow: its sequence number is outside the first window.
        """
        if self._opening_sequence is not None:
            ahead = (sequence - self._opening_sequence) % _SEQUENCE_RANGE
            self._is_established = (
                self._is_established or ahead <= _FIRST_WINDOW_BYTES
            )
        return self._is_established

    def touch(self, now: float) -> None:
        """Record that a packet of the flow passed."""
        self._last_used_at = now

    def mark_ended(self) -> None:
        """Record that the client has ended the flow."""
        self._has_ended = True

    def detect_registration_due(self, now: float) -> bool:
        """Return whether the owner is to be told to home agents now.

        A flow that was found by a lookup is established, though its opening
        packet was never seen.
        """
        opening = self._opening_sequence is not None
        if opening and not self._is_established:
            return False
        if self._agent is None or self._has_ended:
            return False
        registered_at = self._registered_at
        if registered_at is None:
            due = now - self._opened_at >= LONG_FLOW_SECONDS
        else:
            due = now - registered_at >= REGISTRATION_SECONDS
            due = due and self._last_used_at > registered_at
        if due:
            self._registered_at = now
        return due


class FlowCache:
    """Hold assignments by flow.

    An evicted flow is not lost: its agent is found by a lookup.
    """

    __slots__ = ('_assignments', '_max_flows')

    def __init__(self, *, max_flows: int = MAX_FLOWS) -> None:
        self._assignments: dict[bytes, Assignment] = {}
        self._max_flows = max_flows

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._assignments)

    def find(self, flow: bytes) -> Assignment | None:
        """Return the assignment of a flow, None if it isn't cached."""
        return self._assignments.get(flow)

    def find_or_add(self, flow: bytes, now: float) -> Assignment:
        """Return the assignment of a flow, or add an empty one.

        A full cache evicts the flow that was added first.
        """
        assignment = self._assignments.get(flow)
        if assignment is not None:
            return assignment
        if len(self._assignments) >= self._max_flows:
            self._assignments.pop(next(iter(self._assignments)))
        assignment = Assignment(now=now)
        self._assignments[flow] = assignment
        return assignment

    def list_unregistered(self, now: float) -> list[tuple[bytes, Address]]:
        """Return the flows to be told to home agents now, and their owners."""
        return [
            (flow, assignment.agent)
            for flow, assignment in self._assignments.items()
            if assignment.detect_registration_due(now)
            and assignment.agent is not None
        ]

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        self._assignments.pop(flow, None)

    def expire(self, before: float) -> int:
        """Remove flows last used before a time, and return how many."""
        idle = [
            flow
            for flow, assignment in self._assignments.items()
            if assignment.last_used_at < before
        ]
        for flow in idle:
            self._assignments.pop(flow)
        return len(idle)
