"""Strike processes by signals."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import Strike
from bluebellfold.soak.site import SoakSite
from bluebellfold.standins.child import Child


@FAULTS.add('balancer-killed')
async def kill_balancer(site: SoakSite, strike: Strike) -> None:
    """Kill a balancer and start it again."""
    await _strike_process(site, strike, site.balancers, _kill)


@FAULTS.add('balancer-stopped')
async def stop_balancer(site: SoakSite, strike: Strike) -> None:
    """Ask a balancer to stop and start it again."""
    await _strike_process(site, strike, site.balancers, site.stop)


@FAULTS.add('balancer-paused')
async def pause_balancer(site: SoakSite, strike: Strike) -> None:
    """Let a balancer stand still."""
    await _pause(site, strike, site.balancers)


@FAULTS.add('agent-killed')
async def kill_agent(site: SoakSite, strike: Strike) -> None:
    """Kill an agent beside a living upstream and start it again."""
    await _strike_process(site, strike, site.agents, _kill)


@FAULTS.add('agent-stopped')
async def stop_agent(site: SoakSite, strike: Strike) -> None:
    """Ask an agent to stop and start it again."""
    await _strike_process(site, strike, site.agents, site.stop)


@FAULTS.add('agent-paused')
async def pause_agent(site: SoakSite, strike: Strike) -> None:
    """Let an agent stand still."""
    await _pause(site, strike, site.agents)


async def _strike_process(
    site: SoakSite,
    strike: Strike,
    children: list[Child],
    end: Callable[[Child], Awaitable[None]],
) -> None:
    index = strike.target % len(children)
    host = children[index].host
    if not site.claim(host):
        return
    began = site.now()
    # Not judged until it runs again; how long that takes is noted after.
    site.note_trouble(host, strike.seconds)
    await end(children[index])
    await asyncio.sleep(strike.seconds / 2)
    await site.restart(children, index)
    site.ledger.note_trouble(host, began=began, ended=site.now())
    site.release(host)


async def _kill(child: Child) -> None:
    child.kill()
    await child.wait()


async def _pause(site: SoakSite, strike: Strike, children: list[Child]) -> None:
    child = children[strike.target % len(children)]
    if not site.claim(child.host):
        return
    site.note_trouble(child.host, strike.seconds)
    child.send(signal.SIGSTOP)
    await asyncio.sleep(strike.seconds)
    child.send(signal.SIGCONT)
    site.release(child.host)
