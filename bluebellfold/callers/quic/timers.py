"""Schedule the QUIC timers of flows on the event loop."""

import asyncio
from collections.abc import Callable

from bluebellfold.callers.quic.flow import Flow
from bluebellfold.core import Clock


class FlowTimers:
    """Hold at most one event loop timer for each flow."""

    __slots__ = ('_clock', '_timers', '_handle_timer')

    def __init__(
        self, *, clock: Clock, handle_timer: Callable[[Flow], None]
    ) -> None:
        self._clock = clock
        self._handle_timer = handle_timer
        self._timers: dict[bytes, asyncio.TimerHandle] = {}

    def arm(self, flow: Flow) -> None:
        """Replace the timer of a flow by one for its next due time."""
        self.cancel(flow)
        timer_at = flow.next_timer_at
        if timer_at is None:
            return
        delay = max(0, timer_at - self._clock.now())
        self._timers[flow.key] = asyncio.get_running_loop().call_later(
            delay,
            self._handle_timer,
            flow,
        )

    def cancel(self, flow: Flow) -> None:
        """Cancel the timer of a flow."""
        timer = self._timers.pop(flow.key, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
