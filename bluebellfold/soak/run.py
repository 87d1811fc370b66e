"""Run one seed of the soak."""

import asyncio
import time
from functools import partial
from pathlib import Path

from bluebellfold.core import Record, read_only
from bluebellfold.soak.callers import (
    follow_flows,
    probe_routes,
    send_singles,
)
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.ledger import Ledger
from bluebellfold.soak.plan import Strike, draw_plan
from bluebellfold.soak.site import SoakSite
from bluebellfold.standins.relay_ends import FlowResetError, StandinClient

# After the last fault all is well again within this, on a busy machine.
RECOVERY_SECONDS = 12.0
POLL_SECONDS = 0.2
LONG_FLOWS = 6
NETS = 200
SINGLES = 3


class Report(Record):
    """State what a seed showed."""

    __slots__ = ('_broken', '_failed', '_seed', '_served', '_strikes')

    broken: tuple[str, ...] = read_only('_broken')
    failed: int = read_only('_failed')
    seed: int = read_only('_seed')
    served: int = read_only('_served')
    strikes: tuple[Strike, ...] = read_only('_strikes')

    def __init__(
        self, *, seed: int, strikes: tuple[Strike, ...], ledger: Ledger
    ) -> None:
        self._seed = seed
        self._strikes = strikes
        self._broken = tuple(ledger.broken)
        self._served = ledger.served
        self._failed = ledger.failed


async def run_seed(
    seed: int,
    *,
    folder: Path,
    seconds: float = 12.0,
    balancers: int = 3,
    agents: int = 4,
) -> Report:
    """Play the faults of a seed, and return what callers saw."""
    ledger = Ledger()
    # Runs beside each other keep to addresses of their own.
    net = 1 + seed % NETS
    site = SoakSite(folder=folder, net=net, ledger=ledger)
    kinds = sorted(FAULTS)
    strikes = draw_plan(seed, seconds=seconds, kinds=kinds)
    async with site.running(balancers=balancers, agents=agents):
        site.begin()
        for upstream in site.upstreams:
            upstream.on_request = ledger.note_run
        await _play(site, strikes)
        await _stop_proxies(site)
    return Report(seed=seed, strikes=strikes, ledger=ledger)


async def _play(site: SoakSite, strikes: tuple[Strike, ...]) -> None:
    work = [asyncio.create_task(site.keep_announcing())]
    await _wait_until_served(site)
    callers = (
        *(partial(follow_flows, site) for _ in range(LONG_FLOWS)),
        *(partial(send_singles, site) for _ in range(SINGLES)),
        *(
            partial(probe_routes, site, index)
            for index in range(len(site.balancers))
        ),
    )
    site.begin()
    work.extend(asyncio.create_task(call()) for call in callers)
    await asyncio.gather(*(_strike(site, strike) for strike in strikes))
    try:
        async with asyncio.timeout(RECOVERY_SECONDS):
            await _wait_until_served(site)
    except TimeoutError:
        site.ledger.broken.append('not served after the last fault')
    ended = await _end(work)
    site.ledger.broken.extend(
        f'a caller failed: {error!r}'
        for error in ended
        if not isinstance(error, asyncio.CancelledError)
    )


async def _end(work: list[asyncio.Task[None]]) -> list[BaseException | None]:
    """Cancel tasks, and return how they ended."""
    pending = set(work)
    while pending:
        for task in pending:
            task.cancel()
        # Python 3.11's wait_for loses a cancellation that comes together with
        # what it waits for, so one may not be enough.
        _, pending = await asyncio.wait(pending, timeout=POLL_SECONDS)
    return await asyncio.gather(*work, return_exceptions=True)


async def _strike(site: SoakSite, strike: Strike) -> None:
    await asyncio.sleep(max(0, strike.at - site.now()))
    await FAULTS.find(strike.kind)(site, strike)


async def _wait_until_served(site: SoakSite) -> None:
    """Return once a request through each balancer is answered."""
    await asyncio.gather(
        *(_wait_for(site, index) for index in range(len(site.balancers)))
    )


async def _wait_for(site: SoakSite, balancer: int) -> None:
    while not await _is_served(site, balancer):
        await asyncio.sleep(POLL_SECONDS)


async def _is_served(site: SoakSite, index: int) -> bool:
    client = site.client(fixed=index)
    try:
        await _ask_once(client)
    except (FlowResetError, TimeoutError):
        return False
    finally:
        client.close()
    return True


async def _ask_once(client: StandinClient) -> None:
    flow = await client.open()
    await flow.ask(b'is it served at %d?' % time.monotonic_ns())


async def _stop_proxies(site: SoakSite) -> None:
    await asyncio.gather(*(proxy.stop() for proxy in site.proxies.values()))
