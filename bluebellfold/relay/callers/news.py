"""Hold what is in force, and what others are known to have.

Answers a watch of the store that fell silent: agents pass on the greatest
number that any balancer named, so one that lags behind notices.
"""

from bluebellfold.core import NO_ROUTES, NO_VERSION, RoutingTable

# The store tells all its watchers of a change within milliseconds.
LAG_SECONDS = 0.3


class Newest:
    """Hold the greatest number that was heard of, and since when."""

    __slots__ = ('_heard_at', '_number')

    def __init__(self) -> None:
        self._number = NO_VERSION
        self._heard_at = float(0)

    def hear(self, number: int, now: float) -> None:
        """Note a number that another process has."""
        if number > self._number:
            self._number = number
            self._heard_at = now

    def is_beyond(self, own: int) -> bool:
        """Tell whether others have a greater number."""
        return self._number > own

    def lags(self, own: int, now: float) -> bool:
        """Tell whether others have had a greater number for a while."""
        return self.is_beyond(own) and now - self._heard_at > LAG_SECONDS


class RoutesInForce:
    """Hold the newest configuration, and whether it may be outdated."""

    __slots__ = ('_are_fresh', '_newest', '_table')

    def __init__(self) -> None:
        self._table = NO_ROUTES
        self._are_fresh = False
        self._newest = Newest()

    @property
    def table(self) -> RoutingTable:
        """Return the routes, NO_ROUTES before the first configuration."""
        return self._table

    @property
    def are_known(self) -> bool:
        """Tell whether a configuration was ever read."""
        return self._table is not NO_ROUTES

    @property
    def are_fresh(self) -> bool:
        """Tell whether the store would bring a newer one at once."""
        return self._are_fresh and not self._newest.is_beyond(self.version)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self._table.version

    def change(self, table: RoutingTable) -> bool:
        """Take a newer table, and tell whether it was one."""
        if table.version <= self.version:
            return False
        self._table = table
        return True

    def mark(self, *, fresh: bool) -> None:
        """Note whether the store answers."""
        self._are_fresh = fresh

    def hear(self, version: int, now: float) -> None:
        """Note a version that another balancer has in force."""
        self._newest.hear(version, now)

    def lags(self, now: float) -> bool:
        """Tell whether others have had a newer one for a while."""
        return self._newest.lags(self.version, now)
