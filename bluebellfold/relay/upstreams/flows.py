"""Know the flows that an upstream holds, from the packets that pass."""

from bluebellfold.core import Packet
from bluebellfold.relay.agents import Address

OFFERED = 'offered'
ANSWERED = 'answered'
OPEN = 'open'

# A slow upstream with a full queue answers within this; later its client has
# given up, and the upstream is no longer at work for it.
REQUEST_SECONDS = 2.0
# A client's first request follows its opening packet by two round trips, of
# 6 ms each; a client that has given up sends none.
OPENING_SECONDS = 0.1

# What an upstream may have had in flight when the agent met the flow, and
# more: 16 packets, each sent again up to eight times.
_LEARNED_WINDOW = 1_048_576

# What the client may have had from the upstream before the agent met the
# flow, when that met it by an older packet that was sent again: 16 packets of
# 1,200 bytes.
_ACKNOWLEDGED_AHEAD = 19_200

_SEQUENCES = 0x100000000
_HALF = 0x80000000


class UpstreamFlow:
    """Hold one flow: how far it opened, and the request in progress."""

    __slots__ = (
        '_answer_sequence',
        '_balancer',
        '_beyond_hole',
        '_busy_with',
        '_client_finished',
        '_client_sequence',
        '_confirmed',
        '_created_at',
        '_finished',
        '_hangs',
        '_opening',
        '_reached',
        '_request_end',
        '_request_id',
        '_requested_at',
        '_sent_to_client',
        '_state',
        '_used_at',
        '_whole_at',
    )

    def __init__(self, *, state: str, now: float) -> None:
        self._state = state
        self._created_at = now
        self._used_at = now
        self._answer_sequence: int | None = None
        self._client_sequence: int | None = None
        self._opening: Packet | None = None
        self._balancer: Address | None = None
        self._requested_at: float | None = None
        self._request_id = ''
        self._sent_to_client: int | None = None
        # Up to where the upstream has all that the client sent, and what it
        # has beyond a hole, by its first number.
        self._reached: int | None = None
        self._beyond_hole: dict[int, int] = {}
        self._finished = False
        self._client_finished = False
        self._confirmed = False
        self._busy_with = 0
        self._request_end: int | None = None
        self._whole_at: float | None = None
        self._hangs = False

    @property
    def busy_with(self) -> int:
        """Return what the upstream worked on with the last request."""
        return self._busy_with

    @property
    def balancer(self) -> Address | None:
        """Return the balancer that offered the flow."""
        return self._balancer

    @property
    def confirmed(self) -> bool:
        """Tell whether the upstream has shown that it holds the flow."""
        return self._confirmed

    @property
    def opening(self) -> Packet | None:
        """Return the opening packet, None once the flow is open."""
        return self._opening

    @property
    def request_id(self) -> str:
        """Return the id of the last request."""
        return self._request_id

    @property
    def requested_at(self) -> float | None:
        """Return when the request in progress began, None if none is."""
        return self._requested_at

    @property
    def whole_at(self) -> float | None:
        """Return since when the upstream has the request in progress."""
        return self._whole_at

    @property
    def state(self) -> str:
        """Return OFFERED, ANSWERED or OPEN."""
        return self._state

    @property
    def used_at(self) -> float:
        """Return when a packet last passed in any direction."""
        return self._used_at

    def is_busy(self, now: float) -> bool:
        """Tell whether the flow opens, or waits for an answer.

        A client that has given up leaves its last request without an answer.
        One that still uploads gives the upstream nothing to work on.
        """
        if self._whole_at is not None:
            return now - self._whole_at < REQUEST_SECONDS
        return self._state != OPEN and now - self._created_at < OPENING_SECONDS

    def offer(self, packet: Packet, balancer: Address, now: float) -> None:
        """Note that the opening packet goes to the upstream."""
        self._opening = packet
        self._client_sequence = packet.sequence
        self._balancer = balancer
        self._used_at = now

    def answer(self, packet: Packet, now: float) -> None:
        """Note the upstream's answer to the opening packet."""
        self._used_at = now
        if self._state == OPEN:
            return
        self._state = ANSWERED
        self._answer_sequence = packet.sequence

    def is_acknowledged(self, acknowledged: int) -> bool:
        """Tell whether the client chose this upstream's answer."""
        if self._state == OFFERED:
            return False
        first = self._first_sequence()
        if first is None:
            return True
        last = first if self._sent_to_client is None else self._sent_to_client
        if self._answer_sequence is None:
            last += _ACKNOWLEDGED_AHEAD
        beyond = (acknowledged - first) % _SEQUENCES
        # The end of a flow takes one number more.
        return beyond <= (last - first) % _SEQUENCES + self._finished

    def confirm(self) -> None:
        """Note that the upstream has shown that it holds the flow."""
        self._state = OPEN
        self._opening = None
        self._confirmed = True

    def is_opened_by(self, packet: Packet) -> bool:
        """Tell whether an opening packet is a copy of this flow's."""
        return self._client_sequence == packet.sequence

    def open(self) -> None:
        """Note that the client chose this upstream."""
        self._state = OPEN
        self._opening = None

    def send_to_upstream(self, packet: Packet, now: float) -> bool:
        """Note a client's packet, and tell whether a request begins."""
        self._used_at = now
        if packet.resets or packet.finishes:
            # A client that gives up ends the flow, and its last request may
            # arrive after that: upstreams don't work on it.
            self._client_finished = True
            self.end_request()
        if not packet.payload_bytes:
            return False
        if not self._reach(packet):
            return False
        if self._client_finished or self._requested_at is not None:
            return False
        self._requested_at = now
        return True

    def send_to_client(self, packet: Packet, now: float) -> bool:
        """Note an upstream's packet, and tell whether an answer begins."""
        self._used_at = now
        self._finished = self._finished or packet.finishes or packet.resets
        if not packet.payload_bytes:
            return False
        end = (packet.sequence + packet.payload_bytes) % _SEQUENCES
        if not _is_new(end, self._sent_to_client):
            return False
        self._sent_to_client = end
        return self._requested_at is not None

    def begin_request(
        self, request_id: str, *, first: int, request_bytes: int | None
    ) -> None:
        """Note a request that starts at a sequence number.

        One whose length isn't known counts as whole.
        """
        self._request_id = request_id
        self._hangs = False
        self._request_end = None
        if request_bytes is not None:
            self._request_end = (first + request_bytes) % _SEQUENCES

    def complete_request(self, now: float) -> bool:
        """Tell once that the upstream has the whole request."""
        if self._requested_at is None or self._whole_at is not None:
            return False
        end = self._request_end
        if end is not None and _is_new(end, self._reached):
            return False
        self._whole_at = now
        return True

    def note_company(self, busy: int) -> None:
        """Note what the upstream works on together with the request."""
        self._busy_with = busy

    def notice_hanging(self, before: float) -> bool:
        """Tell once that a request is without an answer since a moment."""
        if self._hangs or self._whole_at is None:
            return False
        self._hangs = self._whole_at < before
        return self._hangs

    def end_request(self) -> None:
        """Note that the request in progress is answered or given up."""
        self._requested_at = None
        self._whole_at = None

    def _reach(self, packet: Packet) -> bool:
        """Take a client's data, and tell whether it is new."""
        start = packet.sequence
        end = (start + packet.payload_bytes) % _SEQUENCES
        if not _is_new(end, self._reached) or start in self._beyond_hole:
            return False
        if self._reached is not None and _is_new(start, self._reached):
            # A packet before it was lost: the client sends that one again.
            self._beyond_hole[start] = end
            return True
        while end in self._beyond_hole:
            end = self._beyond_hole.pop(end)
        self._reached = end
        return True

    def _first_sequence(self) -> int | None:
        """Return what a client acknowledges first, None if not known."""
        if self._answer_sequence is not None:
            return (self._answer_sequence + 1) % _SEQUENCES
        if self._sent_to_client is None:
            return None
        # The flow opened before this agent started.
        return (self._sent_to_client - _LEARNED_WINDOW) % _SEQUENCES


def _is_new(end: int, known: int | None) -> bool:
    if known is None:
        return True
    return 0 < (end - known) % _SEQUENCES < _HALF
