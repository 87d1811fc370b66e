"""Strike what connects a process to the store."""

import asyncio

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import Strike
from bluebellfold.soak.proxy import ANSWERS_LOST, PASS, SILENT
from bluebellfold.soak.site import SoakSite

DELAY_SECONDS = 0.4


@FAULTS.add('link-silent')
async def silence_link(site: SoakSite, strike: Strike) -> None:
    """Let nothing pass between a process and the store."""
    await _spoil_link(site, strike, SILENT)


@FAULTS.add('link-one-way')
async def lose_answers(site: SoakSite, strike: Strike) -> None:
    """Let a process's calls reach the store, and lose the answers."""
    await _spoil_link(site, strike, ANSWERS_LOST)


@FAULTS.add('link-delayed')
async def delay_link(site: SoakSite, strike: Strike) -> None:
    """Hold back what passes between a process and the store."""
    host = _host_of(site, strike)
    proxy = site.proxies[host]
    proxy.delay_seconds = DELAY_SECONDS
    site.note_trouble(host, strike.seconds)
    await asyncio.sleep(strike.seconds)
    proxy.delay_seconds = float(0)


@FAULTS.add('link-reset')
async def reset_link(site: SoakSite, strike: Strike) -> None:
    """Reset a process's connections to the store."""
    host = _host_of(site, strike)
    site.note_trouble(host, 0)
    site.proxies[host].reset()
    await asyncio.sleep(0)


async def _spoil_link(site: SoakSite, strike: Strike, mode: str) -> None:
    host = _host_of(site, strike)
    proxy = site.proxies[host]
    site.note_trouble(host, strike.seconds)
    proxy.mode = mode
    await asyncio.sleep(strike.seconds)
    proxy.mode = PASS


def _host_of(site: SoakSite, strike: Strike) -> str:
    hosts = sorted(site.proxies)
    return hosts[strike.target % len(hosts)]
