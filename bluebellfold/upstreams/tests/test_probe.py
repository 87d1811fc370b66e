"""Test what the probe tells of an upstream that lags, lies or is away."""

import asyncio

import pytest

from bluebellfold.core import Actor, Endpoint, MonotonicClock, Registry, Stop
from bluebellfold.standins.upstream import Faults, UpstreamStandin
from bluebellfold.upstreams import ProbeTask, UpstreamClaimed
from bluebellfold.upstreams.claims import parse_load_report

HOST = '127.0.0.1'
LONG_SECONDS = 10


class Observer(Actor):
    reactions = Registry(name='reactions of the test observer')

    def __init__(self) -> None:
        super().__init__(name='observer')
        self.claims: list[float] = []
        self.changed = asyncio.Event()

    async def wait_for(self, load: float) -> None:
        async with asyncio.timeout(LONG_SECONDS):
            while not self.claims or self.claims[-1] != load:
                self.changed.clear()
                await self.changed.wait()

    @reactions.add(UpstreamClaimed)
    def _take(self, message: UpstreamClaimed) -> None:
        self.claims.append(message.load)
        self.changed.set()


async def probe_through_faults() -> list[float]:
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
    upstream.choose_faults(Faults(claimed_load=0.5))
    await observer.wait_for(0.5)
    upstream.choose_faults(Faults(healthy=False))
    await observer.wait_for(1)
    await upstream.stop()
    again = UpstreamStandin(name='counter-1', slots=3)
    again.choose_faults(Faults(claimed_load=0.25))
    await again.start(host=HOST, port=port)
    await observer.wait_for(0.25)
    probe.tell(Stop())
    observer.tell(Stop())
    await asyncio.gather(*running)
    await again.stop()
    return observer.claims


def test_claims_follow_the_upstream_and_its_return():
    claims = asyncio.run(probe_through_faults())
    assert set(claims) == {0, 0.5, 1, 0.25}


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
def test_unusable_claim_is_none(body):
    assert parse_load_report(body, b'{"healthy": true}') is None
    assert parse_load_report(body, b'{"healthy": false}') == 1


def test_claim_beyond_full_is_full():
    assert parse_load_report(b'{"load": 7}', b'') == 1
