"""Run the soak test for one seed."""

import asyncio
import random
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from bluebellfold.core import Record, read_only
from bluebellfold.relay.store import AGENTS_KIND
from bluebellfold.soak.clients import (
    probe_extra_route,
    run_long_flows,
    run_paused_flows,
    run_single_requests,
)
from bluebellfold.soak.contention import run_bursting_flows
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.invariants import InvariantChecker
from bluebellfold.soak.plan import ScheduledFault, draw_plan
from bluebellfold.soak.site import BURST_PORT, BURST_WORK_SECONDS, SoakSite
from bluebellfold.standins.relay_peers import FlowResetError, StandinClient

# All balancers must serve requests again within this time after the last fault,
# also on a busy machine.
RECOVERY_SECONDS = 12.0
POLL_SECONDS = 0.2
LONG_FLOW_CLIENTS = 6
PAUSED_FLOW_CLIENTS = 8
NETWORK_COUNT = 200
SINGLE_REQUEST_CLIENTS = 3


class SoakReport(Record):
    """State the faults, request counts and violations of a seed."""

    __slots__ = ('_failed', '_faults', '_seed', '_served', '_violations')

    violations: tuple[str, ...] = read_only('_violations')
    failed: int = read_only('_failed')
    seed: int = read_only('_seed')
    served: int = read_only('_served')
    faults: tuple[ScheduledFault, ...] = read_only('_faults')

    def __init__(
        self,
        *,
        seed: int,
        faults: tuple[ScheduledFault, ...],
        checker: InvariantChecker,
    ) -> None:
        self._seed = seed
        self._faults = faults
        self._violations = tuple(checker.violations)
        self._served = checker.served
        self._failed = checker.failed


async def run_seed(
    seed: int,
    *,
    folder: Path,
    seconds: float = 12.0,
    balancers: int = 3,
    agents: int = 4,
    kinds: Sequence[str] = (),
) -> SoakReport:
    """Run clients under the faults of a seed and return the report.

    ``kinds`` are the kinds of faults to draw from, all if there are none.
    """
    checker = InvariantChecker()
    # Concurrent runs use separate loopback networks.
    net = 1 + seed % NETWORK_COUNT
    site = SoakSite(folder=folder, net=net, checker=checker)
    faults = draw_plan(seed, seconds=seconds, kinds=kinds or sorted(FAULTS))
    async with site.running(balancers=balancers, agents=agents):
        site.reset_clock()
        for upstream in site.upstreams:
            upstream.on_request = checker.record_execution
            upstream.work_seconds = {BURST_PORT: BURST_WORK_SECONDS}
        await _run_faults(site, faults)
        await _stop_proxies(site)
    return SoakReport(seed=seed, faults=faults, checker=checker)


async def _run_faults(
    site: SoakSite, faults: tuple[ScheduledFault, ...]
) -> None:
    tasks = [asyncio.create_task(site.keep_announcing())]
    await _wait_until_served(site)
    clients = (
        partial(run_bursting_flows, site),
        *(partial(run_long_flows, site) for _ in range(LONG_FLOW_CLIENTS)),
        *(
            partial(run_paused_flows, site, random.Random(number))
            for number in range(PAUSED_FLOW_CLIENTS)
        ),
        *(
            partial(run_single_requests, site)
            for _ in range(SINGLE_REQUEST_CLIENTS)
        ),
        *(
            partial(probe_extra_route, site, index)
            for index in range(len(site.balancers))
        ),
    )
    site.reset_clock()
    tasks.extend(asyncio.create_task(run_client()) for run_client in clients)
    await asyncio.gather(*(_inject(site, fault) for fault in faults))
    try:
        async with asyncio.timeout(RECOVERY_SECONDS):
            await _wait_until_served(site)
            await _wait_until_listed(site)
    except TimeoutError:
        site.checker.violations.append(
            'requests not served after the last fault, or agents not listed: '
            f'{sorted(_unlisted_hosts(site))}'
        )
    outcomes = await _cancel_all(tasks)
    site.checker.violations.extend(
        f'a client failed: {task_result!r}'
        for task_result in outcomes
        if not isinstance(task_result, asyncio.CancelledError)
    )


async def _cancel_all(
    tasks: list[asyncio.Task[None]],
) -> list[BaseException | None]:
    """Cancel tasks and return their results or exceptions."""
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        # wait_for in Python 3.11 loses a cancellation that arrives together
        # with the result, so one cancellation may not be enough.
        _, pending = await asyncio.wait(pending, timeout=POLL_SECONDS)
    return await asyncio.gather(*tasks, return_exceptions=True)


async def _inject(site: SoakSite, fault: ScheduledFault) -> None:
    await asyncio.sleep(max(0, fault.at - site.now()))
    await FAULTS.find(fault.kind)(site, fault)


async def _wait_until_served(site: SoakSite) -> None:
    """Wait until a request through each balancer gets a response."""
    await asyncio.gather(
        *(
            _wait_for_balancer(site, index)
            for index in range(len(site.balancers))
        )
    )


async def _wait_until_listed(site: SoakSite) -> None:
    """Wait until the store lists each agent."""
    while _unlisted_hosts(site):
        await asyncio.sleep(POLL_SECONDS)


def _unlisted_hosts(site: SoakSite) -> set[str]:
    return set(site.agent_hosts()).difference(site.store.names(AGENTS_KIND))


async def _wait_for_balancer(site: SoakSite, balancer: int) -> None:
    while not await _is_served(site, balancer):
        await asyncio.sleep(POLL_SECONDS)


async def _is_served(site: SoakSite, index: int) -> bool:
    client = site.client(balancer_index=index)
    try:
        await _send_one_request(client)
    except (FlowResetError, TimeoutError):
        return False
    finally:
        client.close()
    return True


async def _send_one_request(client: StandinClient) -> None:
    flow = await client.open()
    await flow.send_request(b'is it served at %d?' % time.monotonic_ns())


async def _stop_proxies(site: SoakSite) -> None:
    await asyncio.gather(*(proxy.stop() for proxy in site.proxies.values()))
