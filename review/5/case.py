"""FLOW: an agent takes its backend for younger than itself."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BROKEN, HELD, STABLE_WINDOW_S, main

PORT = 8443
# sites/marrinup-edge.toml: clock_step x = 2400.0; kinds: how: back ahead
STEP_MS = 2_000
STEP_ENDS_S = 0.3
RESTART_AT_S = 0.9
RESTART_DELAY_S = 0.3
RESUME_AT_S = 8.0
LONG_FLOWS = 6


async def case(world):
    """Start a backend on a wrong clock, and restart its agent soon after."""
    log = world.record.log
    world.configure({PORT: 'counter'})
    await world.start(balancers=2)
    sides = [await world.add_side(20 + each, 'counter') for each in range(2)]
    backends = [world.backend(sides[0], 'backend-0')]
    await world.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S)

    # The time of day of the second machine is ahead when its backend starts.
    step_ms = STEP_MS if world.trouble else 0
    if world.trouble:
        world.disturb(sides[1])
        log(sides[1].name, 'time of day steps ahead', ms=STEP_MS)
    started_at = world.record.now()
    born_ms = round(time.time() * 1000) + step_ms
    young = world.backend(sides[1], 'backend-1', born_ms=born_ms)
    backends.append(young)
    requester = world.requester()
    flows = [requester.flow(world.route(PORT)) for _ in range(LONG_FLOWS)]
    await asyncio.sleep(STEP_ENDS_S)
    if world.trouble:
        world.disturb(sides[1])
        log(sides[1].name, 'time of day steps back', ms=STEP_MS)
    for number, flow in enumerate(flows):
        if not await flow.open() or not await flow.request(f'first-{number}'):
            raise RuntimeError('a flow does not open on a quiet day')
    held = [flow for flow in flows if young.holds(flow.key)]
    if not held:
        raise RuntimeError('the young backend got no flow')
    log('case', 'long flows', at=young.name, count=len(held))

    # Planned work: its agent is stopped and started.
    await sleep_until(world, started_at + RESTART_AT_S)
    await sides[1].stop()
    await asyncio.sleep(RESTART_DELAY_S)
    await sides[1].start()

    # The requesters go on using their flows after a pause of some seconds.
    await sleep_until(world, started_at + RESUME_AT_S)
    answers = await asyncio.gather(
        *(flow.request(f'second-{number}') for number, flow in enumerate(held))
    )
    return judge(world, young, held, answers)


async def sleep_until(world, at):
    """Wait for a moment of the run."""
    await asyncio.sleep(max(0, at - world.record.now()))


def judge(world, backend, held, answers):
    """Return whether FLOW was kept."""
    broken = 0
    for flow, answer in zip(held, answers, strict=True):
        if flow.reset_by != 'system':
            continue
        machines = [*world.agents, *world.balancers]
        touched = all(world.in_touch(each, flow.reset_at) for each in machines)
        alive = backend.holds(flow.key)
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
