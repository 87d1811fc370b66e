"""Track the active routes, and detect that they are outdated.

A stalled watch of the store delivers no changes. Agents pass on the greatest
version that any balancer has sent, so a balancer with an outdated version
detects it.
"""

from typing import Generic, TypeVar

from bluebellfold.core import (
    NO_ROUTES,
    NO_VERSION,
    RoutingTable,
    StorePosition,
)

# The operator's number of a configuration, or a position of the store.
Version = TypeVar('Version', int, StorePosition)

# The store notifies all watchers of a change within milliseconds, so a watch
# that is later than this has stalled.
MAX_LAG_SECONDS = 0.3


class NewestVersion(Generic[Version]):
    """Hold the greatest version observed, and when it was first observed.

    ``lowest`` is below all versions that processes have.
    """

    __slots__ = ('_observed_at', '_version')

    def __init__(self, *, lowest: Version) -> None:
        self._version = lowest
        self._observed_at = float(0)

    def observe(self, version: Version, now: float) -> None:
        """Record the version of another process if it is the greatest."""
        if version > self._version:
            self._version = version
            self._observed_at = now

    def is_newer_than(self, own: Version) -> bool:
        """Return whether another process has a greater version."""
        return self._version > own

    def outdates(self, own: Version, now: float) -> bool:
        """Return whether the own version has been outdated for too long."""
        return (
            self.is_newer_than(own)
            and now - self._observed_at > MAX_LAG_SECONDS
        )


class ActiveRoutes:
    """Hold the newest routing table, and whether it may be outdated."""

    __slots__ = ('_is_fresh', '_newest_version', '_table')

    def __init__(self) -> None:
        self._table = NO_ROUTES
        self._is_fresh = False
        self._newest_version = NewestVersion(lowest=NO_VERSION)

    @property
    def table(self) -> RoutingTable:
        """Return the routes, NO_ROUTES before the first configuration."""
        return self._table

    @property
    def are_loaded(self) -> bool:
        """Return whether a configuration has been loaded."""
        return self._table is not NO_ROUTES

    @property
    def are_current(self) -> bool:
        """Return whether the watch works and no newer version is known."""
        return self._is_fresh and not self._newest_version.is_newer_than(
            self.version
        )

    @property
    def version(self) -> int:
        """Return the version of the active routes."""
        return self._table.version

    def update(self, table: RoutingTable) -> bool:
        """Activate a table if it is newer, and return whether it is."""
        if table.version <= self.version:
            return False
        self._table = table
        return True

    def set_fresh(self, *, fresh: bool) -> None:
        """Set whether the watch of the configuration reaches the store."""
        self._is_fresh = fresh

    def observe(self, version: int, now: float) -> None:
        """Record the version that another balancer has active."""
        self._newest_version.observe(version, now)

    def are_outdated(self, now: float) -> bool:
        """Return whether the routes have been outdated for too long."""
        return self._newest_version.outdates(self.version, now)
