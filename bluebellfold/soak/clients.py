"""Run the clients of a soak test: flows of several kinds, and probes."""

import asyncio
import itertools
import random

from bluebellfold.soak.invariants import PROPAGATION_SECONDS
from bluebellfold.soak.site import EXTRA_PORT, STORE, SoakSite
from bluebellfold.standins.packets import SERVICE, Address
from bluebellfold.standins.relay_peers import (
    FlowResetError,
    StandinClient,
    StandinFlow,
)

THINK_TIME_SECONDS = 0.1
RETRY_DELAY_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.4
REQUESTS_PER_FLOW = 60
MIN_PAUSE_SECONDS = 4.0
MAX_PAUSE_SECONDS = 14.0

_request_numbers = itertools.count()


async def run_long_flows(site: SoakSite) -> None:
    """Send many requests on a flow, then open the next flow."""
    client = site.client()
    while True:
        flow = await _open_flow(site, client)
        if flow is not None:
            await _send_requests(site, flow, REQUESTS_PER_FLOW)


async def run_paused_flows(site: SoakSite, rng: random.Random) -> None:
    """Send a few requests on a flow, with long pauses between them."""
    client = site.client()
    while True:
        flow = await _open_flow(site, client)
        upstream = ''
        while flow is not None:
            idle_since = site.now()
            upstream = await _send_request(site, flow, upstream)
            await asyncio.sleep(
                rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
            )
            if not upstream or site.may_expire(idle_since):
                flow = None


async def run_single_requests(site: SoakSite) -> None:
    """Open a flow for each request."""
    client = site.client()
    while True:
        flow = await _open_flow(site, client)
        if flow is not None:
            await _send_requests(site, flow, 1)
        await asyncio.sleep(THINK_TIME_SECONDS)


async def probe_extra_route(site: SoakSite, balancer: int) -> None:
    """Check through one balancer whether the extra route is in force."""
    client = site.client(balancer_index=balancer)
    while True:
        expected, changed_at = site.has_extra_route, site.routes_changed_at
        started_at, could_serve = site.now(), _can_open_anywhere(site)
        opened = await _can_open(client)
        # The evacuated zones must leave an upstream for the flow.
        served = not expected or (could_serve and _can_open_anywhere(site))
        if (
            served
            and changed_at == site.routes_changed_at
            and started_at - changed_at > PROPAGATION_SECONDS
        ):
            _record_probe(
                site, balancer, is_open=opened, expected=expected, at=started_at
            )
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)


def _can_open_anywhere(site: SoakSite) -> bool:
    return site.are_zones_settled() or site.can_serve()


def _record_probe(
    site: SoakSite, balancer: int, *, is_open: bool, expected: bool, at: float
) -> None:
    host = site.balancers[balancer].host
    if _is_undisturbed(site, host, at):
        site.checker.record_probe(
            host, is_open=is_open, expected=expected, at=at
        )


async def _can_open(client: StandinClient) -> bool:
    try:
        await client.open(destination=(SERVICE[0], EXTRA_PORT))
    except (FlowResetError, TimeoutError):
        return False
    return True


def _is_undisturbed(site: SoakSite, host: str, since: float) -> bool:
    """Return whether a balancer, the store and all agents were undisturbed."""
    return all(
        site.checker.is_undisturbed(component, at=at)
        for component in (host, STORE, *site.agent_hosts())
        for at in (since, site.now())
    )


async def _open_flow(
    site: SoakSite, client: StandinClient
) -> StandinFlow | None:
    flow = await open_flow(site, client, SERVICE)
    if flow is None:
        await asyncio.sleep(RETRY_DELAY_SECONDS)
    return flow


async def open_flow(
    site: SoakSite, client: StandinClient, destination: Address
) -> StandinFlow | None:
    """Open a flow, and check that it was not accepted if it is refused."""
    flow = client.create_flow(destination=destination)
    try:
        await flow.open()
    except TimeoutError:
        site.checker.failed += 1
        return None
    except FlowResetError:
        site.checker.record_refusal(
            str(flow.source),
            accepted_at=site.find_accepting(flow.key),
            at=site.now(),
        )
        return None
    return flow


async def _send_requests(
    site: SoakSite, flow: StandinFlow, requests: int
) -> None:
    upstream = ''
    remaining = requests
    while remaining:
        remaining -= 1
        upstream = await _send_request(site, flow, upstream)
        if not upstream:
            return
        await asyncio.sleep(THINK_TIME_SECONDS)


async def _send_request(
    site: SoakSite, flow: StandinFlow, upstream: str
) -> str:
    return await send_request(site, flow, next_request(), upstream=upstream)


def next_request() -> bytes:
    """Return the text of a new request."""
    return b'request %d.' % next(_request_numbers)


async def send_request(
    site: SoakSite, flow: StandinFlow, text: bytes, *, upstream: str = ''
) -> str:
    """Return the upstream that responded, or an empty string.

    ``upstream`` is the one that holds the flow, if it is known.
    """
    try:
        response = await flow.send_request(text)
    except TimeoutError:
        site.checker.failed += 1
        return ''
    except FlowResetError:
        _record_reset(site, flow)
        return ''
    serving = upstream or response.partition(b':')[0].decode()
    site.checker.record_response(response, text, serving)
    return serving


def _record_reset(site: SoakSite, flow: StandinFlow) -> None:
    holders = [
        index
        for index, upstream in enumerate(site.upstreams)
        if upstream.has_flow(flow.key)
    ]
    if not holders:
        site.checker.failed += 1
        return
    site.checker.record_reset(
        str(flow.source),
        upstream=site.upstreams[holders[0]].name,
        agent=site.agents[holders[0]].host,
        is_open=True,
        at=site.now(),
    )
