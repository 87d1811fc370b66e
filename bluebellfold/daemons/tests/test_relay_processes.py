"""Test relay processes against stand-ins of their peers."""

import asyncio
import itertools
import json
from contextlib import asynccontextmanager
from functools import partial
from http import HTTPStatus

import pytest

from bluebellfold.operators.command import run_command
from bluebellfold.standins.object_api import PlatformStandin
from bluebellfold.standins.relay_peers import FlowResetError
from bluebellfold.standins.relay_site import (
    ANNOUNCEMENT_INTERVAL_MS,
    METRICS_PORT,
    SERVICE,
    UPSTREAM_START_MS,
    RelaySite,
    make_configuration,
)

# Conditions are usually met in a tenth of this; a busy machine is slower.
TIMEOUT_SECONDS = 20
POLL_SECONDS = 0.05
# A running agent is listed again within this time.
LISTED_SECONDS = 2.0
# Network of the sites whose balancers exchange copies.
COPIES_NET = 5


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not await condition():
            await asyncio.sleep(POLL_SECONDS)


async def keep_announcing(site):
    while True:
        # An agent that restarts does not respond until a later round.
        await asyncio.gather(*site.announcements(), return_exceptions=True)
        await asyncio.sleep(0.2)


@asynccontextmanager
async def run_site(folder, *, announcing=True, net=0):
    site = RelaySite(folder=folder, net=net)
    async with site.running(balancers=2, agents=2):
        announcing_task = asyncio.create_task(keep_announcing(site))
        if not announcing:
            announcing_task.cancel()
        await wait_until_ready(site)
        yield site
        announcing_task.cancel()


async def wait_until_ready(site):
    waits = (
        wait_until(partial(site.is_ready, child.host))
        for child in site.balancers
    )
    await asyncio.gather(*waits)


async def wait_until_agents_listed(site, *balancers):
    """Wait until balancers list the agents of both upstreams."""

    async def are_listed():  # noqa: WPS430
        pages = await asyncio.gather(
            *(site.metrics(child.host) for child in balancers)
        )
        return all('agents_listed 2\n' in page for page in pages)

    await wait_until(are_listed)


async def restart_processes(site):
    await asyncio.gather(
        *(child.wait() for child in (*site.balancers, *site.agents))
    )
    site.agents = await asyncio.gather(
        *(site.start_agent(agent.host) for agent in site.agents)
    )
    site.balancers = await asyncio.gather(
        *(site.start_balancer(child.host) for child in site.balancers)
    )


async def upstream_of_new_flow(site):
    """Return the name of the upstream to which a new flow is assigned."""
    flow = await open_with_retries(site.client())
    response = await flow.send_request(b'x')
    return response.removesuffix(b':x').decode()


async def open_with_retries(client):
    """Return an open flow; retry after failures."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            try:
                return await client.open()
            except (TimeoutError, FlowResetError):
                await asyncio.sleep(POLL_SECONDS)


def test_flow_survives_on_a_balancer_without_its_state(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            flow = await open_with_retries(site.client(balancer_index=0))
            first = await flow.send_request(b'one')
            site.balancers[0].kill()
            await site.balancers[0].wait()
            site.balancers[0] = site.balancers[1]
            assert await flow.send_request(b'two') == first.replace(
                b'one', b'two'
            )

    asyncio.run(scenario())


def test_flow_survives_restart_of_its_agent(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            flow = await open_with_retries(site.client())
            first = await flow.send_request(b'one')
            for agent in site.agents:
                agent.terminate()
            codes = await asyncio.gather(
                *(child.wait() for child in site.agents)
            )
            assert codes == [0, 0]
            site.agents = await asyncio.gather(
                *(site.start_agent(child.host) for child in site.agents)
            )
            assert await flow.send_request(b'two') == first.replace(
                b'one', b'two'
            )

    asyncio.run(scenario())


def test_flow_survives_restart_of_all_processes(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            flow = await open_with_retries(site.client())
            first = await flow.send_request(b'one')
            for child in (*site.balancers, *site.agents):
                child.kill()
            await restart_processes(site)
            await wait_until_ready(site)
            assert await flow.send_request(b'two') == first.replace(
                b'one', b'two'
            )

    asyncio.run(scenario())


def test_draining_upstream_gets_no_new_flow(tmp_path):
    async def scenario():
        async with run_site(tmp_path, announcing=False) as site:
            assert await site.announce(0, state='draining') == 200
            await site.announce(1)
            flows_before = len(site.upstreams[0].opened_flows)
            client = site.client()
            flows = await asyncio.gather(*(client.open() for _ in range(6)))
            responses = await asyncio.gather(
                *(each.send_request(b'x') for each in flows)
            )
            assert set(responses) == {b'upstream-1:x'}
            assert len(site.upstreams[0].opened_flows) == flows_before

    asyncio.run(scenario())


def test_announcement_of_an_earlier_start_is_ignored(tmp_path):
    async def scenario():
        async with run_site(tmp_path, announcing=False) as site:
            await site.announce(0, state='draining', born=UPSTREAM_START_MS + 1)
            await site.announce(0, state='ready', born=UPSTREAM_START_MS)
            await site.announce(1)
            assert await upstream_of_new_flow(site) == 'upstream-1'
            # Lines are written in batches of 0.05 s.
            async with asyncio.timeout(1):
                await site.agents[0].wait_for_log('BBF0727')

    asyncio.run(scenario())


# Guards against a drain that is acknowledged and never applied: the reply to an
# announcement has to say whether it is in force.
def test_announcement_that_is_not_applied_is_not_acknowledged(tmp_path):
    async def run():
        async with run_site(tmp_path, announcing=False) as site:
            statuses = [await site.announce(0, born=UPSTREAM_START_MS - 2400)]
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while statuses[-1] != HTTPStatus.OK:
                    await asyncio.sleep(ANNOUNCEMENT_INTERVAL_MS / 1000)
                    statuses.append(
                        await site.announce(0, born=UPSTREAM_START_MS - 2400)
                    )
            return statuses

    statuses = asyncio.run(run())
    assert statuses[0] == HTTPStatus.CONFLICT
    assert len(statuses) >= 2


def test_flow_is_reset_after_its_upstream_has_lost_it(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            flow = await open_with_retries(site.client())
            await flow.send_request(b'one')
            for upstream in site.upstreams:
                upstream.discard_flows()
            with pytest.raises(FlowResetError):
                await flow.send_request(b'two')

    asyncio.run(scenario())


def test_newer_configuration_replaces_an_older_one_only(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            site.store.put('config', 'main', make_configuration(4))
            client = site.client()
            await wait_until(lambda: refuses(client))
            site.store.put('config', 'main', make_configuration(3, SERVICE[1]))
            with pytest.raises(FlowResetError):
                await client.open()
            site.store.put('config', 'main', {'Version': 'unreadable'})
            site.store.put('config', 'main', make_configuration(5, SERVICE[1]))
            await open_with_retries(client)

    async def refuses(client):
        try:
            await client.open()
        except FlowResetError:
            return True
        return False

    asyncio.run(scenario())


def test_route_uses_the_regions_of_the_settings(tmp_path):
    # Zone a of all agents is in the region north.
    async def scenario():
        async with run_site(tmp_path) as site:
            put_regions(site, 2, 'south')
            await wait_until(lambda: is_refused(site, 'no-upstream-in-region'))
            put_regions(site, 3, 'north', 'south')
            await open_with_retries(site.client())

    def put_regions(site, version, *regions):
        configuration = make_configuration(
            version, SERVICE[1], allowed_regions=regions
        )
        site.store.put('config', 'main', configuration)

    async def is_refused(site, reason):
        try:
            await site.client().open()
        except FlowResetError:
            return any(reason in child.log for child in site.balancers)
        return False

    asyncio.run(scenario())


def test_configuration_is_in_force_after_store_lost_its_history(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            site.platform.inject(refuse=True)
            await wait_until(lambda: has_logged(site.balancers[0], 'BBF0301'))
            site.store.put('config', 'main', make_configuration(9, SERVICE[1]))
            site.store.clear_history()
            flow = await open_with_retries(site.client())
            assert await flow.send_request(b'while the store is away')
            site.platform.inject(refuse=False)
            await wait_until(lambda: has_version(site, 9))

    async def has_logged(child, event):
        return event in child.log

    async def has_version(site, version):
        metrics_page = await site.metrics(site.balancers[0].host)
        return f'bluebellfold_configuration_version {version}\n' in metrics_page

    asyncio.run(scenario())


def test_agent_deregisters_after_its_upstream_has_ended(tmp_path):
    async def scenario():
        async with run_site(tmp_path, announcing=False) as site:
            kind = 'bluebellfold-agents'
            assert site.store.names(kind) == ['127.0.2.0', '127.0.2.1']
            await site.deregister(0)
            site.agents[0].terminate()
            assert await site.agents[0].wait() == 0
            assert site.store.names(kind) == ['127.0.2.1']

    asyncio.run(scenario())


# Guards against open flows that are reset, or get no answer for good, once the
# store lacks the entry of a running agent.
def test_flow_survives_the_loss_of_all_entries(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            kind = 'bluebellfold-agents'
            await wait_until_agents_listed(site, *site.balancers)
            flow = await open_with_retries(site.client(balancer_index=0))
            first = await flow.send_request(b'one')
            names = site.store.names(kind)
            for stored in site.store.list_kind(kind):
                meta = stored['meta']
                site.store.delete(kind, meta['Name'], revision=meta['Revision'])
            # A balancer that doesn't have the flow in its cache.
            site.balancers[0] = site.balancers[1]
            # One balancer that misses an agent is enough: the other one may
            # read the loss and the new entry at once.
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await asyncio.gather(
                    *(agent.wait_for_log('BBF0760') for agent in site.agents)
                )
            second = await flow.send_request(b'two')
            assert second == first.replace(b'one', b'two')
            async with asyncio.timeout(LISTED_SECONDS):
                while site.store.names(kind) != names:
                    await asyncio.sleep(POLL_SECONDS)

    asyncio.run(scenario())


# Guards against open flows that are reset: a deregistration of an earlier start
# arrives late, and nothing tells it from one of the running upstream.
def test_flow_survives_a_late_deregistration(tmp_path):
    async def scenario():
        async with run_site(tmp_path, announcing=False) as site:
            await wait_until_agents_listed(site, *site.balancers)
            flow = await open_with_retries(site.client(balancer_index=0))
            first = await flow.send_request(b'one')
            index = int(first.removesuffix(b':one')[-1:])
            await site.deregister(index)
            # A balancer that doesn't have the flow in its cache.
            site.balancers[0] = site.balancers[1]
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await site.balancers[1].wait_for_log('BBF0759')
            second = await flow.send_request(b'two')
            assert second == first.replace(b'one', b'two')

    asyncio.run(scenario())


def test_malformed_input_stops_no_process_and_log_lines_are_json(tmp_path):
    async def scenario():
        async with run_site(tmp_path) as site:
            client = site.client()
            for payload in (b'', b'short', b'\xff' * 40, b'x' * 1500):
                for balancer in site.balancers:
                    client.send_raw(payload, (balancer.host, 28_172))
                for agent in site.agents:
                    client.send_raw(payload, (agent.host, 28_172))
                    client.send_raw(payload, (agent.host, 28_162))
            flow = await open_with_retries(client)
            assert await flow.send_request(b'still served')
            lines = itertools.chain.from_iterable(
                child.log.splitlines()
                for child in (*site.balancers, *site.agents)
            )
            assert all('event' in json.loads(line) for line in lines)
            metrics_page = await site.metrics(site.balancers[0].host)
            assert 'bluebellfold_malformed_packet_total' in metrics_page

    asyncio.run(scenario())


class SiteWithPartStore(RelaySite):
    """Let some balancers reach the store through a server that refuses."""

    def __init__(self, *, refused_hosts, **fields):
        super().__init__(**fields)
        self.refusing = PlatformStandin()
        self.refusing.store = self.platform.store
        self.refusing.inject(refuse=True)
        self._refused_hosts = refused_hosts

    async def store_endpoint(self, host):
        part = self.refusing if host in self._refused_hosts else self.platform
        return part.endpoint


@asynccontextmanager
async def run_site_with_refused_balancer(folder):
    refused_host = f'127.{COPIES_NET}.1.1'
    site = SiteWithPartStore(
        folder=folder, net=COPIES_NET, refused_hosts={refused_host}
    )
    await site.refusing.start()
    async with site.running(balancers=1, agents=2):
        announcing_task = asyncio.create_task(keep_announcing(site))
        await wait_until_ready(site)
        site.balancers.append(await site.start_balancer(refused_host))
        try:
            yield site, site.balancers[1]
        finally:
            announcing_task.cancel()
            await site.refusing.stop()


# Guards against a balancer that lets its flows wait until the store answers it,
# although others have read the same state.
def test_balancer_that_the_store_refuses_serves_from_its_start(tmp_path):
    async def scenario():
        async with run_site_with_refused_balancer(tmp_path) as (site, child):
            async with asyncio.timeout(2):
                flow = await open_with_retries(site.client(balancer_index=1))
                assert await flow.send_request(b'x')
            await wait_until(partial(site.is_ready, child.host))
            metrics_page = await site.metrics(child.host)
            assert 'configuration_from_peer 1\n' in metrics_page
            assert 'agents_from_peer 1\n' in metrics_page
            assert 'evacuations_from_peer 1\n' in metrics_page

    asyncio.run(scenario())


# Guards against new flows in an evacuated zone from a balancer that the store
# refuses. No agent can tell it: none is in the zone.
def test_balancer_that_the_store_refuses_learns_of_evacuated_zones(tmp_path):
    async def scenario():
        async with run_site_with_refused_balancer(tmp_path) as (site, child):

            async def knows_zone():  # noqa: WPS430
                metrics_page = await site.metrics(child.host)
                return 'evacuated_zones 1\n' in metrics_page

            await wait_until(partial(site.is_ready, child.host))
            site.store.put('evacuations', 'z', {})
            await wait_until(knows_zone)

    asyncio.run(scenario())


# Guards against state that stays a copy once the store answers, and against a
# change of it that the copy undoes.
def test_answer_of_the_store_replaces_the_copy(tmp_path):
    async def scenario():
        async with run_site_with_refused_balancer(tmp_path) as (site, early):
            # A copy that was taken earlier may lack an agent.
            await wait_until_agents_listed(site, site.balancers[0])
            early.kill()
            await early.wait()
            child = await site.start_balancer(early.host)
            site.balancers[1] = child
            flow = await open_with_retries(site.client(balancer_index=1))
            site.store.put('config', 'main', make_configuration(5, SERVICE[1]))
            site.refusing.inject(refuse=False)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await child.wait_for_log('BBF0755', times=3)
            assert await flow.send_request(b'x')
            metrics_page = await site.metrics(child.host)
            assert 'configuration_version 5\n' in metrics_page
            assert 'configuration_from_peer 0\n' in metrics_page
            assert 'agents_from_peer 0\n' in metrics_page
            assert 'evacuations_from_peer 0\n' in metrics_page
            added = [
                line for line in child.log.splitlines() if 'BBF0708' in line
            ]
            assert len(added) == 1

    asyncio.run(scenario())


def test_usual_start_asks_no_balancer_and_was_not_paused(tmp_path):
    async def scenario():
        async with run_site(tmp_path, net=COPIES_NET) as site:
            await asyncio.sleep(1)
            pages = await asyncio.gather(
                *(site.metrics(child.host) for child in site.balancers)
            )
            assert not any('copies_asked' in page for page in pages)
            assert not any('BBF0741' in child.log for child in site.balancers)

    asyncio.run(scenario())


AGREEMENT = (
    '2 of 2 balancers: agents_listed 2\n',
    '2 of 2 balancers: configuration_version 1\n',
    '2 of 2 agents: newest_configuration_version 1\n',
    '4 answered, 0 flagged, 0 silent\n',
)


# Guards against a state that processes do not export, or not alike.
def test_status_shows_that_running_processes_agree(tmp_path, capsys):
    async def scenario():
        async with run_site(tmp_path) as site:
            processes = [
                f'{child.host}:{METRICS_PORT}'
                for child in (*site.balancers, *site.agents)
            ]
            show = partial(run_command, ['relay', 'status', *processes])

            # Processes that don't know a value yet agree, too.
            async def agree():
                code = await asyncio.to_thread(show)
                shown = capsys.readouterr().out
                return code == 0 and all(line in shown for line in AGREEMENT)

            await wait_until(agree)

    asyncio.run(scenario())
