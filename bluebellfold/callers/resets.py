"""Build stateless resets (RFC 9000) for packets of unknown or ended flows."""

import os

from bluebellfold.callers.limits import RateLimiter

RESETS_PER_SECOND = 200
MIN_TRIGGER_BYTES = 43
# A reset is smaller than its trigger packet, so that two endpoints cannot
# reset each other in a loop (RFC 9000).
RESET_BYTES = 42
_LONG_HEADER_BIT = 0x80
_SHORT_HEADER_MASK = 0x3F
_SHORT_HEADER_BITS = 0x40


class StatelessResets:
    """Build resets at a limited rate, each smaller than its trigger packet."""

    __slots__ = ('_limiter',)

    def __init__(self, *, now: float) -> None:
        self._limiter = RateLimiter(
            rate_per_second=RESETS_PER_SECOND,
            now=now,
        )

    def build(self, packet: bytes, reset_token: bytes, *, now: float) -> bytes:
        """Return the reset for a packet, or empty bytes to send none."""
        if packet[0] & _LONG_HEADER_BIT:
            return b''
        if len(packet) < MIN_TRIGGER_BYTES:
            return b''
        if not self._limiter.admit(now=now):
            return b''
        random_bytes = bytearray(
            os.urandom(RESET_BYTES - len(reset_token)),
        )
        random_bytes[0] = (
            random_bytes[0] & _SHORT_HEADER_MASK | _SHORT_HEADER_BITS
        )
        return bytes(random_bytes) + reset_token
