"""Run a load plan and return its measurements."""

import asyncio
from collections import deque

from bluebellfold.callers.load.arrivals import schedule
from bluebellfold.callers.load.measurements import Measurements
from bluebellfold.callers.load.messages import (
    HoldStream,
    RequestEnded,
    SendRequest,
    StreamBroken,
    StreamOpened,
)
from bluebellfold.callers.load.plan import LoadPlan
from bluebellfold.callers.load.worker import WorkerTask
from bluebellfold.core import Actor, Clock, MonotonicClock, Registry, Stop


class LoadTask(Actor):
    """Own the workers and measurements of a run, and schedule its requests."""

    reactions = Registry(name='reactions of a load run')

    def __init__(self, *, plan: LoadPlan, clock: Clock) -> None:
        super().__init__(name='load')
        self._plan = plan
        self._clock = clock
        self._started_at = clock.now()
        self._measurements = Measurements(plan)
        self._in_flight = 0
        self._workers = tuple(
            WorkerTask(
                plan=plan,
                number=number,
                owner=self,
                clock=clock,
                started_at=self._started_at,
            )
            for number in range(plan.workers)
        )
        self._all_sent = False

    @property
    def measurements(self) -> Measurements:
        """Return the measurements so far."""
        return self._measurements

    async def open(self) -> None:
        """Start the workers, their streams and the request schedule."""
        for worker in self._workers:
            self.spawn(worker.run(), name=worker.name)
        streams = (
            kind for kind in self._plan.kinds for _ in range(kind.streams)
        )
        for number, kind in enumerate(streams):
            self._worker_for(number).tell(HoldStream(kind=kind))
        self.spawn(self._send_requests(), name='pace')

    async def close(self) -> None:
        """Stop the workers and wait until they have closed their flows."""
        for worker in self._workers:
            worker.tell(Stop())
        await asyncio.gather(*self._children, return_exceptions=True)
        await super().close()

    @reactions.add(RequestEnded)
    def _record_request(self, message: RequestEnded) -> None:
        self._measurements.record(message)
        self._in_flight -= 1
        self._stop_when_done()

    @reactions.add(StreamOpened)
    def _record_opened_stream(self, message: StreamOpened) -> None:
        self._measurements.streams_of(message.kind).record_opened(
            message.upstream
        )

    @reactions.add(StreamBroken)
    def _record_broken_stream(self, message: StreamBroken) -> None:
        self._measurements.streams_of(message.kind).record_broken(
            message.reason
        )

    def _worker_for(self, number: int) -> WorkerTask:
        return self._workers[number % len(self._workers)]

    async def _send_requests(self) -> None:
        arrivals = deque(schedule(self._plan))
        while arrivals:
            await self._sleep_until(arrivals[0].due_at)
            arrival = arrivals.popleft()
            self._in_flight += 1
            self._worker_for(arrival.number).tell(SendRequest(arrival=arrival))
        await self._sleep_until(self._plan.seconds)
        self._all_sent = True
        self._stop_when_done()
        await self._sleep_until(self._plan.last_timeout_at)
        self.tell(Stop())

    async def _sleep_until(self, elapsed_seconds: float) -> None:
        seconds = self._started_at + elapsed_seconds - self._clock.now()
        if seconds > 0:
            await asyncio.sleep(seconds)

    def _stop_when_done(self) -> None:
        if self._all_sent and not self._in_flight:
            self.tell(Stop())


async def run_load(plan: LoadPlan) -> Measurements:
    """Run a plan to its end, and return the measurements."""
    task = LoadTask(plan=plan, clock=MonotonicClock())
    await task.run()
    return task.measurements
