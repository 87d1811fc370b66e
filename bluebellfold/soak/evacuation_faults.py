"""Evacuate zones, alone and beside faults of the store and of processes."""

import asyncio

from bluebellfold.platform import EVACUATIONS_KIND
from bluebellfold.soak.evacuation_bound import bound_of_evacuation
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.site import STORE, UNSTABLE_STORE, SoakSite

# An evacuated zone is observed for this long after the bound.
OBSERVATION_SECONDS = 3.0
# Overlapping faults can defer the bound for longer than a run should take.
MAX_EVACUATION_SECONDS = 20.0
POLL_SECONDS = 0.1
STORE_FAULTS = (
    'store-refuses',
    'store-slow',
    'store-forgets',
    'link-silent',
    'link-one-way',
    'link-reset',
)
RESTARTS = (
    'agent-killed',
    'balancer-killed',
    'agent-stopped',
    'balancer-stopped',
)


@FAULTS.add('zone-evacuated')
async def evacuate_zone(site: SoakSite, fault: ScheduledFault) -> None:
    """Evacuate a zone, and end the evacuation."""
    zone = site.zone(fault.target)
    component = f'zone-{zone}'
    if not site.try_acquire(component):
        return
    site.evacuated.add(zone)
    site.store.put(EVACUATIONS_KIND, zone, {})
    acknowledged_at = site.now()
    while not _is_observed(site, acknowledged_at):
        await asyncio.sleep(POLL_SECONDS)
    ended_at = site.now()
    site.end_evacuation(zone)
    site.evacuated.discard(zone)
    site.record_disturbance(zone, 0)
    site.checker.record_evacuation(
        zone,
        site.openings(zone),
        in_force_at=_bound(site, acknowledged_at),
        ended_at=ended_at,
    )
    site.release(component)


@FAULTS.add('zone-evacuated-in-a-store-fault')
async def evacuate_in_store_fault(
    site: SoakSite, fault: ScheduledFault
) -> None:
    """Evacuate a zone while the store, or a link to it, has a fault."""
    # Any of the faults occurs with any of the zones.
    kind = STORE_FAULTS[fault.target // len(site.zones) % len(STORE_FAULTS)]
    await asyncio.gather(
        FAULTS.find(kind)(site, fault),
        _evacuate_later(site, fault, fault.seconds / 2),
    )


@FAULTS.add('zone-evacuated-beside-restarts')
async def evacuate_beside_restarts(
    site: SoakSite, fault: ScheduledFault
) -> None:
    """Evacuate a zone while agents and balancers restart."""
    await asyncio.gather(evacuate_zone(site, fault), _restart_all(site, fault))


async def _evacuate_later(
    site: SoakSite, fault: ScheduledFault, seconds: float
) -> None:
    await asyncio.sleep(seconds)
    await evacuate_zone(site, fault)


async def _restart_all(site: SoakSite, fault: ScheduledFault) -> None:
    remaining = [FAULTS.find(kind) for kind in RESTARTS]
    while remaining:
        await remaining.pop(0)(site, fault)


def _is_observed(site: SoakSite, acknowledged_at: float) -> bool:
    now = site.now()
    observed_until = _bound(site, acknowledged_at) + OBSERVATION_SECONDS
    return now > min(observed_until, acknowledged_at + MAX_EVACUATION_SECONDS)


def _bound(site: SoakSite, acknowledged_at: float) -> float:
    return bound_of_evacuation(
        acknowledged_at,
        outages=site.checker.disturbances(STORE),
        unstable=site.checker.disturbances(UNSTABLE_STORE),
    )
