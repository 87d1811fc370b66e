"""Find the agent of a flow that a balancer doesn't know.

Answers balancers that died, joined or restarted: the fabric then brings the
packets of open flows to a balancer that never saw them. Each agent knows
which flows its upstream holds, so all are asked, in a few bytes each: the
packets themselves would choke a thin link, once for each agent.
"""

from collections.abc import Collection

from bluebellfold.core import Packet
from bluebellfold.relay.agents import Address

# The owner answers within one round trip; a lost packet is sent again by its
# client after 0.2 s.
ASK_AGAIN_SECONDS = 0.15
# An agent that has just restarted doesn't know its flows: its upstream is
# tried once those that know theirs have had time to answer.
TRY_SECONDS = 0.03
# A client has at most 16 packets in flight.
MAX_PACKETS_KEPT = 16
SEARCH_SECONDS = 2.0


class Search:
    """Hold who was asked for a flow, what they answered, and what waits."""

    __slots__ = ('_asked_at', '_denied', '_kept', '_started_at', '_unsure')

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._asked_at = now
        self._denied: set[Address] = set()
        self._unsure: set[Address] = set()
        self._kept: list[Packet] = []

    @property
    def kept(self) -> list[Packet]:
        """Return the packets that wait for the owner."""
        return self._kept

    def is_over(self, now: float) -> bool:
        """Tell whether nobody answered for so long that it begins anew."""
        return now - self._started_at > SEARCH_SECONDS

    def keep(self, packet: Packet) -> None:
        """Let a packet wait."""
        if len(self._kept) < MAX_PACKETS_KEPT:
            self._kept.append(packet)

    def ask_again(self, now: float) -> bool:
        """Tell whether it is time to ask again, and note it."""
        if now - self._asked_at < ASK_AGAIN_SECONDS:
            return False
        self._asked_at = now
        return True

    def deny(self, agent: Address) -> None:
        """Note that an agent's upstream doesn't hold the flow."""
        self._denied.add(agent)
        self._unsure.discard(agent)

    def doubt(self, agent: Address) -> None:
        """Note that an agent can't tell."""
        if agent not in self._denied:
            self._unsure.add(agent)

    def is_denied_by(self, agents: Collection[Address]) -> bool:
        """Tell whether all of some agents deny the flow."""
        return self._denied.issuperset(agents)

    def take_unsure(self, now: float) -> tuple[Address, ...]:
        """Return the agents whose upstreams are to be tried, once each."""
        if now - self._asked_at < TRY_SECONDS:
            return ()
        unsure = tuple(sorted(self._unsure))
        self._unsure.clear()
        return unsure


class Searches:
    """Hold the searches under way by flow."""

    __slots__ = ('_by_flow',)

    def __init__(self) -> None:
        self._by_flow: dict[bytes, Search] = {}

    def __len__(self) -> int:
        """Return the number of searches."""
        return len(self._by_flow)

    def find(self, flow: bytes) -> Search | None:
        """Return the search for a flow, None if there is none."""
        return self._by_flow.get(flow)

    def start(self, flow: bytes, now: float) -> Search:
        """Return a new search for a flow."""
        search = Search(now=now)
        self._by_flow[flow] = search
        return search

    def end(self, flow: bytes) -> tuple[Packet, ...]:
        """End a search, and return the packets that it kept."""
        search = self._by_flow.pop(flow, None)
        return () if search is None else tuple(search.kept)

    def under_way(self) -> tuple[Search, ...]:
        """Return all searches."""
        return tuple(self._by_flow.values())

    def expire(self, now: float) -> int:
        """End the searches that nobody answered, and return how many."""
        over = [
            flow
            for flow, search in self._by_flow.items()
            if search.is_over(now)
        ]
        for flow in over:
            self._by_flow.pop(flow)
        return len(over)
