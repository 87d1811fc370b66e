"""Decide whether an upstream may hold flows that the flow table lacks.

A balancer resets a flow once every agent has denied it, so an agent denies a
flow on evidence only. While it has none, it sends the packets of the flow to
the upstream, which returns what it doesn't hold.

Load pattern: after a power loss, clients send packets of thousands of flows
that no longer exist. Forwarding all of them from every balancer to each
upstream would delay new flows by seconds. An agent remembers what its upstream
returned, so that each such flow costs each upstream one packet. It presumes
that they are all absent if its upstream seems to have started after it and no
balancer has offered flows to an earlier agent at its address. The start times
alone are no evidence, since clocks are set back and forth: flows of an upstream
that started before its agent were offered to an earlier agent, by balancers
that count their offers. Balancers that have restarted count none, so that a
balancer confirms what few agents presume by a packet of the flow. An agent
whose upstream is silent since the agent's start presumes it as well.
"""

from bluebellfold.core import Record, Sentinel, read_only

# Limits memory to about 3 MB.
MAX_RETURNED_FLOWS = 20_000
_NEVER = float('-inf')


class Denial(Record):
    """State on which evidence the upstream holds no unknown flow.

    ``presumed`` marks evidence that may be wrong: wall clocks were set while
    every process that knew better was restarted, or an upstream stands still
    that holds flows.
    """

    __slots__ = ('_evidence', '_presumed')

    evidence: str = read_only('_evidence')
    presumed: bool = read_only('_presumed')

    def __init__(self, *, evidence: str, presumed: bool = False) -> None:
        self._evidence = evidence
        self._presumed = presumed


IDLE_TIME_PASSED = Denial(evidence='idle-time-passed')
PORT_CLOSED = Denial(evidence='port-closed')
RETURNED = Denial(evidence='returned-by-upstream')
SILENT = Denial(evidence='upstream-silent', presumed=True)
STARTED_LATER = Denial(evidence='upstream-started-later', presumed=True)

AGENT_STARTED = Sentinel(
    name='agent-started',
    reason='flows may be open from before the start of the agent',
)
UPSTREAM_RESTARTED = Sentinel(
    name='upstream-restarted',
    reason='flows may have opened before the restart was announced',
)
IDLE_TIME_RAISED = Sentinel(
    name='idle-time-raised',
    reason='flows were removed after the idle time that was in force before',
)


class UnknownFlows:
    """Hold what is known of the upstream's flows outside the flow table.

    Each gap in the table has a moment: flows in the gap have had no packet
    since. Once the idle time in force has passed since the latest such moment,
    they have expired.

    All opening packets pass the agent. A flow that the upstream has returned
    can't open there until the agent offers it again, or the upstream answers
    an earlier offer late.
    """

    __slots__ = (
        '_doubt',
        '_evidence',
        '_max_returned',
        '_no_packet_since',
        '_predecessor_offers',
        '_returned',
        '_silent',
        '_started_later',
    )

    def __init__(
        self, *, now: float, max_returned: int = MAX_RETURNED_FLOWS
    ) -> None:
        self._max_returned = max_returned
        # In the order in which they were returned.
        self._returned: dict[bytes, None] = {}
        # The offers to earlier agents, as far as balancers told; None if none
        # of them has subscribed yet.
        self._predecessor_offers: int | None = None
        self._silent = False
        self._started_later = False
        self._no_packet_since = now
        self._doubt = AGENT_STARTED
        self._evidence = IDLE_TIME_PASSED

    def judge(
        self, flow: bytes, now: float, *, idle_seconds: float
    ) -> Denial | Sentinel:
        """Return a Denial if the upstream doesn't hold a flow, else why not.

        The flow isn't in the flow table. ``idle_seconds`` is the time after
        which flows expire at present.
        """
        if flow in self._returned:
            return RETURNED
        if now - self._no_packet_since > idle_seconds:
            return self._evidence
        if self._silent:
            return SILENT
        is_only_doubt = self._doubt is AGENT_STARTED and self._started_later
        if is_only_doubt and self._predecessor_offers == 0:
            return STARTED_LATER
        return self._doubt

    def record_started_later(self) -> None:
        """Record that the upstream seems to have started after the agent."""
        self._started_later = True

    def record_subscriber(
        self, *, offers_sent: int, offers_received: int
    ) -> None:
        """Record how many flows a new subscriber has offered to this address.

        Those that this agent hasn't received went to earlier agents.
        """
        missed = max(offers_sent - offers_received, 0)
        self._predecessor_offers = (self._predecessor_offers or 0) + missed

    def record_silent(self, *, silent: bool) -> None:
        """Record whether the upstream is silent since the agent's start.

        It seems to have left, but may also stand still.
        """
        self._silent = silent

    def record_returned(self, flow: bytes) -> None:
        """Record that the upstream has returned or reset an unknown flow."""
        self._returned[flow] = None
        if len(self._returned) > self._max_returned:
            self._returned.pop(next(iter(self._returned)))

    def forget_returned(self, flow: bytes) -> None:
        """Forget that a flow was returned: the upstream may hold it now.

        It is offered to the upstream, or the upstream has sent its packet.
        """
        self._returned.pop(flow, None)

    def record_no_flows(self, evidence: Denial) -> None:
        """Record that the upstream holds no flow at this moment."""
        self._no_packet_since = _NEVER
        self._evidence = evidence

    def record_cleared(self, now: float, doubt: Sentinel) -> None:
        """Record that the flow table was cleared while flows may be open."""
        self._record_gap(now, doubt)

    def record_expired(self, last_packet_at: float) -> None:
        """Record that flows without a packet since a moment were removed."""
        if last_packet_at > self._no_packet_since:
            self._record_gap(last_packet_at, IDLE_TIME_RAISED)

    def _record_gap(self, no_packet_since: float, doubt: Sentinel) -> None:
        self._no_packet_since = no_packet_since
        self._doubt = doubt
        self._evidence = IDLE_TIME_PASSED
