"""Test the periodic export of a process's status as metrics."""

import asyncio

from bluebellfold.core import Stop
from bluebellfold.operators import MetricsTask
from bluebellfold.operators.tests.fakes import FakeProcess, make_report


class FakeMetrics:
    def __init__(self):
        self.observed = asyncio.Queue()
        self.closed = False

    def observe(self, sample):
        self.observed.put_nowait(sample)

    def close(self):
        self.closed = True


def test_sample_is_observed_at_each_interval():
    async def observe_two_samples():
        process = FakeProcess(make_report('a1', slots=0.5))
        metrics = FakeMetrics()
        metrics_task = MetricsTask(
            status_source=process,
            metrics=metrics,
            interval_seconds=0.001,
        )
        running = [
            asyncio.ensure_future(one.run()) for one in (process, metrics_task)
        ]
        samples = (await metrics.observed.get(), await metrics.observed.get())
        metrics_task.tell(Stop())
        process.tell(Stop())
        await asyncio.gather(*running)
        return samples, metrics.closed

    samples, closed = asyncio.run(observe_two_samples())
    assert {(one.flows, one.slots) for one in samples} == {(12, 0.5)}
    assert samples[0].drops == make_report('a1').drops
    assert closed
