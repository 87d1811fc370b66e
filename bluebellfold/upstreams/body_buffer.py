"""Buffer the request body parts that the exchange has not sent yet."""

from collections import deque

from bluebellfold.upstreams.messages import BodyPart

# A body is kept for a retry until more than this much of it was sent.
REPLAY_LIMIT_BYTES = 65_536
# Queued parts are joined until they reach this size.
TARGET_PART_BYTES = 65_536


class BodyBuffer:
    """Queue a request body for sending, and keep a small body for a retry.

    ``window`` is the maximum number of parts in flight.

    >>> body = BodyBuffer(window=1)
    >>> body.add(BodyPart(payload=b'a', last=False))
    >>> body.add(BodyPart(payload=b'b', last=True))
    >>> body.next_part(), body.next_part()
    (BodyPart(last=True, payload=b'ab'), None)
    >>> body.rewind()
    True
    >>> body.next_part()
    BodyPart(last=True, payload=b'ab')
    """

    __slots__ = (
        '_in_flight',
        '_replay_bytes',
        '_replay_parts',
        '_reported_bytes',
        '_sent_bytes',
        '_waiting',
        '_window',
    )

    def __init__(self, *, window: int) -> None:
        self._window = window
        self._in_flight: deque[int] = deque()
        self._waiting: deque[BodyPart] = deque()
        self._replay_parts: list[BodyPart] = []
        self._replay_bytes = 0
        self._sent_bytes = 0
        self._reported_bytes = 0

    @property
    def is_replayable(self) -> bool:
        """Return whether all parts sent so far can be sent again."""
        return self._replay_bytes <= REPLAY_LIMIT_BYTES

    def add(self, part: BodyPart) -> None:
        """Add the next part."""
        self._waiting.append(part)

    def acknowledge_part(self) -> int:
        """Record that the exchange sent its oldest part in flight.

        Returns how many of its bytes no earlier attempt sent.
        """
        if not self._in_flight:
            return 0
        self._sent_bytes += self._in_flight.popleft()
        new_bytes = max(0, self._sent_bytes - self._reported_bytes)
        self._reported_bytes += new_bytes
        return new_bytes

    def next_part(self) -> BodyPart | None:
        """Return the next part to send; None if empty or window full."""
        if not self._waiting or len(self._in_flight) >= self._window:
            return None
        part = self._join_waiting()
        self._in_flight.append(len(part.payload))
        self._replay_bytes += len(part.payload)
        if self.is_replayable:
            self._replay_parts.append(part)
        else:
            self._replay_parts.clear()
        return part

    def rewind(self) -> bool:
        """Restart from the first part; return False if it was not kept."""
        if not self.is_replayable:
            return False
        self._waiting.extendleft(reversed(self._replay_parts))
        self._replay_parts.clear()
        self._replay_bytes = 0
        self._sent_bytes = 0
        self._in_flight.clear()
        return True

    def _join_waiting(self) -> BodyPart:
        joined = [self._waiting.popleft()]
        size = len(joined[0].payload)
        while self._waiting and size < TARGET_PART_BYTES:
            joined.append(self._waiting.popleft())
            size += len(joined[-1].payload)
        return BodyPart(
            payload=b''.join(part.payload for part in joined),
            last=joined[-1].last,
        )
