"""Track the drains of an agent until its flows have ended."""

import asyncio
from collections.abc import Callable

from bluebellfold.callers.quic.messages import DrainFlows, FlowCounts

IDLE_CHECK_INTERVAL_SECONDS = 1.0


class PendingDrains:
    """Hold the drain requests that have no reply yet."""

    __slots__ = ('_pending', '_idle_timer', '_close_idle', '_deadline_timer')

    def __init__(self, *, close_idle: Callable[[], None]) -> None:
        self._close_idle = close_idle
        self._pending: list[DrainFlows] = []
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def add(
        self, drain: DrainFlows, *, handle_deadline: Callable[[], None]
    ) -> None:
        """Add a drain, and call ``handle_deadline`` at its deadline.

        A newer drain replaces the deadline. Idle flows are closed every
        second from the first drain on.
        """
        if self._idle_timer is None:
            self._schedule_idle_check()
        self._pending.append(drain)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_timer = asyncio.get_running_loop().call_later(
            drain.deadline_seconds,
            handle_deadline,
        )

    def finish(self, counts: FlowCounts) -> None:
        """Reply to all pending drains with the counts."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        for drain in self._pending:
            drain.reply.put(counts)
        self._pending.clear()

    def close(self) -> None:
        """Cancel the timers."""
        for timer in (self._deadline_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()

    def _schedule_idle_check(self) -> None:
        self._idle_timer = asyncio.get_running_loop().call_later(
            IDLE_CHECK_INTERVAL_SECONDS,
            self._check_idle,
        )

    def _check_idle(self) -> None:
        self._schedule_idle_check()
        self._close_idle()
