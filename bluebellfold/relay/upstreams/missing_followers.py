"""Decide when an agent that no balancer follows has its entry verified.

Load pattern: the store loses an entry before any balancer has read it, or
while no balancer runs. None of them can miss the agent then. In a large fleet
some agents have no follower for other reasons, and all have none after a loss
of all balancers, so that the reads become rare.
"""

# Balancers read the list within 0.6 s of a change, and subscribe at once.
FIRST_CHECK_SECONDS = 2.0
MAX_CHECK_SECONDS = 32.0


class MissingFollowers:
    """Track since when an agent has no followers.

    >>> missing = MissingFollowers(now=0.0)
    >>> [missing.detect_check_due(0, float(now)) for now in (1, 2, 3, 6)]
    [False, True, False, True]
    >>> missing.detect_check_due(1, 11.0), missing.detect_check_due(0, 12.0)
    (False, False)
    """

    __slots__ = ('_due', '_interval_seconds')

    def __init__(self, *, now: float) -> None:
        self._restart(now)

    def detect_check_due(self, followers: int, now: float) -> bool:
        """Return whether to check the entry; begin the next, longer wait."""
        if followers:
            self._restart(now)
            return False
        if now < self._due:
            return False
        self._interval_seconds = min(
            2 * self._interval_seconds, MAX_CHECK_SECONDS
        )
        self._due = now + self._interval_seconds
        return True

    def _restart(self, now: float) -> None:
        self._interval_seconds = FIRST_CHECK_SECONDS
        self._due = now + FIRST_CHECK_SECONDS
