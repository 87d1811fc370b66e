"""Decide which agent the datagram of a client is forwarded to."""

from bluebellfold.agents import FailureDetector, Ranking, Token
from bluebellfold.callers.invariants import PacketHeader
from bluebellfold.callers.limits import TOO_MANY_FLOWS, RateLimiter
from bluebellfold.callers.messages import AddressChanged, Route
from bluebellfold.core import Endpoint, Sentinel

# RFC 9000 requires at least 8 bytes in the connection id of a first flight.
MIN_FLOW_KEY_BYTES = 8

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
    reason='no upstream of the service admits new flows',
)
SHORT_FLOW_KEY = Sentinel(
    name='short-flow-key',
    reason='the connection ID of the first flight is under 8 bytes',
)


class Router:
    """Route the datagrams of one address without state per flow."""

    # _address and _departed are copied out of the latest change, because they
    # are read for each packet.
    __slots__ = (
        '_address',
        '_departed',
        '_failure_detector',
        '_latest_change',
        '_limiter',
        '_ranking',
    )

    def __init__(
        self,
        *,
        change: AddressChanged,
        failure_detector: FailureDetector,
        now: float,
    ) -> None:
        self._failure_detector = failure_detector
        self._limiter = RateLimiter(
            rate_per_second=change.kind.first_flights_per_second,
            now=now,
        )
        self._latest_change = change
        self._address = change.kind.number
        self._departed = change.departed
        self._ranking = Ranking(change.members)
        failure_detector.update_members(change.members)

    def update(self, change: AddressChanged, *, now: float) -> None:
        """Replace the kind, the service and the members of the address."""
        rate = change.kind.first_flights_per_second
        if rate != self._latest_change.kind.first_flights_per_second:
            self._limiter = RateLimiter(rate_per_second=rate, now=now)
        if change.members != self._latest_change.members:
            self._ranking = Ranking(change.members)
            self._failure_detector.update_members(change.members)
        self._latest_change = change
        self._address = change.kind.number
        self._departed = change.departed

    def route_by_token(self, token: Token) -> Endpoint | Sentinel:
        """Return the agent of an established flow, or why there is none.

        Tokens are authenticated, so the agent is valid even if this balancer
        does not have it as a member yet. An agent that announced that it
        left has closed its flows.
        """
        if token.address != self._address:
            return WRONG_ADDRESS
        agent = token.agent
        if self._departed and agent in self._departed:
            return AGENT_GONE
        return agent

    def route_first_flight(
        self,
        header: PacketHeader,
        *,
        now: float,
    ) -> Route | Sentinel:
        """Return the candidates for a new flow, or why there are none."""
        if len(header.connection_id) < MIN_FLOW_KEY_BYTES:
            return SHORT_FLOW_KEY
        if not self._limiter.admit(now=now):
            return TOO_MANY_FLOWS
        return self._rank(header.connection_id, now)

    def _rank(self, flow_key: bytes, now: float) -> Route | Sentinel:
        ranked = self._ranking.rank(
            flow_key,
            self._latest_change.candidates,
            self._failure_detector.suspected(now),
        )
        if not ranked:
            return NO_UPSTREAM
        candidates = tuple(member.endpoint for member in ranked)
        self._failure_detector.record_sent(candidates[0], now)
        return Route(agent=candidates[0], candidates=candidates)
