"""FLOW: open flows of a running backend go astray and are reset for good.

Machines beside backends are restarted in turn, each after its backend has left
as planned. Answers to writes are lost meanwhile, and such writes are executed
some seconds later.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (  # noqa: E402
    GROWN_BOUNDS, SERVICE_HOST, TROUBLE, Backend, NotRunError, run,
)

ROUTE = (SERVICE_HOST, 443)
DRAIN = GROWN_BOUNDS['DrainMs'] / 1000
STABLE = GROWN_BOUNDS['StableWindowMs'] / 1000
SLACK = GROWN_BOUNDS['FlowSlackMs'] / 1000
# Answers are lost for this long, and the writes are executed so much later.
LOST_SECONDS = 4.5
LATE_SECONDS = 6.0
# Machines restarted at a time, the pause between, and the delay of a start.
AT_A_TIME = 2
GAP_SECONDS = 1.1
START_SECONDS = 0.5
FLOWS = 18
# Two checks of the readiness, twice a second, and the time of the answers.
CHECKS_SECONDS = 1.2


async def case(deployment):
    record = deployment.record
    deployment.bounds = GROWN_BOUNDS
    deployment.write_config(3, {ROUTE[1]: 'counter', 7003: 'makeroom'})
    await deployment.start(edges=3, sides=['counter'] + ['makeroom'] * 4)
    client = deployment.client()
    flow = client.flow(ROUTE)
    if await flow.open() != 'open':
        raise NotRunError('the deployment does not serve')
    await flow.request('q-first')
    flow.close()
    loss = Loss(deployment)
    for first in range(0, 2 * AT_A_TIME, AT_A_TIME):
        await asyncio.gather(*(
            drain(deployment.backends[first + each])
            for each in range(AT_A_TIME)
        ))
    await asyncio.sleep(DRAIN + 0.5)
    if TROUBLE:
        loss.begin()
    began = record.now()
    first_pair = await asyncio.gather(*(
        restart(deployment, number) for number in range(AT_A_TIME)
    ))
    rest = asyncio.create_task(restart_rest(deployment))
    new = first_pair[0]
    await asyncio.sleep(1.0)
    flows = []
    for number in range(FLOWS):
        flow = client.flow(ROUTE)
        if await flow.open() == 'open' and await flow.request(
            f'q-{number}-before'
        ) not in {'reset', 'silent'}:
            flows.append(flow)
    if not flows:
        raise NotRunError('the backend is not used after its restart')
    await rest
    ended = loss.last_executed if TROUBLE else began + LATE_SECONDS
    # The store has been well for `StableWindowMs`, also if it counts as
    # impaired until the last late write.
    stable_at = max(ended, record.now()) + STABLE
    await asyncio.sleep(stable_at + 0.5 - record.now())
    record.add(f'all machines are in touch since {stable_at:.3f}')
    leaving = deployment.edges[0]
    moved = [flow for flow in flows if client.edge_of(flow.key) is leaving]
    stopping = asyncio.create_task(leaving.stop())
    await asyncio.sleep(CHECKS_SECONDS)
    client.edges = deployment.edges[1:]
    record.add(f'platform: {leaving.name} is out of rotation')
    await stopping
    await leaving.start()
    outcomes = await asyncio.gather(*(
        flow.request(f'q-{number}-after') for number, flow in enumerate(flows)
    ))
    resets = [
        flow for flow in flows
        if flow.reset == 'system' and new.holds(flow.key)
        and flow.reset_at > stable_at
    ]
    astray = [
        flow for flow in flows
        if went_astray(flow, new, deployment, stable_at)
    ]
    await try_new(client, new, record)
    record.add(
        f'writes in the {LOST_SECONDS} s: {loss.writes}, answers lost: '
        f'{loss.lost}'
    )
    record.add(
        f'open flows of the running backend: {len(flows)}, of which '
        f'{len(moved)} came to another balancer; reset by the system: '
        f'{len(resets)}; with three or more packets at other backends and '
        f'none at their own for {SLACK} s: {len(astray)}; without an answer: '
        f'{outcomes.count("silent")}'
    )
    return bool(resets or astray)


class Loss:
    """Lose the answers to the deletions by one machine for some seconds."""

    def __init__(self, deployment):
        self._record = deployment.record
        self._host = deployment.sides[0].host
        self._store = deployment.store
        self._until = 0
        self.writes = 0
        self.lost = 0
        self.last_executed = 0

    def begin(self):
        self._until = self._record.now() + LOST_SECONDS
        self._store.lose = self._lose

    def _lose(self, method, kind, name):
        now = self._record.now()
        if now > self._until:
            return None
        self.writes += 1
        if method != 'DELETE' or name != self._host:
            return None
        self.lost += 1
        self.last_executed = now + LATE_SECONDS
        return LATE_SECONDS


async def drain(backend):
    if not await backend.drain():
        raise NotRunError('the drain is not acknowledged')


async def restart(deployment, number):
    """Let a backend leave, restart its machine, and start it again."""
    backend = deployment.backends[number]
    side = backend.side
    await backend.deregister()
    backend.exit()
    # The daemon receives SIGTERM after its backend has terminated.
    await side.stop()
    await asyncio.sleep(START_SECONDS)
    await side.start()
    started = Backend(deployment, side, identity=backend.identity)
    deployment.backends.append(started)
    return started


async def restart_rest(deployment):
    await asyncio.sleep(GAP_SECONDS)
    await asyncio.gather(*(
        restart(deployment, AT_A_TIME + each) for each in range(AT_A_TIME)
    ))


def went_astray(flow, new, deployment, stable_at):
    """Return whether other backends got the packets of an open flow."""
    own = [when for when, key in new.received if key == flow.key]
    others = sorted(
        when for backend in deployment.backends if backend is not new
        for when, key in backend.received
        if key == flow.key and when > stable_at
    )
    for start in others:
        within = [when for when in others if start <= when < start + SLACK]
        # Only the packets of requests that were sent in vain count.
        has_own = any(stable_at <= when < start + SLACK for when in own)
        if len(within) >= 3 and not has_own:
            return True
    return False


async def try_new(client, new, record):
    before = len(new.ran)
    outcomes = []
    for number in range(5):
        flow = client.flow(ROUTE)
        outcomes.append(await flow.open())
        if flow.is_open:
            await flow.request(f'q-new-{number}')
    record.add(
        f'new flows at the end: {outcomes}; run by the backend: '
        f'{len(new.ran) - before}'
    )


run(case, Path(__file__).resolve().parent)
