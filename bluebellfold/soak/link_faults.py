"""Inject faults into the links between processes and the store."""

import asyncio

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.proxy import FORWARDING, RESPONSES_LOST, STALLED
from bluebellfold.soak.site import UNSTABLE_STORE, SoakSite

DELAY_SECONDS = 0.4


@FAULTS.add('link-silent')
async def stall_link(site: SoakSite, fault: ScheduledFault) -> None:
    """Stall all traffic between a process and the store."""
    await _apply_mode(site, fault, STALLED)


@FAULTS.add('link-one-way')
async def drop_responses(site: SoakSite, fault: ScheduledFault) -> None:
    """Pass a process's requests to the store and drop the responses."""
    await _apply_mode(site, fault, RESPONSES_LOST)


@FAULTS.add('link-delayed')
async def delay_link(site: SoakSite, fault: ScheduledFault) -> None:
    """Delay the traffic between a process and the store."""
    host = _target_host(site, fault)
    proxy = site.proxies[host]
    proxy.delay_seconds = DELAY_SECONDS
    _record_disturbance(site, host, fault.seconds)
    await asyncio.sleep(fault.seconds)
    proxy.delay_seconds = float(0)


@FAULTS.add('link-reset')
async def reset_link(site: SoakSite, fault: ScheduledFault) -> None:
    """Reset a process's connections to the store."""
    host = _target_host(site, fault)
    _record_disturbance(site, host, 0)
    site.proxies[host].reset()
    await asyncio.sleep(0)


async def _apply_mode(site: SoakSite, fault: ScheduledFault, mode: str) -> None:
    host = _target_host(site, fault)
    proxy = site.proxies[host]
    _record_disturbance(site, host, fault.seconds)
    proxy.mode = mode
    await asyncio.sleep(fault.seconds)
    proxy.mode = FORWARDING


def _record_disturbance(site: SoakSite, host: str, seconds: float) -> None:
    site.record_disturbance(host, seconds)
    if host not in site.agent_hosts():
        # Balancers read evacuated zones from the store, agents don't.
        site.record_disturbance(UNSTABLE_STORE, seconds)


def _target_host(site: SoakSite, fault: ScheduledFault) -> str:
    hosts = sorted(site.proxies)
    return hosts[fault.target % len(hosts)]
