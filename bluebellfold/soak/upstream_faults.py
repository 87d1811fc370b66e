"""Crash and drain upstreams."""

import asyncio
import time
from http import HTTPStatus

from bluebellfold.core import PlatformUnavailableError
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.invariants import DRAIN_GRACE_SECONDS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.site import (
    MS_PER_SECOND,
    WARMUP_FLOWS_PER_SECOND,
    WARMUP_OVERSHOOT,
    WARMUP_SECONDS,
    WARMUP_SLACK,
    SoakSite,
)

CLOCK_STEP_MS = 2000
# A draining upstream is observed for this long after the grace time.
OBSERVATION_SECONDS = 1.0
POLL_SECONDS = 0.1


@FAULTS.add('upstream-crashed')
async def crash_upstream(site: SoakSite, fault: ScheduledFault) -> None:
    """Crash an upstream and restart it cold."""
    index = fault.target % len(site.upstreams)
    if not site.try_acquire(f'upstream-{index}'):
        return
    site.crash_upstream(index)
    await asyncio.sleep(fault.seconds)
    upstream = site.start_cold_upstream(index)
    warm_at = time.monotonic() + WARMUP_SECONDS
    await wait_until_announced(site, index)
    # Until now, the agent may not have known of the restart.
    known_at = time.monotonic()
    await asyncio.sleep(max(0, warm_at - known_at))
    site.checker.record_warmup(
        upstream.name,
        [at for at in upstream.opening_times if known_at <= at < warm_at],
        bound=WARMUP_FLOWS_PER_SECOND * WARMUP_OVERSHOOT + WARMUP_SLACK,
    )
    site.release(f'upstream-{index}')


@FAULTS.add('upstream-restarted-on-an-earlier-clock')
async def restart_on_an_earlier_clock(
    site: SoakSite, fault: ScheduledFault
) -> None:
    """Restart an upstream at once, on a clock that was set back."""
    index = fault.target % len(site.upstreams)
    if not site.try_acquire(f'upstream-{index}'):
        return
    site.crash_upstream(index)
    site.start_upstream(index, clock_step_ms=-CLOCK_STEP_MS)
    await asyncio.sleep(fault.seconds)
    site.release(f'upstream-{index}')


@FAULTS.add('upstream-started-on-a-clock-ahead')
async def start_on_a_clock_ahead(site: SoakSite, fault: ScheduledFault) -> None:
    """Restart an upstream on a clock that is ahead, and then its agent."""
    index = fault.target % len(site.upstreams)
    component = f'upstream-{index}'
    if not site.try_acquire(component):
        return
    site.crash_upstream(index)
    ahead_ms = round(time.time() * MS_PER_SECOND) + CLOCK_STEP_MS
    site.start_upstream(
        index, clock_step_ms=ahead_ms - site.incarnations[index]
    )
    await asyncio.sleep(fault.seconds / 10)
    await FAULTS.find('agent-stopped')(site, fault.replace(target=index))
    site.release(component)


@FAULTS.add('opening-lost')
async def lose_opening(site: SoakSite, fault: ScheduledFault) -> None:
    """Lose the next opening packet to an upstream."""
    index = fault.target % len(site.upstreams)
    site.upstreams[index].loses_next_opening = True
    await asyncio.sleep(0)


@FAULTS.add('upstream-drained')
async def drain_upstream(site: SoakSite, fault: ScheduledFault) -> None:
    """Drain an upstream and replace it."""
    index = fault.target % len(site.upstreams)
    agent = site.agents[index]
    component = f'upstream-{index}'
    if len(site.draining) + 1 >= len(site.upstreams) or not site.try_acquire(
        component
    ):
        return
    site.draining.add(index)
    upstream = site.upstreams[index]
    await wait_until_announced(site, index)
    await asyncio.sleep(DRAIN_GRACE_SECONDS)
    opened = len(upstream.opened_flows)
    await asyncio.sleep(OBSERVATION_SECONDS)
    if site.checker.is_undisturbed(agent.host, at=site.now()):
        site.checker.record_drain(
            upstream.name, opened=len(upstream.opened_flows) - opened
        )
    site.crash_upstream(index)
    site.draining.discard(index)
    site.start_upstream(index)
    site.release(component)


async def wait_until_announced(site: SoakSite, index: int) -> None:
    """Announce an upstream until its agent acknowledges it."""
    while not await _is_announced(site, index):
        await asyncio.sleep(POLL_SECONDS)


async def _is_announced(site: SoakSite, index: int) -> bool:
    try:
        status = await site.announce_current(index)
    except PlatformUnavailableError:
        # An unreachable agent acknowledges later.
        return False
    return status == HTTPStatus.OK
