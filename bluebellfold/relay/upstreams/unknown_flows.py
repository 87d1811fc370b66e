"""Decide whether an upstream may hold flows that the flow table lacks.

A balancer resets a flow once every agent has denied it, so an agent denies a
flow on evidence only. While it has none, it sends the packets of the flow to
the upstream, which returns what it doesn't hold.
"""

from bluebellfold.core import Record, Sentinel, read_only

_NEVER = float('-inf')


class Denial(Record):
    """State on which evidence the upstream holds no unknown flow."""

    __slots__ = ('_evidence',)

    evidence: str = read_only('_evidence')

    def __init__(self, *, evidence: str) -> None:
        self._evidence = evidence


IDLE_TIME_PASSED = Denial(evidence='idle-time-passed')
PORT_CLOSED = Denial(evidence='port-closed')
STARTED_LATER = Denial(evidence='upstream-started-later')
UPSTREAM_DOWN = Denial(evidence='upstream-down')

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
    """

    __slots__ = ('_doubt', '_evidence', '_no_packet_since')

    def __init__(self, *, now: float) -> None:
        self._no_packet_since = now
        self._doubt = AGENT_STARTED
        self._evidence = IDLE_TIME_PASSED

    def judge(self, now: float, *, idle_seconds: float) -> Denial | Sentinel:
        """Return a Denial if the upstream holds no unknown flow, else why not.

        ``idle_seconds`` is the time after which flows expire at present.
        """
        if now - self._no_packet_since > idle_seconds:
            return self._evidence
        return self._doubt

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
