"""Schedule the load reports of an agent."""

import asyncio
from collections.abc import Callable

from bluebellfold.agents import (
    REFRESH_INTERVAL_SECONDS,
    REPORT_INTERVAL_SECONDS,
)


class LoadReportTimer:
    """Call ``report`` after changes, and periodically without them.

    Calls are at least ``report_interval_seconds`` apart. After the first
    change they repeat every ``refresh_interval_seconds`` even without
    further changes, because peers ignore old load reports.
    """

    __slots__ = (
        '_is_report_scheduled',
        '_refresh_interval_seconds',
        '_report',
        '_report_interval_seconds',
        '_timer',
    )

    def __init__(
        self,
        *,
        report: Callable[[], None],
        report_interval_seconds: float = REPORT_INTERVAL_SECONDS,
        refresh_interval_seconds: float = REFRESH_INTERVAL_SECONDS,
    ) -> None:
        self._report = report
        self._report_interval_seconds = report_interval_seconds
        self._refresh_interval_seconds = refresh_interval_seconds
        self._is_report_scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def record_change(self) -> None:
        """Schedule a report unless one is scheduled already."""
        if self._is_report_scheduled:
            return
        self._is_report_scheduled = True
        self._schedule(self._report_interval_seconds)

    def close(self) -> None:
        """Stop reporting."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, delay_seconds: float) -> None:
        self.close()
        self._timer = asyncio.get_running_loop().call_later(
            delay_seconds,
            self._expire,
        )

    def _expire(self) -> None:
        self._is_report_scheduled = False
        self._report()
        if not self._is_report_scheduled:
            self._schedule(self._refresh_interval_seconds)
