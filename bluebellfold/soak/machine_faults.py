"""Restart agents together with their upstreams, as planned work does."""

import asyncio

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.invariants import DRAIN_GRACE_SECONDS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.process_faults import restart_held_process
from bluebellfold.soak.site import SoakSite
from bluebellfold.soak.upstream_faults import wait_until_announced


@FAULTS.add('machine-restarted')
async def restart_machine(site: SoakSite, fault: ScheduledFault) -> None:
    """Drain and deregister an upstream, and restart it and its agent."""
    index = fault.target % len(site.agents)
    components = (f'upstream-{index}', site.agents[index].host)
    if len(site.draining) + 1 >= len(site.upstreams):
        return
    if not site.try_acquire_all(components):
        return
    site.draining.add(index)
    await wait_until_announced(site, index)
    await asyncio.sleep(DRAIN_GRACE_SECONDS)
    await site.deregister(index)
    site.crash_upstream(index)
    await restart_held_process(
        site, site.agents, index, terminate=site.stop, seconds=fault.seconds / 4
    )
    site.draining.discard(index)
    site.start_upstream(index)
    for component in components:
        site.release(component)


@FAULTS.add('machine-restarted-in-late-writes')
async def restart_in_late_writes(site: SoakSite, fault: ScheduledFault) -> None:
    """Restart a machine while writes are unanswered and executed late."""
    longest = DRAIN_GRACE_SECONDS + fault.seconds
    await asyncio.gather(
        FAULTS.find('store-delays-writes')(
            site, fault.replace(seconds=longest)
        ),
        restart_machine(site, fault),
    )
