"""Model clients: they open flows, ask, and try again until a deadline."""

from functools import partial
from typing import Protocol

from bluebellfold.core import Packet
from bluebellfold.model.ledger import Ledger
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import ANSWERED, REJECTED, payload_of
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    CLIENT,
    FINISH,
    OPEN,
    SERVICE,
    write_packet,
)

# A client repeats its opening packet and gives up, as the platform's do.
COPIES_AFTER_SECONDS = (0, 0.2, 0.6)
GIVE_UP_SECONDS = 1.4
# It sends a request again after this, and then after twice the time.
REPEAT_SECONDS = 0.2
DEADLINE_SECONDS = 3.0
# How long it waits before it tries again on a new flow.
RETRY_SECONDS = 0.05
PAUSE_SECONDS = 0.3
FIRST_SEQUENCE = 1
ID_BYTES = 8
FIRST_PORT = 1024
PORTS = 60_000


class Surroundings(Protocol):
    """Carry what clients send."""

    timeline: Timeline
    ledger: Ledger

    def to_balancer(self, raw: bytes, flow: 'ModelFlow') -> None:
        """Bring a packet to a balancer in rotation."""

    def next_port(self) -> int:
        """Return a port that no other flow has."""

    def new_wish(self) -> 'Wish':
        """Return another thing that a client wants served."""

    def begin(self, flow: 'ModelFlow') -> None:
        """Let a client open a flow."""


class Wish:
    """Hold what a client wants served, over all of its tries."""

    __slots__ = ('asked_at', 'number', 'tries')

    def __init__(self, *, number: int, asked_at: float) -> None:
        self.number = number
        self.asked_at = asked_at
        self.tries = 0

    def next_id(self) -> bytes:
        """Return the id of another try."""
        self.tries += 1
        return self.number.to_bytes(ID_BYTES - 1) + bytes((self.tries,))

    def is_over(self, now: float) -> bool:
        """Tell whether the client no longer wants it."""
        return now - self.asked_at >= DEADLINE_SECONDS


class ModelFlow:
    """Hold one flow of a client with the requests to send on it."""

    __slots__ = (
        '_around',
        '_asked',
        '_current',
        '_expected',
        '_left',
        '_sequence',
        'ended',
        'opened',
        'port',
    )

    def __init__(
        self, *, around: Surroundings, wish: Wish, requests: int
    ) -> None:
        self._around = around
        self._current: Wish | None = wish
        self._asked: set[bytes] = set()
        self._expected = b''
        self._left = requests - 1
        self._sequence = FIRST_SEQUENCE
        self.port = around.next_port()
        self.opened: int | None = None
        self.ended = False

    def begin(self) -> None:
        """Send the opening packet, and plan its copies."""
        for attempt, seconds in enumerate(COPIES_AFTER_SECONDS):
            copy = partial(self._open, attempt)
            self._around.timeline.after(seconds, copy)
        self._around.timeline.after(GIVE_UP_SECONDS, self._give_up)

    def take(self, packet: Packet) -> None:
        """Take a packet of the flow's upstream or of the system."""
        if self.ended:
            return
        if packet.resets:
            self._try_again()
        elif packet.accepts and self.opened is None:
            self.opened = packet.sequence + 1
            self._ask()
        elif packet.payload_bytes and self._expected:
            self._take_answer(payload_of(packet))

    def write(self, **fields: object) -> bytes:
        """Return the bytes of a packet of the flow."""
        return write_packet(
            source=(CLIENT[0], self.port), destination=SERVICE, **fields
        )

    def _open(self, attempt: int) -> None:
        if self.opened is None and not self.ended:
            raw = self.write(flags=OPEN, acknowledged=attempt)
            self._around.to_balancer(raw, self)

    def _give_up(self) -> None:
        if self.opened is None and not self.ended:
            self._try_again()

    def _ask(self) -> None:
        self._expected = self._current.next_id()
        self._asked.add(self._expected)
        self._send(self._expected, REPEAT_SECONDS)

    def _send(self, wanted: bytes, pause: float) -> None:
        if self.ended or self._expected != wanted:
            return
        if self._current.is_over(self._around.timeline.now()):
            self._end()
            return
        raw = self.write(
            flags=ACKNOWLEDGE,
            sequence=self._sequence,
            acknowledged=self.opened,
            payload=wanted,
        )
        self._around.to_balancer(raw, self)
        again = partial(self._send, wanted, 2 * pause)
        self._around.timeline.after(pause, again)

    def _take_answer(self, answer: bytes) -> None:
        outcome, answered = answer[:1], answer[1:]
        if outcome not in {ANSWERED, REJECTED}:
            self._breach('no answer of an upstream')
        if answered not in self._asked:
            self._breach('answer of another request')
        if answered != self._expected:
            # Copies of earlier answers come again after a loss.
            return
        self._sequence += len(self._expected)
        self.opened += len(answer)
        self._expected = b''
        if outcome == REJECTED:
            self._try_again()
            return
        now = self._around.timeline.now()
        self._around.ledger.serve(self._current.asked_at, now)
        self._go_on()

    def _go_on(self) -> None:
        self._current = None
        if not self._left:
            self._end()
            return
        self._left -= 1
        self._around.timeline.after(PAUSE_SECONDS, self._ask_next)

    def _ask_next(self) -> None:
        if self.ended:
            return
        self._current = self._around.new_wish()
        self._ask()

    def _try_again(self) -> None:
        self._end()
        wish = self._current
        if wish is None or wish.is_over(self._around.timeline.now()):
            return
        retry = ModelFlow(
            around=self._around, wish=wish, requests=self._left + 1
        )
        self._around.timeline.after(
            RETRY_SECONDS, partial(self._around.begin, retry)
        )

    def _end(self) -> None:
        if not self.ended and self.opened is not None:
            raw = self.write(
                flags=ACKNOWLEDGE | FINISH,
                sequence=self._sequence,
                acknowledged=self.opened,
            )
            self._around.to_balancer(raw, self)
        self.ended = True

    def _breach(self, what: str) -> None:
        now = self._around.timeline.now()
        self._around.ledger.breach('MIXED', now, what)
