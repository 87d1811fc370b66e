"""Test relay processes whose store comes back from a copy."""

import asyncio

import pytest

from bluebellfold.daemons.tests.test_evacuations import (
    EVACUATE_SECONDS,
    ProxiedSite,
    run_site,
)
from bluebellfold.daemons.tests.test_relay_processes import open_with_retries
from bluebellfold.platform import EVACUATIONS_KIND
from bluebellfold.soak.proxy import FORWARDING, STALLED
from bluebellfold.standins.relay_peers import FlowResetError

AWAY_SECONDS = 0.5
LOST_WRITES = 5


class RestoredSite(ProxiedSite):
    """Run a site whose store loses its last writes."""

    async def lose_writes(self, copied):
        """Refuse all calls for a moment, and come back from a copy."""
        self.platform.inject(refuse=True)
        await asyncio.sleep(AWAY_SECONDS)
        self.store.restore(copied)
        self.platform.inject(refuse=False)
        await self.wait_for_gauge('store_era', self.store.era, self.balancers)

    async def write_others(self):
        """Write objects that no process needs, and wait until it is known."""
        for _ in range(LOST_WRITES):
            self.store.put('other', 'one', {})
        self.store.put(EVACUATIONS_KIND, 'another-zone', {})
        revision = self.store.revision
        await self.wait_for_gauge(
            'evacuations_revision', revision, self.balancers
        )

    async def assert_no_flow_opens(self):
        """Wait for the bound; no flow opens after it."""
        await self.wait_for_gauge('zone_evacuated', 1, self.agents)
        opened = self.count_opened()
        with pytest.raises(FlowResetError):
            await self.client(balancer_index=0).open()
        with pytest.raises(FlowResetError):
            await self.client(balancer_index=1).open()
        assert self.count_opened() == opened


# Guards against review/13: flows went on to a zone whose evacuation had a
# lower revision than the one known from before the store's return.
def test_evacuation_begun_after_the_return_is_in_force(tmp_path):
    async def scenario():
        site = RestoredSite(folder=tmp_path)
        async with run_site(site):
            flow = await open_with_retries(site.client())
            copied = site.store.copy()
            await site.write_others()
            await site.lose_writes(copied)
            site.evacuate()
            await site.assert_no_flow_opens()
            assert await flow.send_request(b'open before')

    asyncio.run(scenario())


# Guards against a zone without flows for good: the end of its evacuation has a
# lower revision than its begin.
def test_evacuation_begun_before_and_ended_after_the_return(tmp_path):
    async def scenario():
        site = RestoredSite(folder=tmp_path)
        async with run_site(site):
            site.evacuate()
            copied = site.store.copy()
            await site.write_others()
            await site.wait_for_gauge('zone_evacuated', 1, site.agents)
            await site.lose_writes(copied)
            site.end_evacuation()
            await site.wait_for_gauge('zone_evacuated', 0, site.agents)
            async with asyncio.timeout(EVACUATE_SECONDS):
                assert await open_with_retries(site.client())

    asyncio.run(scenario())


def test_lost_evacuation_holds_until_it_is_written_again_and_ends(tmp_path):
    async def scenario():
        site = RestoredSite(folder=tmp_path)
        async with run_site(site):
            copied = site.store.copy()
            await site.write_others()
            site.evacuate()
            await site.wait_for_gauge('zone_evacuated', 1, site.agents)
            await site.lose_writes(copied)
            await asyncio.sleep(1)
            await site.assert_no_flow_opens()
            site.evacuate()
            await asyncio.sleep(1)
            await site.assert_no_flow_opens()
            site.end_evacuation()
            await site.wait_for_gauge('zone_evacuated', 0, site.agents)
            assert await open_with_retries(site.client())

    asyncio.run(scenario())


# Guards against a balancer that stays in the past while its link to the store
# is silent: it learns of the era from agents, and what else they know.
def test_balancer_without_the_store_learns_of_the_era(tmp_path):
    async def scenario():
        site = RestoredSite(folder=tmp_path)
        async with run_site(site):
            cut = site.balancers[0]
            copied = site.store.copy()
            await site.write_others()
            site.proxies[cut.host].mode = STALLED
            await site.lose_writes(copied)
            site.evacuate()
            await site.assert_no_flow_opens()
            site.proxies[cut.host].mode = FORWARDING
            revision = site.store.revision
            await site.wait_for_gauge('evacuations_revision', revision, [cut])

    asyncio.run(scenario())
