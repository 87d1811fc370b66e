"""A zone is evacuated after the store came back from a copy."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3 import (  # noqa: E402
    BROKEN,
    GRACE_S,
    HEARTBEAT_S,
    HELD,
    RESTART_DELAY_S,
    TROUBLE,
    run_case,
)

SIDES = 6
EDGES = 2
# The bounds of the site.
EVACUATE_S = 5.0
STABLE_WINDOW_S = 5.0
# The daemons that are restarted, two at a time: a share of a third.
ROLLED = (0, 1)
# The restarted daemons write their entries with the next heartbeat, and each
# balancer renews its watch of the store within 5 s after that.
RENEWAL_S = HEARTBEAT_S + 5.3
AWAY_S = 0.5
OBSERVED_S = 6.0
REQUESTS_PER_S = 10


async def case(site):
    site.bounds = {
        'EvacuateMs': 5000,
        'WarmupOvershoot': 1.5,
        'WarmupSlack': 5,
    }
    await site.begin()
    agents = [await site.start_program('agent', each) for each in range(SIDES)]
    edges = [
        await site.start_program('balancer', each) for each in range(EDGES)
    ]
    await asyncio.sleep(1.0)
    backends = [
        site.add_backend(each, name=f'i-{each}') for each in range(SIDES)
    ]
    for edge in edges:
        await site.wait_ready(edge)
    requesters = asyncio.create_task(_send(site))
    await asyncio.sleep(3.0)

    # Planned work: daemons beside backends are restarted.
    copied = site.store.copy()
    taken_at = time.monotonic()
    site.record(f'the store is copied as of revision {copied[0]}')
    await asyncio.gather(*(_restart(site, agents, each) for each in ROLLED))
    await asyncio.sleep(RENEWAL_S)
    if TROUBLE:
        site.record(f'the store is away, at revision {site.store.revision}')
        site.store.set_busy(busy=True)
        await asyncio.sleep(AWAY_S)
        site.store.restore(copied)
        site.store.set_busy(busy=False)
        site.record(
            f'it is back at revision {site.store.revision}, from a copy '
            f'{time.monotonic() - taken_at:.1f} s old'
        )
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    zone = site.zone(0)
    site.store.put('evacuations', zone, {})
    acknowledged_at = time.monotonic()
    site.record(f'{zone} is evacuated, revision {site.store.revision}')
    await asyncio.sleep(EVACUATE_S + OBSERVED_S)
    requesters.cancel()
    late = elsewhere = 0
    for number, backend in enumerate(backends):
        count = sum(
            at > acknowledged_at + EVACUATE_S for at, *_ in backend.syn_times
        )
        site.record(f'{count} flows opened late at {backend.name}')
        if site.zone(number) == zone:
            late += count
        else:
            elsewhere += count
    site.record(f'{late} late flows in {zone}, {elsewhere} in other zones')
    if not late + elsewhere:
        raise RuntimeError('no flow was opened in the end')
    return BROKEN if late else HELD


async def _restart(site, agents, number):
    agents[number].signal(signal.SIGTERM)
    await agents[number].wait(GRACE_S)
    await asyncio.sleep(RESTART_DELAY_S)
    agents[number] = await site.start_program('agent', number)


async def _send(site):
    """Send each request on a flow of its own."""
    number = 0
    running = set()
    while True:
        number += 1
        task = asyncio.create_task(_send_one(site, number))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def _send_one(site, number):
    flow = site.requesters.flow(site.through(number % EDGES))
    if await flow.open():
        await flow.request(f'request {number}')
        flow.close()


run_case(FOLDER, case)
