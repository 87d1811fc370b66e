"""Strike upstreams: they crash, and they leave as planned."""

import asyncio
from http import HTTPStatus

from bluebellfold.core import PlatformUnavailableError
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.ledger import DRAIN_SECONDS
from bluebellfold.soak.plan import Strike
from bluebellfold.soak.site import SoakSite

# A leaving upstream stays a little longer than it has to.
LEAVE_SECONDS = 1.0


@FAULTS.add('upstream-crashed')
async def crash_upstream(site: SoakSite, strike: Strike) -> None:
    """End an upstream, and start it anew."""
    index = strike.target % len(site.upstreams)
    if not site.claim(f'upstream-{index}'):
        return
    site.crash_upstream(index)
    await asyncio.sleep(strike.seconds)
    site.start_upstream(index)
    site.release(f'upstream-{index}')


@FAULTS.add('upstream-drained')
async def drain_upstream(site: SoakSite, strike: Strike) -> None:
    """Let an upstream leave, and another come in its place."""
    index = strike.target % len(site.upstreams)
    agent = site.agents[index]
    what = f'upstream-{index}'
    if len(site.draining) + 1 >= len(site.upstreams) or not site.claim(what):
        return
    site.draining.add(index)
    upstream = site.upstreams[index]
    while not await _is_acknowledged(site, index):
        await asyncio.sleep(strike.seconds / 10)
    await asyncio.sleep(DRAIN_SECONDS)
    opened = len(upstream.opened)
    await asyncio.sleep(LEAVE_SECONDS)
    if site.ledger.is_calm(agent.host, at=site.now()):
        site.ledger.note_drained(
            upstream.name, opened=len(upstream.opened) - opened
        )
    site.crash_upstream(index)
    site.draining.discard(index)
    site.start_upstream(index)
    site.release(what)


async def _is_acknowledged(site: SoakSite, index: int) -> bool:
    try:
        status = await site.announce(
            index, born=site.born[index], state='draining'
        )
    except PlatformUnavailableError:
        # An agent that is away acknowledges later.
        return False
    return status == HTTPStatus.OK
