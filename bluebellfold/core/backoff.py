"""Compute the delay before a retry."""

from random import Random

BASE_SECONDS = 0.05
CAP_SECONDS = 2.0
# Every cap is reached before this exponent, and a float does not overflow.
MAX_EXPONENT = 32


class Backoff:
    """Compute exponential delays with a cap and jitter.

    >>> backoff = Backoff(randomness=Random(1), base_seconds=1, cap_seconds=4)
    >>> 0.5 <= backoff.delay_seconds(0) <= 1
    True
    >>> 2 <= backoff.delay_seconds(9) <= 4
    True
    """

    __slots__ = ('_base_seconds', '_cap_seconds', '_randomness')

    def __init__(
        self,
        *,
        randomness: Random,
        base_seconds: float = BASE_SECONDS,
        cap_seconds: float = CAP_SECONDS,
    ) -> None:
        self._randomness = randomness
        self._base_seconds = base_seconds
        self._cap_seconds = cap_seconds

    def delay_seconds(self, attempt: int) -> float:
        """Return the delay after the attempt, counted from 0, in seconds."""
        doubled = self._base_seconds * 2 ** min(attempt, MAX_EXPONENT)
        longest = min(self._cap_seconds, doubled)
        return self._randomness.uniform(longest / 2, longest)
