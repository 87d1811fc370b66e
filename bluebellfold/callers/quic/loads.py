"""Tell an agent's load to the peers that may hand it flows."""

import asyncio
from collections.abc import Callable

from bluebellfold.agents import (
    REFRESH_INTERVAL_SECONDS,
    REPORT_INTERVAL_SECONDS,
)


class LoadTimer:
    """Call a function soon after a change, and from time to time without.

    Between two calls pass at least ``soon`` seconds, and at most ``late``
    once a first change was noted: peers do not trust old loads.
    """

    __slots__ = ('_is_soon', '_late', '_report', '_soon', '_timer')

    def __init__(
        self,
        *,
        report: Callable[[], None],
        soon: float = REPORT_INTERVAL_SECONDS,
        late: float = REFRESH_INTERVAL_SECONDS,
    ) -> None:
        self._report = report
        self._soon = soon
        self._late = late
        self._is_soon = False
        self._timer: asyncio.TimerHandle | None = None

    def note_change(self) -> None:
        """Report soon, unless that is due already."""
        if self._is_soon:
            return
        self._is_soon = True
        self._arm(self._soon)

    def close(self) -> None:
        """Report no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _arm(self, delay: float) -> None:
        self.close()
        self._timer = asyncio.get_running_loop().call_later(
            delay,
            self._expire,
        )

    def _expire(self) -> None:
        self._is_soon = False
        self._report()
        if not self._is_soon:
            self._arm(self._late)
