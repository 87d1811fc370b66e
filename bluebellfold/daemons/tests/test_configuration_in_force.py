"""Test that processes agree on a configuration during failures."""

import asyncio
import json

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.daemons.tests.site_harness import (
    BALANCERS,
    has_version,
    open_site_harness,
    start_site,
)

AGENT = 'agent-counter-1'
ALL_PROCESSES = (*BALANCERS, AGENT)
EXIT_CONFLICT = 3

FEATURES = 'bluebellfold/daemons/tests/features'
scenarios(f'{FEATURES}/configuration_in_force.feature')


@pytest.fixture
def harness(tmp_path):
    with open_site_harness(tmp_path) as opened:
        yield opened


def wait_for_version(harness, version, *names):
    harness.run(harness.fleet_harness.wait_for(has_version(version), *names))


def apply_change(harness, upstreams, *flags):
    overlay = harness.write_overlay(
        f'changed-{upstreams}',
        ('upstreams = 7', f'upstreams = {upstreams}'),
    )
    return harness.apply(overlay, *flags)


@given('a site with a configuration in force everywhere')
def start_configured_site(harness):
    harness.run(start_site(harness, counter=1))
    assert harness.run(harness.apply(harness.fleet.overlay)).code == 0
    wait_for_version(harness, 1, *ALL_PROCESSES)


@given('another configuration in force everywhere')
def apply_other_configuration(harness):
    assert harness.run(apply_change(harness, 8)).code == 0
    wait_for_version(harness, 2, *ALL_PROCESSES)


@when('two operators apply different changes to the same version')
def apply_concurrently(harness):
    async def apply_both():
        # The delay lets both operators read before either of them writes.
        await harness.fleet_harness.set_platform_faults(slow_seconds=0.7)
        return await asyncio.gather(
            apply_change(harness, 8), apply_change(harness, 9)
        )

    harness.context['commands'] = harness.run(apply_both())


@then('one command succeeds and the other exits with 3 and a remedy')
def check_one_succeeds(harness):
    successful, failed = sorted(
        harness.context['commands'], key=lambda command: command.code
    )
    assert (successful.code, failed.code) == (0, EXIT_CONFLICT)
    assert 'remedy: run config diff, merge the other change' in failed.output


@when("the platform loses the response to an operator's write")
def lose_response(harness):
    harness.run(harness.fleet_harness.set_platform_faults(lose_answers=1))
    harness.context['command'] = harness.run(
        apply_change(harness, 8, '--operation=lost')
    )


@then('the command reports that the change is in force')
def check_reported_in_force(harness):
    assert harness.context['command'].code == 0
    assert 'version 2 is in force' in harness.context['command'].output


@then('the change was written once')
def check_written_once(harness):
    history = harness.run(
        harness.fleet_harness.run_command(
            'config',
            'history',
            f'--base={harness.fleet.base}',
            f'--site={harness.fleet.overlay}',
        ),
    )
    assert history.output.count('operation lost') == 1


@when('balancer-2 and the agent restart while the platform is unavailable')
def restart_during_outage(harness):
    async def restart():
        await harness.fleet_harness.set_platform_faults(refuse=True)
        await harness.fleet_harness.kill('balancer-2')
        await harness.fleet_harness.kill(AGENT)
        await harness.fleet.start_balancer(1)
        await harness.fleet.start_agent(
            'counter',
            'counter-1',
            zone='wa-south-a',
        )

    harness.run(restart())


@when('balancer-3 is paused, a change is applied and balancer-3 resumes')
def apply_while_paused(harness):
    harness.fleet_harness.pause('balancer-3')
    assert harness.run(apply_change(harness, 8)).code == 0
    wait_for_version(harness, 2, 'balancer-1', 'balancer-2', AGENT)
    # The peers are the only source of the version in force, and the balancer
    # that resumes must not spread its old version.
    harness.run(harness.fleet_harness.set_platform_faults(refuse=True))
    harness.fleet_harness.resume('balancer-3')


@when("the platform's reads become stale and the balancers read again")
def read_stale_versions(harness):
    async def read_again():
        await harness.fleet_harness.set_platform_faults(stale_reads=True)
        earlier_calls = await harness.fleet_harness.platform_call_counts()
        calls = earlier_calls
        while calls['watch'] < earlier_calls['watch'] + 2 * len(BALANCERS):
            calls = await harness.fleet_harness.platform_call_counts()

    harness.run(read_again())


@then('the successful change is in force everywhere')
@then('the change is in force everywhere')
@then('the newer configuration is in force everywhere')
def check_in_force(harness):
    wait_for_version(harness, 2, *ALL_PROCESSES)
    for name in ALL_PROCESSES:
        versions = applied_versions(harness.fleet.child(name).log)
        assert versions == sorted(versions)
        assert versions[-1] == 2


def applied_versions(log):
    """Return the versions in the order in which they were applied."""
    started = log.rpartition('"BBF0101"')[2]
    entries = map(json.loads, started.splitlines()[1:])
    return [
        entry['version'] for entry in entries if entry.get('event') == 'BBF0007'
    ]
