"""Model an upstream with flows, slots, a queue and a warm-up time."""

import random
from collections import deque
from collections.abc import Callable

from bluebellfold.core import Packet
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import (
    REJECTED,
    SUCCEEDED,
    encode_accept,
    encode_response,
)
from bluebellfold.standins.packets import HEADER, encode_returned_packet

# The platform's upstreams queue some requests while all slots are busy, and
# process requests more slowly for some seconds after a start.
QUEUE_PER_SLOT = 3
WARMUP_SECONDS = 2.0
WARMUP_FACTOR = 1.6
# Bounds of the random factor on the processing time, and the scale that brings
# its mean close to 1.
MIN_WORK_FACTOR = 0.5
MAX_WORK_FACTOR = 2.0
WORK_SCALE = 0.75
SEQUENCE_COUNT = 1_000_000_000
MS_PER_SECOND = 1000

Send = Callable[[bytes], None]


class QueuedRequest:
    """Hold a request that is queued or in progress.

    ``generation`` is that of the upstream when it accepted the request.
    """

    __slots__ = ('generation', 'packet')

    def __init__(self, *, packet: Packet, generation: int) -> None:
        self.packet = packet
        self.generation = generation


class ModelUpstream:
    """Serve the flows of one service.

    ``executions`` holds the flow and the packet of a request, once for each
    time that the request ran.
    """

    __slots__ = (
        '_generation',
        '_in_flight',
        '_queue',
        '_random',
        '_responses',
        '_send',
        '_sequences',
        '_slots',
        '_started_at',
        '_started_ms',
        '_timeline',
        '_work_seconds',
        'executions',
        'is_running',
        'open_flows',
        'slowdown',
    )

    def __init__(
        self,
        *,
        timeline: Timeline,
        randomness: random.Random,
        slots: int,
        work_seconds: float,
        send: Send,
    ) -> None:
        self._timeline = timeline
        self._random = randomness
        self._slots = slots
        self._work_seconds = work_seconds
        self._send = send
        self._generation = 0
        self._started_ms = 0
        self.is_running = False
        self.slowdown = float(1)
        self.executions: list[tuple[bytes, bytes]] = []
        self._reset_state()

    @property
    def generation(self) -> int:
        """Return a number that increases with each start and crash."""
        return self._generation

    @property
    def started_ms(self) -> int:
        """Return the time of the last start in milliseconds."""
        return self._started_ms

    @property
    def is_warming_up(self) -> bool:
        """Return whether the upstream is warming up after its start."""
        return self._timeline.now() - self._started_at < WARMUP_SECONDS

    def start(self, *, warm: bool = False) -> None:
        """Start with no flows; ``warm`` skips the warm-up time."""
        self._generation += 1
        self._started_ms = round(self._timeline.now() * MS_PER_SECOND)
        self.is_running = True
        self._reset_state()
        if warm:
            self._started_at -= WARMUP_SECONDS

    def crash(self) -> None:
        """Stop at once, without notice to clients or the agent."""
        self.is_running = False
        self._generation += 1
        self._reset_state()

    def handle_packet(self, packet: Packet) -> None:
        """Handle a client's packet."""
        if not self.is_running:
            return
        if packet.opens:
            sequence = self._sequences.setdefault(
                packet.flow, self._random.randrange(SEQUENCE_COUNT)
            )
            self._send(encode_accept(packet, sequence))
            return
        expected = self._sequences.get(packet.flow)
        if expected is None or not self._establish(packet, expected):
            self._send(encode_returned_packet(packet, tag=packet.tag))
            return
        if packet.finishes:
            self._close_flow(packet.flow)
            return
        if packet.payload_bytes:
            self._handle_request(packet)

    def _reset_state(self) -> None:
        self._started_at = self._timeline.now()
        self._sequences: dict[bytes, int] = {}
        self._responses: dict[bytes, dict[int, bytes]] = {}
        self._queue: deque[QueuedRequest] = deque()
        self._in_flight = 0
        self.open_flows: set[bytes] = set()

    def _establish(self, packet: Packet, expected: int) -> bool:
        if packet.flow not in self.open_flows:
            if packet.acknowledged != expected + 1:
                return False
            self.open_flows.add(packet.flow)
        return True

    def _close_flow(self, flow: bytes) -> None:
        self.open_flows.discard(flow)
        self._sequences.pop(flow, None)
        self._responses.pop(flow, None)

    def _handle_request(self, packet: Packet) -> None:
        responses = self._responses.setdefault(packet.flow, {})
        response = responses.get(packet.sequence)
        if response:
            # A retransmission of a request that has its response.
            self._send(response)
        if response is not None:
            return
        responses[packet.sequence] = b''
        if self._in_flight + len(self._queue) >= self._slots * (
            1 + QUEUE_PER_SLOT
        ):
            self._respond(packet, REJECTED)
            return
        self._queue.append(
            QueuedRequest(packet=packet, generation=self._generation)
        )
        self._start_next()

    def _start_next(self) -> None:
        if self._in_flight >= self._slots or not self._queue:
            return
        request = self._queue.popleft()
        self._in_flight += 1
        self.executions.append((request.packet.flow, request.packet.raw))
        work_factor = min(
            self._random.expovariate(1) + MIN_WORK_FACTOR, MAX_WORK_FACTOR
        )
        seconds = self._work_seconds * work_factor * WORK_SCALE * self.slowdown
        if self.is_warming_up:
            seconds *= WARMUP_FACTOR
        self._timeline.call_later(seconds, lambda: self._complete(request))

    def _complete(self, request: QueuedRequest) -> None:
        if request.generation != self._generation:
            return
        self._in_flight -= 1
        self._respond(request.packet, SUCCEEDED)
        self._start_next()

    def _respond(self, packet: Packet, outcome: bytes) -> None:
        sequence = self._sequences.get(packet.flow)
        if sequence is None:
            # The client closed the flow while the request was in progress.
            return
        responses = self._responses[packet.flow]
        sent_bytes = sum(
            len(earlier) - HEADER.size
            for earlier in responses.values()
            if earlier
        )
        response = encode_response(
            packet, outcome, sequence=sequence + 1 + sent_bytes
        )
        responses[packet.sequence] = response
        self._send(response)
