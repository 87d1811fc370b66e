"""Model clients that open flows and retry requests until a deadline."""

from functools import partial
from typing import Protocol

from bluebellfold.core import Packet
from bluebellfold.model.recorder import OutcomeRecorder
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import REJECTED, SUCCEEDED, payload_of
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    CLIENT,
    FINISH,
    OPEN,
    SERVICE,
    encode_packet,
)

# The platform's clients send the opening packet at these offsets and give up
# after the timeout.
OPEN_SEND_OFFSETS_SECONDS = (0, 0.2, 0.6)
OPEN_TIMEOUT_SECONDS = 1.4
# Delay before the first retransmission of a request; doubled after each one.
RETRANSMIT_SECONDS = 0.2
DEADLINE_SECONDS = 3.0
# Delay before a retry on a new flow.
RETRY_DELAY_SECONDS = 0.05
THINK_TIME_SECONDS = 0.3
FIRST_SEQUENCE = 1
ATTEMPT_ID_BYTES = 8
FIRST_PORT = 1024
PORT_COUNT = 60_000


class ClientEnvironment(Protocol):
    """Provide the environment that clients run in."""

    timeline: Timeline
    recorder: OutcomeRecorder

    def send_to_balancer(self, raw: bytes, flow: 'ModelFlow') -> None:
        """Send a client's packet to a balancer in rotation."""

    def allocate_port(self) -> int:
        """Return a client port for a new flow."""

    def new_request(self) -> 'ModelRequest':
        """Return a new request."""

    def open_flow(self, flow: 'ModelFlow') -> None:
        """Open a flow."""


class ModelRequest:
    """Hold one request of a client over all of its attempts."""

    __slots__ = ('attempts', 'issued_at', 'number')

    def __init__(self, *, number: int, issued_at: float) -> None:
        self.number = number
        self.issued_at = issued_at
        self.attempts = 0

    def next_attempt_id(self) -> bytes:
        """Return the id of a new attempt."""
        self.attempts += 1
        return self.number.to_bytes(ATTEMPT_ID_BYTES - 1) + bytes(
            (self.attempts,)
        )

    def is_expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now - self.issued_at >= DEADLINE_SECONDS


class ModelFlow:
    """Hold one flow of a client and send its requests in sequence."""

    __slots__ = (
        '_environment',
        '_pending_id',
        '_remaining',
        '_request',
        '_sent_ids',
        '_sequence',
        'acknowledged',
        'is_closed',
        'port',
    )

    def __init__(
        self,
        *,
        environment: ClientEnvironment,
        request: ModelRequest,
        request_count: int,
    ) -> None:
        self._environment = environment
        self._request: ModelRequest | None = request
        self._sent_ids: set[bytes] = set()
        self._pending_id = b''
        self._remaining = request_count - 1
        self._sequence = FIRST_SEQUENCE
        self.port = environment.allocate_port()
        self.acknowledged: int | None = None
        self.is_closed = False

    def open(self) -> None:
        """Schedule the opening packet, its retransmissions and the timeout."""
        for attempt, seconds in enumerate(OPEN_SEND_OFFSETS_SECONDS):
            send = partial(self._send_open, attempt)
            self._environment.timeline.call_later(seconds, send)
        self._environment.timeline.call_later(
            OPEN_TIMEOUT_SECONDS, self._handle_open_timeout
        )

    def handle_packet(self, packet: Packet) -> None:
        """Handle a packet from the upstream or a reset from the relay."""
        if self.is_closed:
            return
        if packet.resets:
            self._retry()
        elif packet.accepts and self.acknowledged is None:
            self.acknowledged = packet.sequence + 1
            self._send_request()
        elif packet.payload_bytes and self._pending_id:
            self._handle_response(payload_of(packet))

    def encode_packet(self, **fields: object) -> bytes:
        """Return an encoded packet of the flow."""
        return encode_packet(
            source=(CLIENT[0], self.port), destination=SERVICE, **fields
        )

    def _send_open(self, attempt: int) -> None:
        if self.acknowledged is None and not self.is_closed:
            raw = self.encode_packet(flags=OPEN, acknowledged=attempt)
            self._environment.send_to_balancer(raw, self)

    def _handle_open_timeout(self) -> None:
        if self.acknowledged is None and not self.is_closed:
            self._retry()

    def _send_request(self) -> None:
        self._pending_id = self._request.next_attempt_id()
        self._sent_ids.add(self._pending_id)
        self._transmit(self._pending_id, RETRANSMIT_SECONDS)

    def _transmit(self, attempt_id: bytes, retransmit_after: float) -> None:
        if self.is_closed or self._pending_id != attempt_id:
            return
        if self._request.is_expired(self._environment.timeline.now()):
            self._close()
            return
        raw = self.encode_packet(
            flags=ACKNOWLEDGE,
            sequence=self._sequence,
            acknowledged=self.acknowledged,
            payload=attempt_id,
        )
        self._environment.send_to_balancer(raw, self)
        retransmit = partial(self._transmit, attempt_id, 2 * retransmit_after)
        self._environment.timeline.call_later(retransmit_after, retransmit)

    def _handle_response(self, response: bytes) -> None:
        outcome, attempt_id = response[:1], response[1:]
        if outcome not in {SUCCEEDED, REJECTED}:
            self._record_mismatch('not a response of an upstream')
        if attempt_id not in self._sent_ids:
            self._record_mismatch('response to another request')
        if attempt_id != self._pending_id:
            # Copies of earlier responses arrive again after a loss.
            return
        self._sequence += len(self._pending_id)
        self.acknowledged += len(response)
        self._pending_id = b''
        if outcome == REJECTED:
            self._retry()
            return
        now = self._environment.timeline.now()
        self._environment.recorder.record_response(self._request.issued_at, now)
        self._schedule_next_request()

    def _schedule_next_request(self) -> None:
        self._request = None
        if not self._remaining:
            self._close()
            return
        self._remaining -= 1
        self._environment.timeline.call_later(
            THINK_TIME_SECONDS, self._start_next_request
        )

    def _start_next_request(self) -> None:
        if self.is_closed:
            return
        self._request = self._environment.new_request()
        self._send_request()

    def _retry(self) -> None:
        self._close()
        request = self._request
        if request is None or request.is_expired(
            self._environment.timeline.now()
        ):
            return
        flow = ModelFlow(
            environment=self._environment,
            request=request,
            request_count=self._remaining + 1,
        )
        self._environment.timeline.call_later(
            RETRY_DELAY_SECONDS, partial(self._environment.open_flow, flow)
        )

    def _close(self) -> None:
        if not self.is_closed and self.acknowledged is not None:
            raw = self.encode_packet(
                flags=ACKNOWLEDGE | FINISH,
                sequence=self._sequence,
                acknowledged=self.acknowledged,
            )
            self._environment.send_to_balancer(raw, self)
        self.is_closed = True

    def _record_mismatch(self, detail: str) -> None:
        now = self._environment.timeline.now()
        self._environment.recorder.record_violation('MIXED', now, detail)
