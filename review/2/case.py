"""FLOW: an idle flow is reset after IdleTimeoutMs was raised."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BROKEN, HELD, STABLE_WINDOW_S, main

PORT = 8443
RESTART_DELAY_S = 0.5
SHORT_IDLE_MS = 5_000
LONG_IDLE_MS = 15_000
PAUSE_S = 11.5


async def case(world):
    """Restart an agent, raise the idle time, and resume idle flows."""
    world.configure({PORT: 'counter'}, idle_ms=SHORT_IDLE_MS)
    await world.start(balancers=2)
    sides = [await world.add_side(20 + each, 'counter') for each in range(2)]
    for number, side in enumerate(sides):
        side.backend = world.backend(side, f'backend-{number}')
    await world.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S)
    requester = world.requester()
    flows = []
    for number in range(4):
        flow = requester.flow(world.route(PORT))
        if not await flow.open() or not await flow.request(f'first-{number}'):
            raise RuntimeError('a flow does not open on a quiet day')
        flows.append(flow)
    idle_since = world.record.now()

    # Planned work: the agent of the machine that holds most of the flows is
    # stopped and started.
    if world.trouble:
        side = max(sides, key=lambda each: len(each.backend.flows))
        await side.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        await side.start()
    else:
        await asyncio.sleep(1.5)
    # Planned work: a desired state with a longer IdleTimeoutMs.
    await asyncio.sleep(0.5)
    world.configure({PORT: 'counter'}, idle_ms=LONG_IDLE_MS)
    changed_at = world.record.now()
    world.record.log(
        'case',
        'flows idle at the change',
        seconds=round(changed_at - idle_since, 2),
    )
    if (changed_at - idle_since) * 1000 >= SHORT_IDLE_MS:
        raise RuntimeError('the flows were idle for too long before the change')
    await asyncio.sleep(idle_since + PAUSE_S - changed_at)

    answers = await asyncio.gather(
        *(flow.request(f'second-{number}') for number, flow in enumerate(flows))
    )
    return judge(world, world.backends, flows, answers)


def judge(world, backends, flows, answers):
    """Return whether FLOW was kept."""
    broken = 0
    for flow, answer in zip(flows, answers, strict=True):
        if flow.reset_by != 'system':
            continue
        machines = [*world.agents, *world.balancers]
        touched = all(world.in_touch(each, flow.reset_at) for each in machines)
        alive = any(each.holds(flow.key) for each in backends)
        world.record.log(
            'case',
            'open flow reset by the system',
            flow=flow.label,
            backend_holds_it=alive,
            in_touch=touched,
            answer=answer,
        )
        broken += alive and touched
    return BROKEN if broken else HELD


main(case)
