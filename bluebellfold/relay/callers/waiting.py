"""Hold the flows that no upstream can take yet.

Answers a burst, lost upstreams and the return of all machines: for some
tenths of a second every queue is full or no agent has reported. A client
repeats its opening packet after 0.2 and 0.6 s and gives up after 1.4 s, so a
flow may wait for room at the balancer instead of being rejected by an
upstream, which would cost the client one of its retries.

The newest flow of a priority goes first. While more arrives than upstreams
can do, the oldest first would have every flow wait until its client is about
to give up, and upstreams work on requests that nobody awaits any more.
"""

from collections.abc import Iterable
from operator import attrgetter

from bluebellfold.core import Packet, Record, Route, read_only

# A client that opens a flow gives up 1.4 s after its first packet; placed
# later than this, the answer would not reach it in time.
MAX_WAIT_SECONDS = 1.3
# Each waiting flow holds a packet of 32 bytes.
MAX_WAITING = 10_000
# When a client sends the copies of its opening packet, from the first on.
COPY_SECONDS = (0, 0.2, 0.6)
# How late a copy may be: a round trip through another zone, and timers.
COPY_SLACK_SECONDS = 0.15


class WaitingFlow(Record):
    """Hold the newest opening packet of a flow that waits.

    ``route`` is None while no configuration is known.
    """

    __slots__ = ('_packet', '_route', '_since')

    packet: Packet = read_only('_packet')
    route: Route | None = read_only('_route')
    since: float = read_only('_since')

    def __init__(
        self, *, packet: Packet, route: Route | None, since: float
    ) -> None:
        self._packet = packet
        self._route = route
        self._since = since

    @property
    def turn(self) -> tuple[int, float]:
        """Return what orders the waiting: priority, then the newest first."""
        priority = 0 if self._route is None else self._route.priority
        return (priority, -self._since)

    def is_abandoned(self, now: float) -> bool:
        """Tell whether the client has ceased to repeat its opening packet."""
        following = self._packet.attempt + 1
        if following >= len(COPY_SECONDS):
            return False
        due = self._since + COPY_SECONDS[following] + COPY_SLACK_SECONDS
        return now > due

    def is_for(self, service: str) -> bool:
        """Tell whether an upstream of the service may take the flow."""
        if self._route is None:
            return True
        return any(share.service == service for share in self._route.shares)


class WaitingRoom:
    """Hold flows that wait, the most urgent and then the newest first."""

    __slots__ = ('_by_flow',)

    def __init__(self) -> None:
        self._by_flow: dict[bytes, WaitingFlow] = {}

    def __len__(self) -> int:
        """Return how many flows wait."""
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        """Tell whether the flow waits."""
        return flow in self._by_flow

    @property
    def services(self) -> set[str]:
        """Return the services that flows wait for."""
        routes = [waiting.route for waiting in self._by_flow.values()]
        return {
            share.service
            for route in routes
            if route is not None
            for share in route.shares
        }

    def add(self, packet: Packet, route: Route | None, since: float) -> bool:
        """Let a flow wait that its client began to open at a moment.

        Return false if the room is full.
        """
        known = packet.flow in self._by_flow
        if not known and len(self._by_flow) >= MAX_WAITING:
            return False
        self._by_flow[packet.flow] = WaitingFlow(
            packet=packet,
            route=route,
            since=since,
        )
        return True

    def remove(self, flow: bytes) -> None:
        """Remove a flow that was placed or that ended."""
        self._by_flow.pop(flow, None)

    def in_turn(self, service: str) -> list[WaitingFlow]:
        """Return the flows that wait for a service, in their order."""
        waiting = [
            waiting
            for waiting in self._by_flow.values()
            if waiting.is_for(service)
        ]
        waiting.sort(key=attrgetter('turn'))
        return waiting

    def take_expired(self, now: float) -> list[WaitingFlow]:
        """Remove and return the flows that waited too long."""
        return self._take(
            waiting
            for waiting in self._by_flow.values()
            if now - waiting.since >= MAX_WAIT_SECONDS
        )

    def take_abandoned(self, now: float) -> list[WaitingFlow]:
        """Remove and return the flows whose clients have left."""
        return self._take(
            waiting
            for waiting in self._by_flow.values()
            if waiting.is_abandoned(now)
        )

    def _take(self, over: Iterable[WaitingFlow]) -> list[WaitingFlow]:
        taken = list(over)
        for waiting in taken:
            self._by_flow.pop(waiting.packet.flow)
        return taken
