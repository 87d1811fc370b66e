"""Inject faults into the store and change the configuration."""

import asyncio

from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.site import STORE, UNSTABLE_STORE, SoakSite
from bluebellfold.standins.relay_site import IDLE_MS

SLOW_SECONDS = 0.4
SHORT_IDLE_MS = 5000
# A call without a response may be executed up to 6 s later.
LATE_SECONDS = 6.0
# A store that comes back from a copy is away for a moment, and the operator
# repeats the lost writes after one of these times.
AWAY_SECONDS = 0.3
GAP_SECONDS = (0, 0.5, 2.0)
# More writes than the processes of a soak send during a fault.
ALL_WRITES = 1_000_000
# One of these is drawn. A creation that is held with a deletion repairs what
# the deletion does.
HELD_METHODS = (('DELETE',), ('POST', 'PUT'), ('DELETE', 'POST', 'PUT'))


@FAULTS.add('store-refuses')
async def refuse_calls(site: SoakSite, fault: ScheduledFault) -> None:
    """Make the store refuse all requests."""
    await _disturb_store(site, fault, 'refuse', setting=True)


@FAULTS.add('store-slow')
async def slow_calls(site: SoakSite, fault: ScheduledFault) -> None:
    """Make the store respond late."""
    await _disturb_store(site, fault, 'slow_seconds', setting=SLOW_SECONDS)


@FAULTS.add('store-stale')
async def read_stale(site: SoakSite, fault: ScheduledFault) -> None:
    """Make the store return stale objects."""
    await _disturb_store(site, fault, 'stale_reads', setting=True)


@FAULTS.add('store-forgets')
async def forget_history(site: SoakSite, fault: ScheduledFault) -> None:
    """Make the store drop its history."""
    site.record_disturbance(UNSTABLE_STORE, 0)
    site.store.clear_history()
    await asyncio.sleep(0)


@FAULTS.add('store-delays-writes')
async def delay_writes(site: SoakSite, fault: ScheduledFault) -> None:
    """Leave writes unanswered, and execute them seconds later."""
    if not site.try_acquire(STORE):
        return
    site.record_disturbance(STORE, fault.seconds)
    methods = HELD_METHODS[fault.target % len(HELD_METHODS)]
    site.platform.inject(hold_writes=ALL_WRITES, hold_methods=methods)
    await asyncio.sleep(fault.seconds)
    site.platform.inject(hold_writes=0)
    site.release(STORE)
    await asyncio.sleep(LATE_SECONDS)
    await site.platform.execute_held()


@FAULTS.add('store-restored')
async def restore_copy(site: SoakSite, fault: ScheduledFault) -> None:
    """Make the store lose its last writes; the operator's are repeated."""
    if not site.try_acquire(STORE):
        return
    copied = site.store.copy()
    await asyncio.sleep(fault.seconds)
    gap_seconds = GAP_SECONDS[fault.target % len(GAP_SECONDS)]
    site.record_disturbance(STORE, AWAY_SECONDS + gap_seconds)
    site.platform.inject(refuse=True)
    await asyncio.sleep(AWAY_SECONDS)
    # Watches that wait end, or go on until their time ends.
    site.store.restore(copied, ends_watches=fault.target % 2 == 0)
    site.platform.inject(refuse=0)
    await asyncio.sleep(gap_seconds)
    site.repeat_operator_writes()
    site.release(STORE)


@FAULTS.add('configuration-changed')
async def change_configuration(site: SoakSite, fault: ScheduledFault) -> None:
    """Add the extra route, or remove it if it is present."""
    site.set_extra_route(enabled=not site.has_extra_route)
    await asyncio.sleep(0)


@FAULTS.add('idle-time-lowered')
async def lower_idle_time(site: SoakSite, fault: ScheduledFault) -> None:
    """Lower the idle time of flows, and raise it again."""
    if not site.try_acquire('idle-time'):
        return
    site.set_idle_time(SHORT_IDLE_MS)
    await asyncio.sleep(fault.seconds)
    site.set_idle_time(IDLE_MS)
    site.release('idle-time')


async def _disturb_store(
    site: SoakSite, fault: ScheduledFault, option: str, *, setting: float | bool
) -> None:
    if not site.try_acquire(STORE):
        return
    site.checker.record_disturbance(
        STORE, started_at=site.now(), ended_at=site.now() + fault.seconds
    )
    site.platform.inject(**{option: setting})
    await asyncio.sleep(fault.seconds)
    site.platform.inject(**{option: 0})
    site.release(STORE)
