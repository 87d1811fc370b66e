"""Track the flows that an upstream holds, from the packets that pass."""

from bluebellfold.core import Packet
from bluebellfold.relay.agents import Address

# The opening packet was sent to the upstream.
OFFERED = 'offered'
# The upstream has answered the opening packet.
ANSWERED = 'answered'
# A later packet of the client or of the upstream shows that they are connected.
OPEN = 'open'

# A slow upstream with a full queue responds within this time. After it the
# client has given up, and the upstream has stopped work on the request.
MAX_REQUEST_SECONDS = 2.0
# A client sends its first request two round trips of 6 ms after its opening
# packet; a client that has given up sends none.
MAX_OPENING_SECONDS = 0.1
# A client repeats its opening packet for 0.6 s, and gives up after 1.4 s.
MAX_COPY_SECONDS = 1.5

# More than the client may still have to acknowledge when the agent first sees a
# flow that is already open: 16 packets, each retransmitted up to eight times.
_MAX_UNACKNOWLEDGED_BYTES = 1_048_576

# What the client may have received beyond the first packet that the agent sees
# of a flow, if that packet is a retransmission: 16 packets of 1,200 bytes.
_ACKNOWLEDGED_AHEAD_BYTES = 19_200

_SEQUENCE_SPACE = 0x100000000
_HALF_SEQUENCE_SPACE = 0x80000000


class UpstreamFlow:
    """Track how far one flow has opened, and its request in progress."""

    __slots__ = (
        '_balancer',
        '_client_finished',
        '_client_initial_sequence',
        '_confirmed',
        '_contiguous_end',
        '_created_at',
        '_hung',
        '_in_flight_at_arrival',
        '_last_packet_at',
        '_may_be_older',
        '_opening_packet',
        '_out_of_order',
        '_received_at',
        '_request_end',
        '_request_id',
        '_requested_at',
        '_state',
        '_upstream_data_end',
        '_upstream_finished',
        '_upstream_initial_sequence',
    )

    def __init__(self, *, state: str, now: float) -> None:
        self._state = state
        self._created_at = now
        self._last_packet_at = now
        self._upstream_initial_sequence: int | None = None
        self._client_initial_sequence: int | None = None
        self._opening_packet: Packet | None = None
        self._balancer: Address | None = None
        self._requested_at: float | None = None
        self._request_id = ''
        # The sequence number after the last data that the upstream sent.
        self._upstream_data_end: int | None = None
        # The upstream has all client data up to the contiguous end. Data after
        # a gap is out of order; the dictionary maps its start to its end.
        self._contiguous_end: int | None = None
        self._out_of_order: dict[int, int] = {}
        self._upstream_finished = False
        self._client_finished = False
        self._confirmed = False
        self._may_be_older = False
        self._in_flight_at_arrival = 0
        self._request_end: int | None = None
        self._received_at: float | None = None
        self._hung = False

    @property
    def in_flight_at_arrival(self) -> int:
        """Return the in-flight count when the last request arrived."""
        return self._in_flight_at_arrival

    @property
    def balancer(self) -> Address | None:
        """Return the balancer that offered the flow."""
        return self._balancer

    @property
    def confirmed(self) -> bool:
        """Tell whether the upstream has shown that it holds the flow."""
        return self._confirmed

    @property
    def may_be_older(self) -> bool:
        """Tell whether the flow may have opened before the agent saw it."""
        return self._may_be_older

    @property
    def opening_packet(self) -> Packet | None:
        """Return the opening packet, None once the flow is open."""
        return self._opening_packet

    @property
    def request_id(self) -> str:
        """Return the id of the last request."""
        return self._request_id

    @property
    def requested_at(self) -> float | None:
        """Return when the request in progress began, None if none is."""
        return self._requested_at

    @property
    def received_at(self) -> float | None:
        """Return when the upstream received the whole request, if it has."""
        return self._received_at

    @property
    def state(self) -> str:
        """Return OFFERED, ANSWERED or OPEN."""
        return self._state

    @property
    def last_packet_at(self) -> float:
        """Return when a packet last passed in any direction."""
        return self._last_packet_at

    def is_in_flight(self, now: float) -> bool:
        """Tell whether the flow is opening, or awaits a response.

        A request counts for MAX_REQUEST_SECONDS at most, since a client that
        gives up leaves it unanswered. It doesn't count during its upload,
        since the upstream can't work on it yet.
        """
        if self._received_at is not None:
            return now - self._received_at < MAX_REQUEST_SECONDS
        return (
            self._state != OPEN and now - self._created_at < MAX_OPENING_SECONDS
        )

    def mark_offered(
        self, packet: Packet, balancer: Address, now: float
    ) -> None:
        """Record that the opening packet is sent to the upstream."""
        self._opening_packet = packet
        self._client_initial_sequence = packet.sequence
        self._balancer = balancer
        self._last_packet_at = now

    def mark_older(self) -> None:
        """Record that the flow may have opened before the agent saw it.

        The opening packet that is offered may be a late copy.
        """
        self._may_be_older = True

    def mark_answered(self, packet: Packet, now: float) -> None:
        """Record the upstream's answer to the opening packet."""
        self._last_packet_at = now
        if self._state == OPEN:
            return
        self._state = ANSWERED
        self._upstream_initial_sequence = packet.sequence

    def accepts_acknowledgement(self, acknowledged: int) -> bool:
        """Tell whether a number acknowledges data of this upstream.

        If several upstreams answered copies of the opening packet, the number
        shows which one the client connected to.
        """
        if self._state == OFFERED:
            return False
        lowest = self._lowest_acknowledgement()
        if lowest is None:
            return True
        highest = (
            lowest
            if self._upstream_data_end is None
            else self._upstream_data_end
        )
        if self._upstream_initial_sequence is None:
            highest += _ACKNOWLEDGED_AHEAD_BYTES
        elif self._may_be_older:
            # The upstream may have sent data past an earlier agent.
            highest += _MAX_UNACKNOWLEDGED_BYTES
        offset = (acknowledged - lowest) % _SEQUENCE_SPACE
        # The end of a flow takes one sequence number.
        return (
            offset
            <= (highest - lowest) % _SEQUENCE_SPACE + self._upstream_finished
        )

    def mark_confirmed(self) -> None:
        """Record that the upstream has shown that it holds the flow."""
        self._state = OPEN
        self._opening_packet = None
        self._confirmed = True

    def is_copy_of_opening(self, packet: Packet, now: float) -> bool:
        """Tell whether a packet is a copy of the flow's opening packet.

        The agent hasn't seen that of a flow which it learnt from its upstream.
        A copy then precedes the client's data, and comes while the client still
        repeats it.
        """
        if self._client_initial_sequence is not None:
            return self._client_initial_sequence == packet.sequence
        if self._contiguous_end is None:
            return now - self._created_at < MAX_COPY_SECONDS
        ahead = (self._contiguous_end - packet.sequence) % _SEQUENCE_SPACE
        return ahead <= _MAX_UNACKNOWLEDGED_BYTES

    def mark_open(self) -> None:
        """Record that the client has connected to this upstream."""
        self._state = OPEN
        self._opening_packet = None

    def track_client_packet(self, packet: Packet, now: float) -> bool:
        """Track a client's packet, and return whether a request begins."""
        self._last_packet_at = now
        if packet.resets or packet.finishes:
            # The last request of a client that gives up may arrive after the
            # end of its flow. Upstreams don't work on it.
            self._client_finished = True
            self.end_request()
        if not packet.payload_bytes:
            return False
        if not self._track_data(packet):
            return False
        if self._client_finished or self._requested_at is not None:
            return False
        self._requested_at = now
        return True

    def track_upstream_packet(self, packet: Packet, now: float) -> bool:
        """Track an upstream's packet, and return whether a response begins."""
        self._last_packet_at = now
        self._upstream_finished = (
            self._upstream_finished or packet.finishes or packet.resets
        )
        self._track_acknowledgement(packet)
        if not packet.payload_bytes:
            return False
        end = (packet.sequence + packet.payload_bytes) % _SEQUENCE_SPACE
        if not _is_after(end, self._upstream_data_end):
            return False
        self._upstream_data_end = end
        return self._requested_at is not None

    def begin_request(
        self, request_id: str, *, start: int, request_bytes: int | None
    ) -> None:
        """Record a request that starts at a sequence number.

        One of unknown length counts as received at once.
        """
        self._request_id = request_id
        self._hung = False
        self._request_end = None
        if request_bytes is not None:
            self._request_end = (start + request_bytes) % _SEQUENCE_SPACE

    def mark_request_received(self, now: float) -> bool:
        """Return True once, when the upstream has the whole request."""
        if self._requested_at is None or self._received_at is not None:
            return False
        end = self._request_end
        if end is not None and _is_after(end, self._contiguous_end):
            return False
        self._received_at = now
        return True

    def record_in_flight(self, in_flight: int) -> None:
        """Record the in-flight count when a request has arrived."""
        self._in_flight_at_arrival = in_flight

    def mark_hung(self, before: float) -> bool:
        """Return True once, if a request from before a time has no response."""
        if self._hung or self._received_at is None:
            return False
        self._hung = self._received_at < before
        return self._hung

    def end_request(self) -> None:
        """Record that the request in progress is answered or abandoned."""
        self._requested_at = None
        self._received_at = None

    def _track_acknowledgement(self, packet: Packet) -> None:
        """Track what the upstream has, also from before this agent started.

        A client repeats a request that was answered while no agent ran. The
        upstream doesn't work on it again, so it is no request in progress.
        """
        if packet.resets:
            return
        if _is_after(packet.acknowledged, self._contiguous_end):
            self._contiguous_end = packet.acknowledged

    def _track_data(self, packet: Packet) -> bool:
        """Track a client's data, and return whether it is new."""
        start = packet.sequence
        end = (start + packet.payload_bytes) % _SEQUENCE_SPACE
        if (
            not _is_after(end, self._contiguous_end)
            or start in self._out_of_order
        ):
            return False
        if self._contiguous_end is not None and _is_after(
            start, self._contiguous_end
        ):
            # An earlier packet was lost; the client will retransmit it.
            self._out_of_order[start] = end
            return True
        while end in self._out_of_order:
            end = self._out_of_order.pop(end)
        self._contiguous_end = end
        return True

    def _lowest_acknowledgement(self) -> int | None:
        """Return the lowest accepted acknowledgement, None if unknown."""
        if self._upstream_initial_sequence is not None:
            return (self._upstream_initial_sequence + 1) % _SEQUENCE_SPACE
        if self._upstream_data_end is None:
            return None
        # The flow opened before this agent started.
        return (
            self._upstream_data_end - _MAX_UNACKNOWLEDGED_BYTES
        ) % _SEQUENCE_SPACE


def _is_after(sequence: int, other: int | None) -> bool:
    """Tell whether ``sequence`` is after ``other``; the numbers wrap around."""
    if other is None:
        return True
    return 0 < (sequence - other) % _SEQUENCE_SPACE < _HALF_SEQUENCE_SPACE
