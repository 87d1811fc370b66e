"""Model an upstream: flows, slots, a queue and a slow start."""

import random
from collections import deque
from collections.abc import Callable

from bluebellfold.core import Packet
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import ANSWERED, REJECTED, answer_to, grant_to
from bluebellfold.standins.packets import HEAD, give_back

# As the platform's upstreams: some requests wait behind those in the slots,
# and work takes longer for some seconds after a start.
QUEUE_PER_SLOT = 3
WARMING_SECONDS = 2.0
WARMING_FACTOR = 1.6
# The least and the most that work varies by, and the mean of it.
LEAST_WORK = 0.5
MOST_WORK = 2.0
USUAL_WORK = 0.75
SEQUENCES = 1_000_000_000
MILLISECONDS = 1000

Send = Callable[[bytes], None]


class Work:
    """Hold one request that waits or is worked on."""

    __slots__ = ('packet', 'start')

    def __init__(self, *, packet: Packet, start: int) -> None:
        self.packet = packet
        # Which start of the upstream took the request.
        self.start = start


class ModelUpstream:
    """Serve the flows of one service.

    ``ran`` holds each request as it came, once for each time it ran.
    """

    __slots__ = (
        '_answers',
        '_at_work',
        '_born_ms',
        '_queue',
        '_random',
        '_send',
        '_sequences',
        '_slots',
        '_start',
        '_started_at',
        '_timeline',
        '_work_seconds',
        'lives',
        'open',
        'ran',
        'slowness',
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
        self._start = 0
        self._born_ms = 0
        self.lives = False
        self.slowness = float(1)
        self.ran: list[tuple[bytes, bytes]] = []
        self._forget()

    @property
    def start_number(self) -> int:
        """Return how often the upstream has started."""
        return self._start

    @property
    def born_ms(self) -> int:
        """Return when the upstream started, in milliseconds."""
        return self._born_ms

    @property
    def is_warming(self) -> bool:
        """Tell whether work takes longer since the start is recent."""
        return self._timeline.now() - self._started_at < WARMING_SECONDS

    def start(self, *, warm: bool = False) -> None:
        """Begin anew, with no flow."""
        self._start += 1
        self._born_ms = round(self._timeline.now() * MILLISECONDS)
        self.lives = True
        self._forget()
        if warm:
            self._started_at -= WARMING_SECONDS

    def crash(self) -> None:
        """End without a word."""
        self.lives = False
        self._start += 1
        self._forget()

    def take(self, packet: Packet) -> None:
        """Act on a client's packet."""
        if not self.lives:
            return
        if packet.opens:
            sequence = self._sequences.setdefault(
                packet.flow, self._random.randrange(SEQUENCES)
            )
            self._send(grant_to(packet, sequence))
            return
        expected = self._sequences.get(packet.flow)
        if expected is None or not self._opens(packet, expected):
            self._send(give_back(packet, tag=packet.tag))
            return
        if packet.finishes:
            self._end(packet.flow)
            return
        if packet.payload_bytes:
            self._take_request(packet)

    def _forget(self) -> None:
        self._started_at = self._timeline.now()
        self._sequences: dict[bytes, int] = {}
        self._answers: dict[bytes, dict[int, bytes]] = {}
        self._queue: deque[Work] = deque()
        self._at_work = 0
        self.open: set[bytes] = set()

    def _opens(self, packet: Packet, expected: int) -> bool:
        if packet.flow not in self.open:
            if packet.acknowledged != expected + 1:
                return False
            self.open.add(packet.flow)
        return True

    def _end(self, flow: bytes) -> None:
        self.open.discard(flow)
        self._sequences.pop(flow, None)
        self._answers.pop(flow, None)

    def _take_request(self, packet: Packet) -> None:
        answers = self._answers.setdefault(packet.flow, {})
        known = answers.get(packet.sequence)
        if known:
            # A copy of a request that was answered.
            self._send(known)
        if known is not None:
            return
        answers[packet.sequence] = b''
        if self._at_work + len(self._queue) >= self._slots * (
            1 + QUEUE_PER_SLOT
        ):
            self._answer(packet, REJECTED)
            return
        self._queue.append(Work(packet=packet, start=self._start))
        self._begin_next()

    def _begin_next(self) -> None:
        if self._at_work >= self._slots or not self._queue:
            return
        work = self._queue.popleft()
        self._at_work += 1
        self.ran.append((work.packet.flow, work.packet.raw))
        drawn = min(self._random.expovariate(1) + LEAST_WORK, MOST_WORK)
        seconds = self._work_seconds * drawn * USUAL_WORK * self.slowness
        if self.is_warming:
            seconds *= WARMING_FACTOR
        self._timeline.after(seconds, lambda: self._complete(work))

    def _complete(self, work: Work) -> None:
        if work.start != self._start:
            return
        self._at_work -= 1
        self._answer(work.packet, ANSWERED)
        self._begin_next()

    def _answer(self, packet: Packet, outcome: bytes) -> None:
        sequence = self._sequences.get(packet.flow)
        if sequence is None:
            # The client has ended the flow meanwhile.
            return
        answers = self._answers[packet.flow]
        sent = sum(
            len(answer) - HEAD.size for answer in answers.values() if answer
        )
        answer = answer_to(packet, outcome, sequence=sequence + 1 + sent)
        answers[packet.sequence] = answer
        self._send(answer)
