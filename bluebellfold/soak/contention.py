"""Let one route send a burst of new flows, beside the flows of the others."""

import asyncio
import itertools

from bluebellfold.soak.clients import next_request, open_flow, send_request
from bluebellfold.soak.faults import FAULTS
from bluebellfold.soak.plan import ScheduledFault
from bluebellfold.soak.site import BURST_PORT, SoakSite
from bluebellfold.standins.packets import SERVICE, Address
from bluebellfold.standins.relay_peers import StandinClient

BURST_ROUTE = (SERVICE[0], BURST_PORT)
# The usual rate of new flows; four times as many exceed what upstreams finish.
USUAL_FLOWS_PER_SECOND = 12.0
BURST_FACTOR = 4
# With less, the measured rate of assignments would not exist yet.
MIN_BURST_SECONDS = 3.0
CLIENT_COUNT = 6
MAX_RETRIES = 2
# Flows of another route that are opened beside a burst.
PROBE_INTERVAL_SECONDS = 0.25
POLL_SECONDS = 0.05


async def run_bursting_flows(site: SoakSite) -> None:
    """Open a flow for each request, at a rate that doesn't wait for them."""
    clients = itertools.cycle([site.client() for _ in range(CLIENT_COUNT)])
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_request(site, next(clients), BURST_ROUTE))
            rate = USUAL_FLOWS_PER_SECOND * site.burst_factor
            await asyncio.sleep(1 / rate)


@FAULTS.add('route-bursts')
async def burst_route(site: SoakSite, fault: ScheduledFault) -> None:
    """Send four times the usual number of new flows of a route."""
    if not site.try_acquire('burst'):
        return
    site.burst_factor = BURST_FACTOR
    outcomes = await _probe_beside(site, MIN_BURST_SECONDS + fault.seconds)
    site.burst_factor = 1
    # A flow counts if it could be served for as long as it took.
    judged = [served for served, could_be in outcomes if could_be]
    site.checker.record_burst(
        served=sum(judged), opened=len(judged), at=site.now()
    )
    site.release('burst')


async def _probe_beside(
    site: SoakSite, seconds: float
) -> list[tuple[bool, bool]]:
    """Open flows of another route; return of each if it was and could be."""
    client = site.client()
    probes = []
    ends_at = site.now() + seconds
    while site.now() < ends_at:
        probes.append(asyncio.create_task(_probe(site, client)))
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
    return await asyncio.gather(*probes)


async def _probe(site: SoakSite, client: StandinClient) -> tuple[bool, bool]:
    request = asyncio.create_task(_request(site, client, SERVICE))
    could_be = True
    while not request.done():
        could_be = could_be and site.can_serve()
        await asyncio.wait((request,), timeout=POLL_SECONDS)
    return request.result(), could_be


async def _request(
    site: SoakSite, client: StandinClient, destination: Address
) -> bool:
    """Send a request, also again after refusals, as they say it hasn't run.

    Return whether there was a response.
    """
    text = next_request()
    flow, attempts = None, 0
    while flow is None and attempts <= MAX_RETRIES:
        attempts += 1
        flow = await open_flow(site, client, destination)
    if flow is None:
        return False
    return bool(await send_request(site, flow, text))
