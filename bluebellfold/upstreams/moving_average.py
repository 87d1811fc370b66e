"""Average measured durations."""

# Weight of a new duration: the average covers roughly the last 10.
SMOOTHING_FACTOR = 0.1


class MovingAverage:
    """Keep an exponentially weighted moving average, in seconds.

    >>> average = MovingAverage()
    >>> average.add(2.0)
    >>> average.add(1.0)
    >>> average.seconds
    1.9
    """

    __slots__ = ('_empty', '_seconds')

    def __init__(self) -> None:
        self._seconds: float = 0
        self._empty = True

    @property
    def empty(self) -> bool:
        """Return whether no duration was added yet."""
        return self._empty

    @property
    def seconds(self) -> float:
        """Return the average; 0 if no duration was added yet."""
        return self._seconds

    def add(self, seconds: float) -> None:
        """Add a measured duration."""
        if self._empty:
            self._seconds = seconds
            self._empty = False
            return
        self._seconds += SMOOTHING_FACTOR * (seconds - self._seconds)
