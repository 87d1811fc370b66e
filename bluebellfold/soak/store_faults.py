"""Strike the store, and change what the operator keeps in it."""

import asyncio

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import Strike
from bluebellfold.soak.site import STORE, SoakSite

SLOW_SECONDS = 0.4


@FAULTS.add('store-refuses')
async def refuse_calls(site: SoakSite, strike: Strike) -> None:
    """Let the store turn all calls away."""
    await _trouble_store(site, strike, 'refuse', wanted=True)


@FAULTS.add('store-slow')
async def slow_calls(site: SoakSite, strike: Strike) -> None:
    """Let the store answer late."""
    await _trouble_store(site, strike, 'slow_seconds', wanted=SLOW_SECONDS)


@FAULTS.add('store-stale')
async def read_stale(site: SoakSite, strike: Strike) -> None:
    """Let the store answer with what was in force before."""
    await _trouble_store(site, strike, 'stale_reads', wanted=True)


@FAULTS.add('store-forgets')
async def forget_history(site: SoakSite, strike: Strike) -> None:
    """Let the store drop its history."""
    site.store.forget()
    await asyncio.sleep(0)


@FAULTS.add('configuration-changed')
async def change_configuration(site: SoakSite, strike: Strike) -> None:
    """Add a route, or drop it again."""
    site.change_routes(has_extra=not site.has_extra)
    await asyncio.sleep(0)


async def _trouble_store(
    site: SoakSite, strike: Strike, fault: str, *, wanted: float | bool
) -> None:
    if not site.claim(STORE):
        return
    site.ledger.note_trouble(
        STORE, began=site.now(), ended=site.now() + strike.seconds
    )
    site.platform.inject(**{fault: wanted})
    await asyncio.sleep(strike.seconds)
    site.platform.inject(**{fault: 0})
    site.release(STORE)
