"""Describe a new flow that waits for an upstream, and how long it may wait.

A client retransmits its opening packet after 0.2 and 0.6 s and gives up after
1.4 s. It wants the response within the target latency of its route, and drops
the request at the timeout of its route.
"""

from bluebellfold.core import Packet, Route, client_host, require

# A client gives up 1.4 s after its first opening packet. If the flow were
# assigned in the last 0.1 s, the reply would not reach the client in time.
QUEUE_TIMEOUT_SECONDS = 1.3
# When a client sends each attempt of its opening packet, from the first on.
RETRANSMIT_SECONDS = (0, 0.2, 0.6)
# Allowed delay of a retransmission: a round trip through another zone and
# timer inaccuracy.
RETRANSMIT_SLACK_SECONDS = 0.15
# The part of the target latency that a flow can spend in the queue. The rest is
# for the upstream: the targets of most routes are four to five times the work
# of a request, and a full upstream works on two others first.
QUEUE_SHARE_OF_TARGET = 0.5
# Number of a flow that is not in the order of any queue.
_NO_NUMBER = -1


class QueuedFlow:
    """Hold the newest opening packet of a queued flow.

    ``route`` and ``service`` are None while no configuration is known.
    ``opened_at`` is when the client sent its first opening packet. ``number``
    is unique in the order of a queue; a queue's older entries of the flow have
    another one.
    """

    __slots__ = (
        '_client',
        '_has_left',
        '_number',
        '_opened_at',
        '_packet',
        '_route',
        '_service',
    )

    def __init__(
        self,
        *,
        packet: Packet,
        route: Route | None,
        service: str | None,
        opened_at: float,
    ) -> None:
        self._packet = packet
        self._route = route
        self._service = service
        self._opened_at = opened_at
        self._client = client_host(packet.flow)
        self._has_left = False
        self._number = _NO_NUMBER

    @property
    def client(self) -> str:
        """Return the source address of the flow."""
        return self._client

    @property
    def has_left(self) -> bool:
        """Return whether the flow has left the queue."""
        return self._has_left

    @property
    def number(self) -> int:
        """Return the number in the order of the queue."""
        return self._number

    @property
    def opened_at(self) -> float:
        """Return when the client sent its first opening packet."""
        return self._opened_at

    @property
    def packet(self) -> Packet:
        """Return the newest opening packet."""
        return self._packet

    @property
    def route(self) -> Route | None:
        """Return the route, None while no configuration is known."""
        return self._route

    @property
    def service(self) -> str | None:
        """Return the service, None while no configuration is known."""
        return self._service

    @property
    def known_route(self) -> Route:
        """Return the route of a flow that was queued with one.

        Raise MissingValueError if no configuration was known.
        """
        return require(self._route, name='route of the queued flow')

    @property
    def known_service(self) -> str:
        """Return the service of a flow that was queued with one.

        Raise MissingValueError if no configuration was known.
        """
        return require(self._service, name='service of the queued flow')

    @property
    def deadline(self) -> float:
        """Return when the flow is of no use to its client any longer."""
        timeout = QUEUE_TIMEOUT_SECONDS
        if self._route is not None and self._route.timeout_seconds > 0:
            timeout = min(timeout, self._route.timeout_seconds)
        return self._opened_at + timeout

    @property
    def next_check(self) -> float:
        """Return when the flow may expire or turn out to be abandoned."""
        due = self._retransmission_due
        if due is None:
            return self.deadline
        return min(self.deadline, due + RETRANSMIT_SLACK_SECONDS)

    def has_same_place(self, other: 'QueuedFlow') -> bool:
        """Return whether both belong at the same place of a queue."""
        return (
            self._opened_at == other.opened_at
            and self._service == other.service
            and self._route == other.route
        )

    def can_meet_target(self, now: float) -> bool:
        """Return whether the response may arrive within the target latency."""
        if self._route is None or not self._route.target_seconds:
            return True
        in_queue = self._route.target_seconds * QUEUE_SHARE_OF_TARGET
        return now - self._opened_at <= in_queue

    def is_expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self.deadline

    def is_abandoned(self, now: float) -> bool:
        """Return whether the client's next retransmission is overdue."""
        due = self._retransmission_due
        return due is not None and now >= due + RETRANSMIT_SLACK_SECONDS

    def awaits_retransmission(self, now: float) -> bool:
        """Return whether the client has sent a packet that is not here yet.

        Another balancer may have received it and assigned the flow.
        """
        due = self._retransmission_due
        return due is not None and now >= due

    def update_packet(self, packet: Packet) -> None:
        """Replace the opening packet by a retransmission of it."""
        self._packet = packet

    def take_number(self, number: int) -> None:
        """Enter the order of a queue under a new number."""
        self._number = number

    def drop_number(self) -> None:
        """Leave the order of a queue."""
        self._number = _NO_NUMBER

    def mark_removed(self) -> None:
        """Record that the flow has left the queue."""
        self._has_left = True

    @property
    def _retransmission_due(self) -> float | None:
        next_attempt = self._packet.attempt + 1
        if next_attempt >= len(RETRANSMIT_SECONDS):
            return None
        return self._opened_at + RETRANSMIT_SECONDS[next_attempt]
