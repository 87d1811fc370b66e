"""Decide which of the versions that balancers tell an agent passes on.

Load pattern: balancers tell an agent in turns what they know of the store, some
of them late or cut off, and two of them may know different eras of it.
"""

from bluebellfold.core import NO_POSITION, NO_VERSION
from bluebellfold.relay.agents import (
    Evacuation,
    KnownEra,
    Versions,
    merge_evacuations,
)


class KnownVersions:
    """Hold the newest versions that balancers have told."""

    __slots__ = ('_known_era', '_versions')

    def __init__(self) -> None:
        self._known_era = KnownEra()
        self._versions = Versions(configuration=NO_VERSION, agents=NO_POSITION)

    @property
    def newest(self) -> Versions:
        """Return the newest versions."""
        return self._versions

    @property
    def evacuation(self) -> Evacuation:
        """Return the newest state of the agent's zone."""
        return self._versions.evacuation

    @property
    def era(self) -> int:
        """Return the newest era of the store, NO_ERA before the first."""
        return self._known_era.number

    def learn(self, told: Versions, now: float) -> bool:
        """Merge the versions of a balancer.

        Return whether they are of an era that follows the known one.
        """
        known = self._versions
        has_risen = self._known_era.observe(told.era, now)
        self._versions = Versions(
            configuration=max(known.configuration, told.configuration),
            agents=max(known.agents, told.agents),
            evacuation=merge_evacuations(
                known.evacuation,
                told.evacuation,
                may_lack_writes=self._known_era.may_lack_writes(now),
            ),
        )
        return has_risen
