"""Kill, stop and pause processes with signals."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.site import SoakSite
from bluebellfold.standins.child import Child


@FAULTS.add('balancer-killed')
async def kill_balancer(site: SoakSite, fault: ScheduledFault) -> None:
    """Kill a balancer and restart it."""
    await _restart_process(site, fault, site.balancers, _kill)


@FAULTS.add('balancer-stopped')
async def stop_balancer(site: SoakSite, fault: ScheduledFault) -> None:
    """Stop a balancer gracefully and restart it."""
    await _restart_process(site, fault, site.balancers, site.stop)


@FAULTS.add('balancer-paused')
async def pause_balancer(site: SoakSite, fault: ScheduledFault) -> None:
    """Suspend a balancer and resume it."""
    await _pause_process(site, fault, site.balancers)


@FAULTS.add('agent-killed')
async def kill_agent(site: SoakSite, fault: ScheduledFault) -> None:
    """Kill an agent while its upstream runs, and restart it."""
    await _restart_process(site, fault, site.agents, _kill)


@FAULTS.add('agent-stopped')
async def stop_agent(site: SoakSite, fault: ScheduledFault) -> None:
    """Stop an agent gracefully and restart it."""
    await _restart_process(site, fault, site.agents, site.stop)


@FAULTS.add('agent-paused')
async def pause_agent(site: SoakSite, fault: ScheduledFault) -> None:
    """Suspend an agent and resume it."""
    await _pause_process(site, fault, site.agents)


async def _restart_process(
    site: SoakSite,
    fault: ScheduledFault,
    children: list[Child],
    terminate: Callable[[Child], Awaitable[None]],
) -> None:
    index = fault.target % len(children)
    host = children[index].host
    if not site.try_acquire(host):
        return
    await restart_held_process(
        site, children, index, terminate=terminate, seconds=fault.seconds / 2
    )
    site.release(host)


async def restart_held_process(
    site: SoakSite,
    children: list[Child],
    index: int,
    *,
    terminate: Callable[[Child], Awaitable[None]],
    seconds: float,
) -> None:
    """End a process of an acquired host, and start it after some seconds."""
    host = children[index].host
    started_at = site.now()
    # Suspends the checks during the restart; its total duration is recorded
    # afterwards.
    site.record_disturbance(host, 2 * seconds)
    await terminate(children[index])
    await asyncio.sleep(seconds)
    await site.restart(children, index)
    site.checker.record_disturbance(
        host, started_at=started_at, ended_at=site.now()
    )


async def _kill(child: Child) -> None:
    child.kill()
    await child.wait()


async def _pause_process(
    site: SoakSite, fault: ScheduledFault, children: list[Child]
) -> None:
    child = children[fault.target % len(children)]
    if not site.try_acquire(child.host):
        return
    site.record_disturbance(child.host, fault.seconds)
    child.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.seconds)
    child.send_signal(signal.SIGCONT)
    site.release(child.host)
