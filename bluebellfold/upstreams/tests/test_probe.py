"""Test load reports with wrong loads, invalid bodies and restarts."""

import asyncio

import pytest

from bluebellfold.core import Actor, Endpoint, MonotonicClock, Registry, Stop
from bluebellfold.standins.upstream import Faults, UpstreamStandin
from bluebellfold.upstreams import ProbeTask, UpstreamLoadReported
from bluebellfold.upstreams.load_reports import parse_load_report

HOST = '127.0.0.1'
TIMEOUT_SECONDS = 10


class Observer(Actor):
    reactions = Registry(name='reactions of the test observer')

    def __init__(self) -> None:
        super().__init__(name='observer')
        self.loads: list[float] = []
        self.changed = asyncio.Event()

    async def wait_for(self, load: float) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.loads or self.loads[-1] != load:
                self.changed.clear()
                await self.changed.wait()

    @reactions.add(UpstreamLoadReported)
    def _store(self, message: UpstreamLoadReported) -> None:
        self.loads.append(message.load)
        self.changed.set()


async def collect_loads_under_faults() -> list[float]:
    upstream = UpstreamStandin(name='counter-1', slots=3)
    port = await upstream.start(host=HOST, port=0)
    observer = Observer()
    probe = ProbeTask(
        upstream=Endpoint(host=HOST, port=port),
        observer=observer,
        clock=MonotonicClock(),
        interval_seconds=0,
    )
    actors = (observer, probe)
    running = [asyncio.ensure_future(actor.run()) for actor in actors]
    await observer.wait_for(0)
    upstream.update_faults(Faults(claimed_load=0.5))
    await observer.wait_for(0.5)
    upstream.update_faults(Faults(healthy=False))
    await observer.wait_for(1)
    await upstream.stop()
    restarted = UpstreamStandin(name='counter-1', slots=3)
    restarted.update_faults(Faults(claimed_load=0.25))
    await restarted.start(host=HOST, port=port)
    await observer.wait_for(0.25)
    probe.tell(Stop())
    observer.tell(Stop())
    await asyncio.gather(*running)
    await restarted.stop()
    return observer.loads


def test_load_reports_follow_the_upstream_and_its_restart():
    loads = asyncio.run(collect_loads_under_faults())
    assert set(loads) == {0, 0.5, 1, 0.25}


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'full',
        b'[]',
        b'{}',
        b'{"load": -1}',
        b'{"load": true}',
        b'{"load": NaN}',
        b'\xff',
    ],
)
def test_unusable_load_report_gives_none(body):
    assert parse_load_report(body, b'{"healthy": true}') is None
    assert parse_load_report(body, b'{"healthy": false}') == 1


def test_load_above_full_is_clamped():
    assert parse_load_report(b'{"load": 7}', b'') == 1
