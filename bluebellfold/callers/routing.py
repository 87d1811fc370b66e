"""Decide which agent a caller's datagram goes to."""

from bluebellfold.agents import FailureDetector, Ranking, Token
from bluebellfold.callers.invariants import CallerHeader
from bluebellfold.callers.limits import TOO_MANY_FLOWS, FlowLimiter
from bluebellfold.callers.messages import AddressChanged, Route
from bluebellfold.core import Endpoint, Sentinel

SHORTEST_FLOW_KEY_BYTES = 8

WRONG_ADDRESS = Sentinel(
    name='wrong-address',
    reason='the token was issued for a flow of another address',
)
AGENT_GONE = Sentinel(
    name='agent-gone',
    reason='the agent of the flow has left',
)
NO_UPSTREAM = Sentinel(
    name='no-upstream',
    reason='no upstream of the service takes new flows',
)
SHORT_FLOW_KEY = Sentinel(
    name='short-flow-key',
    reason='the connection id of the first flight is under 8 bytes',
)


class Router:
    """Route the datagrams of one address without state for a flow."""

    # The address and the departed stand apart: they are read at each packet.
    __slots__ = (
        '_address',
        '_change',
        '_departed',
        '_limiter',
        '_liveness',
        '_ranking',
    )

    def __init__(
        self,
        *,
        change: AddressChanged,
        liveness: FailureDetector,
        now: float,
    ) -> None:
        self._liveness = liveness
        self._limiter = FlowLimiter(
            flows_per_second=change.kind.first_flights_per_second,
            now=now,
        )
        self._change = change
        self._address = change.kind.number
        self._departed = change.departed
        self._ranking = Ranking(change.members)
        liveness.update_members(change.members)

    def change(self, change: AddressChanged, *, now: float) -> None:
        """Adopt another kind, service or set of members."""
        rate = change.kind.first_flights_per_second
        if rate != self._change.kind.first_flights_per_second:
            self._limiter = FlowLimiter(flows_per_second=rate, now=now)
        if change.members != self._change.members:
            self._ranking = Ranking(change.members)
            self._liveness.update_members(change.members)
        self._change = change
        self._address = change.kind.number
        self._departed = change.departed

    def route_by_token(self, token: Token) -> Endpoint | Sentinel:
        """Return the agent of an established flow, or why it has none.

        A token is authentic, so it names an agent of ours even where this
        balancer has not heard of that agent yet; one that said that it left
        has closed its flows.
        """
        if token.address != self._address:
            return WRONG_ADDRESS
        agent = token.agent
        if self._departed and agent in self._departed:
            return AGENT_GONE
        return agent

    def route_first_flight(
        self,
        header: CallerHeader,
        *,
        now: float,
    ) -> Route | Sentinel:
        """Return who may take a new flow, or why nobody does."""
        if len(header.connection_id) < SHORTEST_FLOW_KEY_BYTES:
            return SHORT_FLOW_KEY
        if not self._limiter.admit(now=now):
            return TOO_MANY_FLOWS
        return self._rank(header.connection_id, now)

    def _rank(self, flow_key: bytes, now: float) -> Route | Sentinel:
        ranked = self._ranking.rank(
            flow_key,
            self._change.candidates,
            self._liveness.suspected(now),
        )
        if not ranked:
            return NO_UPSTREAM
        candidates = tuple(member.endpoint for member in ranked)
        self._liveness.record_sent(candidates[0], now)
        return Route(agent=candidates[0], candidates=candidates)
