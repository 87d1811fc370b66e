"""Test that requests reach their service while addresses change."""

import asyncio

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.daemons.tests.request_helpers import (
    one_run_each,
    run_counts,
    send_requests,
    send_while_resuming,
)
from bluebellfold.daemons.tests.site_harness import (
    BALANCERS,
    has_version,
    open_site_harness,
    start_site,
)
from bluebellfold.operators import load_site
from bluebellfold.operators.apply import apply_change, read_change
from bluebellfold.operators.config_commands import open_store
from bluebellfold.standins.fleet_harness import send_on_flow

FEATURES = 'bluebellfold/daemons/tests/features'
EXIT_INVALID_SETTINGS = 2
IN_PROGRESS_WORK_MS = 4000
TASTING_KIND = """[[tasting]]
number = 4
service = makeroom
port = 8404
urgency = 2
share = 0.3
repeatable = no
holds = slot
"""

scenarios(f'{FEATURES}/addresses_change.feature')


@pytest.fixture
def harness(tmp_path):
    with open_site_harness(tmp_path) as opened:
        yield opened


@given('a site with two upstreams of makeroom')
def start_two_makerooms(harness):
    harness.run(start_site(harness, counter=1, makeroom=2))
    assert harness.run(harness.apply(harness.fleet.overlay)).code == 0
    names = (*BALANCERS, 'agent-counter-1', 'agent-makeroom-2')
    harness.run(harness.fleet_harness.wait_for(has_version(1), *names))


@given('a site with a batch in progress on a flow')
def start_batch(harness):
    async def begin():
        await start_site(harness, counter=1, makeroom=1)
        await harness.apply(harness.fleet.overlay)
        flow = harness.fleet_harness.flow('batch')
        await flow.connect()
        stream = flow.start(
            'POST',
            f'/batch?work_ms={IN_PROGRESS_WORK_MS}',
            fields=(('request-id', 'old'),),
            body=b'old',
        )
        while 'old' not in await harness.fleet_harness.run_counts('makeroom-1'):
            await asyncio.sleep(0)
        harness.context.update(flow=flow, stream=stream)

    harness.run(begin())


@when('a new kind of work is added while balancer-3 and an agent are paused')
def add_kind(harness):
    harness.fleet_harness.pause('balancer-3')
    harness.fleet_harness.pause('agent-makeroom-1')
    overlay = harness.write_overlay(
        'tasting',
        ('share = 1\n', 'share = 0.7\n'),
        ('[[batch]]', f'{TASTING_KIND}[[batch]]'),
    )
    assert harness.run(harness.apply(overlay)).code == 0
    harness.fleet.overlay.write_text(overlay.read_text())
    names = ('balancer-1', 'balancer-2', 'agent-makeroom-2')
    harness.run(harness.fleet_harness.wait_for(has_version(2), *names))


@when('an operator moves batches to counter')
def apply_move(harness):
    overlay = harness.write_overlay(
        'moved',
        ('service = makeroom', 'service = counter'),
        ('share = 1\n', 'share = 0.6\n'),
    )
    harness.context['overlay'] = overlay
    harness.context['command'] = harness.run(harness.apply(overlay))


@when('the move is written without the check while balancer-3 is paused')
def write_move(harness):
    async def write():
        settings = load_site(harness.fleet.base, harness.context['overlay'])
        site = settings.site
        async with open_store(site.platform) as store:
            change = await read_change(
                store, site=site.name, text=settings.text
            )
            await apply_change(store, change, operation='moved')
        names = ('balancer-1', 'balancer-2', 'agent-counter-1')
        await harness.fleet_harness.wait_for(
            has_version(2), *names, 'agent-makeroom-1'
        )

    harness.fleet_harness.pause('balancer-3')
    harness.run(write())


@when('batches arrive at every balancer as balancer-3 resumes')
def send_batches(harness):
    assert set(send_while_resuming(harness, 'batch', *BALANCERS)) == {200}


@then('requests of the new kind are served by makeroom')
def check_new_kind(harness):
    statuses = harness.run(
        send_requests(
            harness, 'tasting', 'balancer-1', 'balancer-2', path='batch'
        )
    )
    assert set(statuses) == {200}
    assert run_counts(harness, 'makeroom-2') == one_run_each('batch')


@then('requests of the new kind are served by makeroom after both resume')
def check_new_kind_after_resuming(harness):
    harness.fleet_harness.resume('balancer-3')
    harness.fleet_harness.resume('agent-makeroom-1')
    statuses = harness.run(
        send_requests(
            harness, 'tasting', *BALANCERS, path='batch', id_prefix='awake'
        )
    )
    assert set(statuses) == {200}
    counts = run_counts(harness, 'makeroom-1') | run_counts(
        harness, 'makeroom-2'
    )
    assert one_run_each('awake').items() <= counts.items()


@then('counter ran nothing')
def check_counter_idle(harness):
    assert not run_counts(harness, 'counter-1')


@then('the command fails with the remedy to add another kind')
def check_remedy(harness):
    command = harness.context['command']
    assert command.code == EXIT_INVALID_SETTINGS
    assert 'add a kind with another name, number and port' in command.output


@then('counter runs each new batch once')
def check_counter_runs(harness):
    assert run_counts(harness, 'counter-1') == one_run_each('batch')


@then('the batch in progress is served by makeroom')
def check_batch_in_progress(harness):
    response = harness.run(
        harness.context['flow'].receive_response(harness.context['stream'])
    )
    assert response.status == 200
    assert run_counts(harness, 'makeroom-1') == {'old': 1}


@then('a new batch on the old flow never runs at counter')
def check_old_flow(harness):
    response = harness.run(
        send_on_flow(harness.context['flow'], 'batch', 'late')
    )
    assert (response.status == 200) == (
        'late' in run_counts(harness, 'makeroom-1')
    )
    assert 'late' not in run_counts(harness, 'counter-1')
