"""Look up the agent of a flow that a balancer doesn't know.

After a balancer fails, joins or restarts, the fabric routes packets of
established flows to balancers that don't know them. The balancer asks the home
agents of the flow, which other balancers have told its owner. Each agent knows
the flows of its own upstream, so if the homes can't tell, the balancer queries
all agents with a few bytes each. Sending the packets themselves to every agent
would saturate a link of low bandwidth.
"""

from collections.abc import Callable, Collection, Iterable

from bluebellfold.core import Packet
from bluebellfold.relay.agents import Address

# A packet of the flow repeats the query if the last one is older than this. The
# owner answers within one round trip; the client retransmits a lost packet
# after 0.2 s.
REPEAT_QUERY_SECONDS = 0.15
# Agents that have neither denied a flow nor presumed it absent are queried
# again after this time, without another packet of the client. After a power
# loss an agent starts some tenths of a second later than another, and the
# client waits up to 1.6 s between two packets.
RETRY_QUERY_SECONDS = 0.4
# An agent that has just restarted doesn't know its flows. Its upstream is
# probed once the other agents have had time to answer.
PROBE_DELAY_SECONDS = 0.03
# A stage of probes gets this time to be answered before the next one begins.
PROBE_STAGE_SECONDS = 0.04
# All agents are queried if no home agent has named the owner by then: several
# round trips between zones.
HOME_TIMEOUT_SECONDS = 0.03
# A flow that at most this many agents only presume absent is confirmed by
# sending its packet to their upstreams. After a power loss all agents presume
# it, and the packets of thousands of flows to every upstream would delay new
# flows by seconds.
MAX_CONFIRMED_AGENTS = 3
# A client has at most 16 packets in flight.
MAX_QUEUED_PACKETS = 16
# The next packet of the flow then starts a new lookup.
LOOKUP_TIMEOUT_SECONDS = 2.0


class PendingLookup:
    """Hold the agents' answers about one flow, and its queued packets.

    A lookup goes through these steps, until an agent answers that it holds the
    flow, all have denied it, or it times out:

    - The home agents are queried (``begin_at_homes``).
    - If they don't know the owner, or are late, all agents are queried
      (``extend_to_all``), and again with a later packet of the client
      (``detect_repeat_due``). Those without an answer are also queried again by
      time (``detect_retry_due``).
    - The upstreams of uncertain agents are probed by the first queued packet,
      in stages (``pop_probes``).
    - What few agents presume is confirmed in the same way
      (``begin_confirmation``).
    """

    __slots__ = (
        '_awaited_agent',
        '_homes',
        '_not_found',
        '_presumed_absent',
        '_probe_due',
        '_probed',
        '_queried_at',
        '_queued_packets',
        '_retried_at',
        '_started_at',
        '_uncertain',
        '_unqueried',
    )

    def __init__(self, *, now: float) -> None:
        self._homes: tuple[Address, ...] = ()
        self._started_at = now
        self._probe_due = now
        self._probed: set[Address] = set()
        self._queried_at = now
        self._retried_at = now
        self._not_found: set[Address] = set()
        self._presumed_absent: set[Address] = set()
        self._uncertain: set[Address] = set()
        self._queued_packets: list[Packet] = []
        # In reverse order, so that the next one is taken from the end.
        self._unqueried: list[Address] = []
        self._awaited_agent: Address | None = None

    @property
    def awaited_agent(self) -> Address | None:
        """Return an agent that had not answered, None if none is known."""
        return self._awaited_agent

    @property
    def started_at(self) -> float:
        """Return when the first packet of the lookup arrived."""
        return self._started_at

    @property
    def queued_packets(self) -> list[Packet]:
        """Return the packets to forward to the owner."""
        return self._queued_packets

    @property
    def acknowledged(self) -> int:
        """Return the acknowledgement number of the first queued packet."""
        return self._queued_packets[0].acknowledged

    @property
    def asks_homes(self) -> bool:
        """Return whether only the home agents have been queried."""
        return bool(self._homes)

    def begin_at_homes(self, homes: tuple[Address, ...]) -> None:
        """Record that only the home agents are queried so far."""
        self._homes = homes

    def extend_to_all(self, now: float) -> None:
        """Record that all agents are queried now."""
        self._homes = ()
        self._queried_at = now
        self._retried_at = now

    def begin_queries(self, agents: Iterable[Address]) -> None:
        """Record which agents to query, in order."""
        self._unqueried = list(agents)
        self._unqueried.reverse()

    def pop_unqueried(self, limit: int, now: float) -> list[Address]:
        """Remove and return the next agents to query.

        Those that have answered already are left out.
        """
        if not limit or not self._unqueried or self.is_expired(now):
            return []
        self._retried_at = now
        popped: list[Address] = []
        while self._unqueried and len(popped) < limit:
            agent = self._unqueried.pop()
            if self.needs_query(agent):
                popped.append(agent)
        return popped

    def await_agent(self, agent: Address) -> None:
        """Record an agent that has not answered."""
        self._awaited_agent = agent

    def homes_failed(self, now: float) -> bool:
        """Return whether the home agents don't know the owner, or are late."""
        if not self._homes:
            return False
        late = now - self._queried_at >= HOME_TIMEOUT_SECONDS
        return late or self._not_found.issuperset(self._homes)

    def is_expired(self, now: float) -> bool:
        """Return whether the lookup has timed out."""
        return now - self._started_at > LOOKUP_TIMEOUT_SECONDS

    def enqueue(self, packet: Packet) -> None:
        """Queue a packet, or drop it if the queue is full."""
        if len(self._queued_packets) < MAX_QUEUED_PACKETS:
            self._queued_packets.append(packet)

    def detect_repeat_due(self, now: float) -> bool:
        """Return whether the query is to be repeated; restart its interval."""
        if self._unqueried or now - self._queried_at < REPEAT_QUERY_SECONDS:
            return False
        self._queried_at = now
        return True

    def detect_retry_due(self, now: float) -> bool:
        """Return whether agents without an answer are to be queried again.

        Restart the interval if they are.
        """
        if self._homes or self._unqueried or self.is_expired(now):
            return False
        if now - self._retried_at < RETRY_QUERY_SECONDS:
            return False
        self._retried_at = now
        return True

    def record_not_found(self, agent: Address) -> None:
        """Record that an agent's upstream doesn't hold the flow."""
        self._not_found.add(agent)
        self._presumed_absent.discard(agent)
        self._uncertain.discard(agent)

    def record_presumed_absent(self, agent: Address) -> None:
        """Record that an agent presumes that its upstream lacks the flow."""
        if agent not in self._not_found:
            self._presumed_absent.add(agent)

    def record_uncertain(self, agent: Address) -> None:
        """Record that an agent doesn't know whether it holds the flow."""
        if agent not in self._not_found:
            self._uncertain.add(agent)

    def has_denied(self, agent: Address) -> bool:
        """Return whether an agent has reported that it lacks the flow."""
        return agent in self._not_found

    def needs_query(self, agent: Address) -> bool:
        """Return whether an agent has neither denied nor presumed so far."""
        return not (agent in self._not_found or agent in self._presumed_absent)

    def is_not_found_at(self, agents: Collection[Address]) -> bool:
        """Return whether all the agents deny the flow or presume it absent."""
        return (self._not_found | self._presumed_absent).issuperset(agents)

    def begin_confirmation(self) -> bool:
        """Let the upstreams confirm the absence that few agents presume.

        Return whether there is anything to confirm.
        """
        if not 0 < len(self._presumed_absent) <= MAX_CONFIRMED_AGENTS:
            return False
        self._uncertain |= self._presumed_absent
        self._presumed_absent.clear()
        return True

    def are_probes_due(self, now: float) -> bool:
        """Return whether uncertain agents are to be probed now."""
        due = max(self._queried_at + PROBE_DELAY_SECONDS, self._probe_due)
        return now >= due and bool(self._uncertain)

    def pop_probes(
        self, now: float, stage_of: Callable[[Address], int]
    ) -> tuple[Address, ...]:
        """Remove and return the uncertain agents of the first stage.

        Those that were probed before come last: they are uncertain again after
        each query, and an upstream that stands still would hold up the others.
        """
        stages = {
            agent: (agent in self._probed, stage_of(agent))
            for agent in self._uncertain
        }
        first = min(stages.values())
        probed = sorted(agent for agent in stages if stages[agent] == first)
        self._uncertain.difference_update(probed)
        self._probed.update(probed)
        self._probe_due = now + PROBE_STAGE_SECONDS
        return tuple(probed)


class PendingLookups:
    """Hold the pending lookups by flow."""

    __slots__ = ('_by_flow',)

    def __init__(self) -> None:
        self._by_flow: dict[bytes, PendingLookup] = {}

    def __len__(self) -> int:
        """Return the number of lookups."""
        return len(self._by_flow)

    def find(self, flow: bytes) -> PendingLookup | None:
        """Return the lookup of a flow, None if there is none."""
        return self._by_flow.get(flow)

    def start(self, flow: bytes, now: float) -> PendingLookup:
        """Start a lookup of a flow, and return it."""
        lookup = PendingLookup(now=now)
        self._by_flow[flow] = lookup
        return lookup

    def end(self, flow: bytes) -> tuple[Packet, ...]:
        """Remove a lookup, and return its queued packets."""
        lookup = self._by_flow.pop(flow, None)
        return () if lookup is None else tuple(lookup.queued_packets)

    def list_pending(self) -> tuple[tuple[bytes, PendingLookup], ...]:
        """Return all lookups with their flows."""
        return tuple(self._by_flow.items())

    def expire(self, now: float) -> int:
        """Remove lookups that have timed out, and return how many."""
        expired = [
            flow
            for flow, lookup in self._by_flow.items()
            if lookup.is_expired(now)
        ]
        for flow in expired:
            self._by_flow.pop(flow)
        return len(expired)
