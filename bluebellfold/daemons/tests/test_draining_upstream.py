"""Test that a draining upstream gets no new work."""

import asyncio

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.core import DRAINING
from bluebellfold.daemons.tests.site_harness import (
    BALANCERS,
    open_site_harness,
    start_site,
)
from bluebellfold.standins.fleet_harness import send_on_flow

FEATURES = 'bluebellfold/daemons/tests/features'
UPSTREAMS = ('counter-1', 'counter-2', 'counter-3')
ORDERS = 24
NOT_RUN_STATUS = 503

scenarios(f'{FEATURES}/draining_upstream.feature')


@pytest.fixture
def harness(tmp_path):
    with open_site_harness(tmp_path) as opened:
        yield opened


@given('a site with a feed open at one upstream')
def open_feed_at_upstream(harness):
    async def open_feed():
        await start_site(harness, counter=len(UPSTREAMS))
        flow = harness.fleet_harness.flow('feed')
        await flow.connect()
        lines = flow.lines('/feed')
        line = await anext(lines)
        harness.context.update(lines=lines, leaving=line.split()[0])

    harness.run(open_feed())


@given('the platform is unavailable')
def break_platform(harness):
    harness.run(harness.fleet_harness.set_platform_faults(refuse=True))


@given('every balancer is paused')
def pause_all_balancers(harness):
    for name in BALANCERS:
        harness.fleet_harness.pause(name)


@given('balancer-3 is paused')
def pause_balancer(harness):
    harness.fleet_harness.pause('balancer-3')


@given('a site with an order served on a flow that stays open')
def serve_order(harness):
    async def open_flow():
        await start_site(harness, counter=1)
        flow = harness.fleet_harness.flow('order')
        await flow.connect()
        response = await send_on_flow(flow, 'order', 'first')
        harness.context.update(flow=flow, leaving='counter-1')
        return response.status

    assert harness.run(open_flow()) == 200


@when('the upstream drains')
def drain_upstream(harness):
    agent = f'agent-{harness.context["leaving"]}'
    harness.fleet.child(agent).terminate()
    harness.run(harness.fleet_harness.wait_for(is_draining, agent))


@when('the upstream drains and balancer-1 and balancer-2 know it')
def drain_upstream_and_wait(harness):
    drain_upstream(harness)
    agent = f'agent-{harness.context["leaving"]}'
    knows = knows_as_draining(agent)
    harness.run(
        harness.fleet_harness.wait_for(knows, 'balancer-1', 'balancer-2')
    )


@when('orders arrive at balancer-3 as it resumes')
def order_at_paused_balancer(harness):
    order_while_resuming(harness, 'balancer-3')


@when('orders arrive at every balancer as it resumes')
def order_at_paused_balancers(harness):
    order_while_resuming(harness, *BALANCERS)


@when('another order arrives on the old flow')
def order_on_old_flow(harness):
    sent = send_on_flow(harness.context['flow'], 'order', 'second')
    harness.context['answer'] = harness.run(sent)


@then('every order is served by another upstream')
def check_other_upstreams(harness):
    async def read_records():
        runs = map(harness.fleet_harness.run_counts, UPSTREAMS)
        return dict(zip(UPSTREAMS, await asyncio.gather(*runs), strict=True))

    assert {response.status for response in harness.context['answers']} == {200}
    records = harness.run(read_records())
    assert not records.pop(harness.context['leaving'])
    finished = [
        counts['finished']
        for record in records.values()
        for counts in record.values()
    ]
    assert len(finished) == ORDERS
    assert set(finished) == {1}


@then('the feed continues')
def check_feed(harness):
    assert harness.run(anext(harness.context['lines']))


@then('the order is refused as not run')
def check_refused(harness):
    response = harness.context['answer']
    assert response.status == NOT_RUN_STATUS
    assert response.field('bluebellfold-outcome') == 'not-run'
    assert 'second' not in harness.run(
        harness.fleet_harness.run_counts('counter-1')
    )


@then('the client of the old flow is told to open another flow')
def check_goaway(harness):
    async def wait_for_goaway():
        async with asyncio.timeout(10):
            await harness.context['flow'].goaway_received.wait()

    harness.run(wait_for_goaway())


def order_while_resuming(harness, *balancers):
    async def send_orders():
        sending = [
            asyncio.ensure_future(
                harness.fleet_harness.send_request(
                    'order', f'o{seed}', *balancers, seed=seed
                ),
            )
            for seed in range(ORDERS)
        ]
        # Each client sends its first flight while the event loop runs.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for name in balancers:
            harness.fleet_harness.resume(name)
        return await asyncio.gather(*sending)

    harness.context['answers'] = harness.run(send_orders())


def is_draining(report):
    return report.state == DRAINING


def knows_as_draining(agent):
    return lambda report: any(
        member.name == agent and member.state == DRAINING
        for member in report.members
    )
