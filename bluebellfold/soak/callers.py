"""Be the callers of a soak: long flows, single requests and probes."""

import asyncio
import itertools

from bluebellfold.soak.ledger import IN_FORCE_SECONDS
from bluebellfold.soak.site import EXTRA_PORT, STORE, SoakSite
from bluebellfold.standins.packets import SERVICE
from bluebellfold.standins.relay_ends import (
    FlowResetError,
    StandinClient,
    StandinFlow,
)

PAUSE_SECONDS = 0.1
RETRY_SECONDS = 0.2
PROBE_SECONDS = 0.4
REQUESTS_PER_FLOW = 60

_numbers = itertools.count()


async def follow_flows(site: SoakSite) -> None:
    """Keep a flow open for many requests, and open the next."""
    client = site.client()
    while True:
        flow = await _open(site, client)
        if flow is not None:
            await _use(site, flow, REQUESTS_PER_FLOW)


async def send_singles(site: SoakSite) -> None:
    """Open a flow for each request."""
    client = site.client()
    while True:
        flow = await _open(site, client)
        if flow is not None:
            await _use(site, flow, 1)
        await asyncio.sleep(PAUSE_SECONDS)


async def probe_routes(site: SoakSite, balancer: int) -> None:
    """Open flows to a route that comes and goes, through one balancer."""
    client = site.client(fixed=balancer)
    host = site.balancers[balancer].host
    while True:
        wanted, since = site.has_extra, site.routes_since
        began = site.now()
        opened = await _opens(client)
        settled = since == site.routes_since
        late = began - since > IN_FORCE_SECONDS
        if settled and late and _in_touch(site, host, began):
            site.ledger.note_probe(
                host, is_open=opened, wanted=wanted, at=began
            )
        await asyncio.sleep(PROBE_SECONDS)


async def _opens(client: StandinClient) -> bool:
    try:
        await client.open(destination=(SERVICE[0], EXTRA_PORT))
    except (FlowResetError, TimeoutError):
        return False
    return True


def _in_touch(site: SoakSite, host: str, since: float) -> bool:
    """Tell whether a balancer and all that it needs were undisturbed."""
    return all(
        site.ledger.is_calm(what, at=at)
        for what in (host, STORE, *site.agent_hosts())
        for at in (since, site.now())
    )


async def _open(site: SoakSite, client: StandinClient) -> StandinFlow | None:
    try:
        return await client.open()
    except (FlowResetError, TimeoutError):
        site.ledger.failed += 1
        await asyncio.sleep(RETRY_SECONDS)
    return None


async def _use(site: SoakSite, flow: StandinFlow, requests: int) -> None:
    name = ''
    left = requests
    while left:
        left -= 1
        name = await _ask(site, flow, name)
        if not name:
            return
        await asyncio.sleep(PAUSE_SECONDS)


async def _ask(site: SoakSite, flow: StandinFlow, name: str) -> str:
    """Return the upstream that answered, or nothing."""
    text = b'request %d.' % next(_numbers)
    try:
        answer = await flow.ask(text)
    except TimeoutError:
        site.ledger.failed += 1
        return ''
    except FlowResetError:
        _note_reset(site, flow, name)
        return ''
    serving = name or answer.partition(b':')[0].decode()
    site.ledger.note_answer(answer, text, serving)
    return serving


def _note_reset(site: SoakSite, flow: StandinFlow, name: str) -> None:
    index = site.index_of(name)
    if index is None:
        site.ledger.failed += 1
        return
    site.ledger.note_reset(
        str(flow.source),
        upstream=name,
        agent=site.agents[index].host,
        holds=site.upstreams[index].holds(flow.key),
        at=site.now(),
    )
