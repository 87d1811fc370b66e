"""Count events by name."""

from bluebellfold.core.record import Record, read_only


class Count(Record):
    """Give the number of events of one name."""

    __slots__ = ('_name', '_times')

    name: str = read_only('_name')
    times: int = read_only('_times')

    def __init__(self, *, name: str, times: int) -> None:
        self._name = name
        self._times = times


class Tally:
    """Count events by name.

    >>> tally = Tally()
    >>> tally.add('forged-token')
    >>> tally.add('forged-token')
    >>> tally.counts()
    (Count(name='forged-token', times=2),)
    """

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: dict[str, int] = {}

    def add(self, name: str, times: int = 1) -> None:
        """Add one or more events of a name."""
        self._times[name] = self._times.get(name, 0) + times

    def times(self, name: str) -> int:
        """Return the number of events of a name."""
        return self._times.get(name, 0)

    def counts(self) -> tuple[Count, ...]:
        """Return all counts, sorted by name."""
        return tuple(
            Count(name=name, times=self._times[name])
            for name in sorted(self._times)
        )
