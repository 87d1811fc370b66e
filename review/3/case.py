"""DRAIN: a backend that leaves still gets new flows after a clock step."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BROKEN, DRAIN_S, HELD, STABLE_WINDOW_S, main

PORT = 8443
# sites/marrinup-edge.toml: clock_step x = 2400.0, for_s = 6.0, how = "back"
STEP_MS = 2_400
STEP_S = 6.0
UP_S = 1.6
DOWN_S = 0.4
REQUEST_INTERVAL_S = 0.04
# One of these is srv_crash's share of 0.14.
BACKENDS = 7
SERVES_AFTER_ACK_S = 7.0


async def case(world):
    """Step a clock back, restart a backend, and let that backend leave."""
    log = world.record.log
    world.configure({PORT: 'counter'})
    await world.start(balancers=2)
    sides = [
        await world.add_side(20 + each, 'counter') for each in range(BACKENDS)
    ]
    stay = [
        world.backend(side, f'backend-{number}')
        for number, side in enumerate(sides[:-1])
    ]
    await world.wait_ready()
    requester = world.requester()

    # The backend beside the last agent starts, crashes and starts again. In
    # between, the time of day of its machine steps back; ``born`` shows it.
    first = world.backend(sides[-1], 'backend-6a')
    await asyncio.sleep(UP_S)
    step_ms = STEP_MS if world.trouble else 0
    if world.trouble:
        world.disturb(sides[-1])
        log(sides[-1].name, 'time of day steps back', ms=STEP_MS)
    first.crash()
    await asyncio.sleep(DOWN_S)
    born_ms = round(time.time() * 1000) - step_ms
    leaves = world.backend(sides[-1], 'backend-6b', born_ms=born_ms)
    traffic = asyncio.create_task(send_requests(world, requester))
    await asyncio.sleep(STEP_S - DOWN_S)
    if world.trouble:
        world.disturb(sides[-1])
        log(sides[-1].name, 'time of day steps forward again', ms=STEP_MS)
    await asyncio.sleep(STABLE_WINDOW_S + 1)

    # Planned work: that backend leaves.
    await leaves.drain()
    acked_at = leaves.drain_acked_at
    log('case', 'draining acknowledged', backend=leaves.name)
    await asyncio.sleep(SERVES_AFTER_ACK_S)
    await leaves.deregister()
    leaves.exit()
    traffic.cancel()
    return judge(world, leaves, stay, acked_at)


async def send_requests(world, requester):
    """Send requests on flows of their own."""
    running = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(send_one(world, requester, number))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def send_one(world, requester, number):
    """Open a flow, send one request, and end the flow."""
    flow = requester.flow(world.route(PORT))
    if await flow.open():
        await flow.request(f'order-{number}', method='POST', body=b'x' * 900)
        flow.finish()


def judge(world, leaves, stay, acked_at):
    """Return whether DRAIN was kept."""
    machines = [*world.agents, *world.balancers]
    if not all(world.in_touch(each, acked_at) for each in machines):
        raise RuntimeError('a machine was not in touch')
    late = [at for at, _ in leaves.opened if at > acked_at + DRAIN_S]
    world.record.log(
        'case',
        'flows opened later than DrainMs after the acknowledgement',
        leaving=len(late),
        staying=sum(
            at > acked_at + DRAIN_S for each in stay for at, _ in each.opened
        ),
        latest_s=round(max(late, default=acked_at) - acked_at, 2),
    )
    return BROKEN if late else HELD


main(case)
