"""Test that relay processes keep new flows out of an evacuated zone."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from bluebellfold.daemons.tests.test_relay_processes import (
    keep_announcing,
    open_with_retries,
    wait_until,
    wait_until_ready,
)
from bluebellfold.platform import EVACUATIONS_KIND
from bluebellfold.soak.proxy import FORWARDING, STALLED, StoreProxy
from bluebellfold.standins.relay_peers import FlowResetError
from bluebellfold.standins.relay_site import BALANCER_SETTINGS, RelaySite

# The bound of the platform.
EVACUATE_SECONDS = 5.0
# The zone of all agents of the site.
ZONE = 'a'


class ProxiedSite(RelaySite):
    """Run a site with a proxy between each process and the store."""

    def __init__(self, *, folder):
        super().__init__(folder=folder, net=9)
        self.proxies = {}

    async def store_endpoint(self, host):
        proxy = StoreProxy(store=self.platform.endpoint)
        await proxy.start()
        self._stack.push_async_callback(proxy.stop)
        self.proxies[host] = proxy
        return proxy.endpoint

    def evacuate(self):
        self.store.put(EVACUATIONS_KIND, ZONE, {})

    def end_evacuation(self):
        stored = self.store.read(EVACUATIONS_KIND, ZONE)
        self.store.delete(
            EVACUATIONS_KIND, ZONE, revision=stored['meta']['Revision']
        )

    def count_opened(self):
        return sum(len(upstream.opened_flows) for upstream in self.upstreams)

    async def wait_for_gauge(self, gauge, number, children):
        """Wait until processes report a gauge, for no longer than the bound."""
        line = f'bluebellfold_{gauge} {number}\n'

        async def is_reported():
            pages = await asyncio.gather(
                *(self.metrics(child.host) for child in children)
            )
            return all(line in page for page in pages)

        async with asyncio.timeout(EVACUATE_SECONDS):
            await wait_until(is_reported)


class UnboundedSite(ProxiedSite):
    """Run a site whose settings bound no evacuation."""

    async def start_balancer(self, host):
        settings = BALANCER_SETTINGS.replace('evacuate_milliseconds', '#')
        return await self._start('balancer', host, settings)


@asynccontextmanager
async def run_site(site):
    async with site.running(balancers=2, agents=2):
        announcing = asyncio.create_task(keep_announcing(site))
        await wait_until_ready(site)
        yield
        announcing.cancel()


def test_new_flows_are_refused_and_open_ones_stay(tmp_path):
    async def scenario():
        site = ProxiedSite(folder=tmp_path)
        async with run_site(site):
            flow = await open_with_retries(site.client())
            await flow.send_request(b'before')
            site.evacuate()
            await site.wait_for_gauge('evacuated_zones', 1, site.balancers)
            await site.wait_for_gauge('zone_evacuated', 1, site.agents)
            opened = site.count_opened()
            with pytest.raises(FlowResetError):
                await site.client(balancer_index=0).open()
            with pytest.raises(FlowResetError):
                await site.client(balancer_index=1).open()
            assert site.count_opened() == opened
            assert await flow.send_request(b'during')
            site.end_evacuation()
            await site.wait_for_gauge('zone_evacuated', 0, site.agents)
            assert await open_with_retries(site.client())

    asyncio.run(scenario())


def test_process_without_a_bound_watches_no_evacuations(tmp_path):
    # Deployments without evacuations are served as before.
    async def scenario():
        site = UnboundedSite(folder=tmp_path)
        async with run_site(site):
            site.evacuate()
            flow = await open_with_retries(site.client())
            await flow.send_request(b'served')
            await site.wait_for_gauge(
                'evacuations_revision', -1, site.balancers
            )
            assert await open_with_retries(site.client())

    asyncio.run(scenario())


def test_balancer_without_the_store_learns_from_agents(tmp_path):
    async def scenario():
        site = ProxiedSite(folder=tmp_path)
        async with run_site(site):
            cut = site.balancers[0]
            site.proxies[cut.host].mode = STALLED
            site.evacuate()
            await site.wait_for_gauge('evacuated_zones', 1, [cut])
            opened = site.count_opened()
            with pytest.raises(FlowResetError):
                await site.client(balancer_index=0).open()
            assert site.count_opened() == opened
            site.proxies[cut.host].mode = FORWARDING
            revision = site.store.revision
            await site.wait_for_gauge('evacuations_revision', revision, [cut])

    asyncio.run(scenario())
