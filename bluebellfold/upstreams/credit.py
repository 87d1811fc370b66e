"""Account for the guaranteed share of a request kind."""

# An idle kind accumulates at most this much of its share, for a burst.
BURST_SECONDS = 3.0


class Credit:
    """Keep a token bucket in slot-seconds, filled at the guaranteed rate.

    >>> credit = Credit(guaranteed=0.5, now=0)
    >>> credit.spend(3.0)
    >>> credit.accrue(now=1.0)
    >>> credit.balance
    -1.0
    """

    __slots__ = ('_balance', '_guaranteed', '_updated_at')

    def __init__(self, *, guaranteed: float, now: float) -> None:
        self._guaranteed = guaranteed
        self._updated_at = now
        self._balance = guaranteed * BURST_SECONDS

    @property
    def guaranteed(self) -> float:
        """Return the guaranteed slots or connections, maybe fractional."""
        return self._guaranteed

    @property
    def balance(self) -> float:
        """Return the slot-seconds left; negative if overspent."""
        return self._balance

    @property
    def balance_seconds(self) -> float:
        """Return how long the share takes to earn the balance, in seconds."""
        return self._balance / self._guaranteed

    def accrue(self, now: float) -> None:
        """Add the guaranteed share of the time since the last call."""
        earned = (now - self._updated_at) * self._guaranteed
        limit = self._guaranteed * BURST_SECONDS
        self._balance = min(limit, self._balance + earned)
        self._updated_at = now

    def update_guarantee(self, *, guaranteed: float, now: float) -> None:
        """Change the guaranteed rate and, with it, the maximum balance."""
        self.accrue(now)
        self._guaranteed = guaranteed
        self.accrue(now)

    def spend(self, slot_seconds: float) -> None:
        """Charge a start, or correct its charge when the request ends."""
        self._balance -= slot_seconds
