"""Test that members leave and return without the platform."""

import asyncio
import signal

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.daemons.tests.site_harness import (
    BALANCERS,
    open_site_harness,
    start_site,
)
from bluebellfold.operators.config_commands import open_store
from bluebellfold.standins.fleet import LEASED_OBJECT

FEATURES = 'bluebellfold/daemons/tests/features'
AGENT = 'agent-counter-1'
AGENTS = (AGENT, 'agent-counter-2')
ORDERS = 8
LEASE_SECONDS = 0.5

scenarios(f'{FEATURES}/members_change.feature')


@pytest.fixture
def harness(tmp_path):
    with open_site_harness(tmp_path) as opened:
        yield opened


@given('a site with two agents of counter')
def start_two_agents(harness):
    harness.run(start_site(harness, counter=2))


@given('the platform is unavailable')
def break_platform(harness):
    harness.run(harness.fleet_harness.set_platform_faults(refuse=True))


@given('a process that holds a lease')
def start_lease_holder(harness):
    async def start_platform_and_holder():
        await harness.fleet.start_platform()
        await harness.fleet.start_lease_holder(
            'first', duration_seconds=LEASE_SECONDS
        )

    harness.run(start_platform_and_holder())


@when('agent-counter-1 is paused')
def pause_agent(harness):
    harness.fleet_harness.pause(AGENT)


@when('agent-counter-1 is killed')
def kill_agent(harness):
    harness.run(harness.fleet_harness.kill(AGENT))


@when('agent-counter-1 resumes')
def resume_agent(harness):
    harness.fleet_harness.resume(AGENT)


@when('agent-counter-1 starts again')
def restart_agent(harness):
    harness.run(
        harness.fleet.start_agent('counter', 'counter-1', zone='wa-south-a'),
    )


@when('the agents are paused and all balancers restart')
def restart_balancers(harness):
    async def restart_all():
        for agent in AGENTS:
            harness.fleet_harness.pause(agent)
        await asyncio.gather(*map(harness.fleet_harness.kill, BALANCERS))
        await harness.fleet_harness.start_balancers()

    harness.run(restart_all())


@when('the process is paused until another one has written with the lease')
def pause_until_lapsed(harness):
    async def take_over():
        harness.fleet_harness.pause('first')
        second = await harness.fleet.start_lease_holder(
            'second', duration_seconds=LEASE_SECONDS
        )
        second.send_signal(signal.SIGUSR1)
        await second.wait()
        assert 'written' in second.log
        harness.context['object'] = await read_leased(harness)

    harness.run(take_over())


@when('the process resumes and writes')
def write_after_lapse(harness):
    harness.fleet.child('first').send_signal(signal.SIGUSR1)
    harness.fleet_harness.resume('first')


@then('every order is served by counter-2')
def check_other_agent(harness):
    assert set(harness.run(send_orders(harness, 'while-away'))) == {200}
    assert (
        len(harness.run(harness.fleet_harness.run_counts('counter-2')))
        == ORDERS
    )


@then('orders reach counter-1 again')
def check_agent_returns(harness):
    async def send_until_reached():
        retry = 0
        while not await harness.fleet_harness.run_counts('counter-1'):
            assert set(await send_orders(harness, f'retry-{retry}')) == {200}
            retry += 1

    harness.run(asyncio.wait_for(send_until_reached(), 20))


@then('the balancers know both agents')
def check_all_known(harness):
    def knows_both(report):
        return {member.name for member in report.members} == set(AGENTS)

    harness.run(harness.fleet_harness.wait_for(knows_both, *BALANCERS))


@then('its write fails because the lease has lapsed')
def check_lapsed(harness):
    first = harness.fleet.child('first')
    assert harness.run(first.wait()) == 0
    assert first.log.splitlines()[-1] == 'lapsed'


@then('the object is as the other process wrote it')
def check_unchanged(harness):
    assert harness.run(read_leased(harness)) == harness.context['object']
    assert '"second":{' in harness.context['object'].text


async def send_orders(harness, name):
    responses = await asyncio.gather(
        *(
            harness.fleet_harness.send_request(
                'order', f'{name}-{seed}', seed=seed
            )
            for seed in range(ORDERS)
        ),
    )
    return [response.status for response in responses]


async def read_leased(harness):
    platform = harness.fleet.settings.site.platform
    async with open_store(platform) as store:
        return await store.read(LEASED_OBJECT)
