"""Test the outcomes that are reported to clients."""

import asyncio

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.daemons.tests import outcome_harness as expected
from bluebellfold.daemons.tests.outcome_harness import open_outcome_harness
from bluebellfold.standins.upstream import CUT_STEPS

UPSTREAM = 'counter-1'
BODY = bytes(100_000)
ORDERS = 40

scenarios('bluebellfold/daemons/tests/features/outcomes.feature')


@pytest.fixture
def harness(tmp_path):
    with open_outcome_harness(tmp_path) as opened:
        yield opened


@given('a site with one upstream')
def start_site(harness):
    harness.start(counter=1)


@when('the connection is cut at each step of an exchange')
def cut_at_every_step(harness):
    async def cut():
        flow = await harness.open_flow('order')
        for step in CUT_STEPS:
            await cut_at(harness, flow, step)  # noqa: WPS476 - one by one
        await harness.set_upstream_faults(UPSTREAM)
        await harness.send(flow, 'calm', '/order', BODY)

    harness.run(cut())


@when('more orders arrive than the upstream admits')
def overload(harness):
    async def send_order():
        flow = await harness.open_flow('order')
        orders = [
            harness.send(flow, f'{number}', '/order?work_ms=300')
            for number in range(ORDERS)
        ]
        await asyncio.gather(*orders)

    harness.run(send_order())


@when('an order arrives with a deadline of 0 ms')
def order_with_zero_deadline(harness):
    async def send_order():
        flow = await harness.open_flow('order')
        deadline = ('bluebellfold-deadline-ms', '0')
        result = await harness.send(flow, 'hurry', '/order', fields=(deadline,))
        assert result.reason == 'deadline-too-near'

    harness.run(send_order())


@when('the upstream sheds an order')
def shed_order(harness):
    async def send_order():
        await harness.set_upstream_faults(UPSTREAM, shed=True)
        flow = await harness.open_flow('order')
        result = await harness.send(flow, 'shed', '/order')
        assert result.reason == 'shed'

    harness.run(send_order())


@when('the upstream is killed and an order arrives')
def kill_upstream(harness):
    async def send_order():
        flow = await harness.open_flow('order')
        await harness.site.fleet_harness.kill(UPSTREAM)
        await harness.send(flow, 'gone', '/order')

    harness.run(send_order())


@then("each outcome agrees with the upstream's record")
def check_outcomes(harness):
    counts = harness.run(harness.step_counts(UPSTREAM))
    for request_id, result in harness.results.items():
        count = counts[request_id]
        if result.outcome == expected.NOT_RUN:
            assert not count.get('begun', 0), request_id
        if result.outcome == expected.ANSWERED:
            assert count['finished'] == 1, request_id


@then('each cut order has an unknown outcome or a broken response')
def check_cut_orders(harness):
    outcomes = {step: harness.results[step].outcome for step in CUT_STEPS}
    assert outcomes == {
        'accept': expected.UNKNOWN,
        'head': expected.UNKNOWN,
        'body': expected.UNKNOWN,
        'before-answer': expected.UNKNOWN,
        'in-answer': expected.BROKEN,
    }
    assert harness.results['calm'].outcome == expected.ANSWERED
    counts = harness.run(harness.step_counts(UPSTREAM))
    assert counts['before-answer']['begun'] == 1
    assert counts['in-answer']['finished'] == 1


@then('no order ran more than once')
def check_runs(harness):
    counts = harness.run(harness.step_counts(UPSTREAM))
    begun = [count.get('begun', 0) for count in counts.values()]
    assert max(begun) == 1


@then('some orders were answered and the others were not run')
def check_refused_orders(harness):
    outcomes = [result.outcome for result in harness.results.values()]
    assert set(outcomes) == {expected.ANSWERED, expected.NOT_RUN}
    assert len(outcomes) == ORDERS + 2


@then('the order is not run because no connection could be opened')
def check_connect_failed(harness):
    result = harness.results['gone']
    assert (result.outcome, result.reason) == (
        expected.NOT_RUN,
        'connect-failed',
    )


async def cut_at(harness, flow, step):
    await harness.set_upstream_faults(UPSTREAM, cut=step)
    await harness.send(flow, step, '/order', BODY)
    if step == 'accept':
        # The request that changes the faults needs a connection too.
        await restart_upstream(harness)


async def restart_upstream(harness):
    fleet = harness.site.fleet
    host = fleet.child(UPSTREAM).host
    await harness.site.fleet_harness.kill(UPSTREAM)
    await fleet.start_upstream('counter', UPSTREAM, host=host)
