"""Test that an order runs at most once despite failures."""

import asyncio
import hashlib
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellfold.daemons.tests import outcome_harness as expected
from bluebellfold.daemons.tests.outcome_harness import open_outcome_harness
from bluebellfold.standins.link_faults import LinkFaults

FIRST = 'counter-1'
SECOND = 'counter-2'
BATCH_UPSTREAM = 'makeroom-1'
CLIENT_COUNT = 10
UNRELIABLE = LinkFaults(loss_rate=0.05, duplicate_rate=0.4, reorder_rate=0.3)
DUPLICATING = LinkFaults(duplicate_rate=1)
TWO_BALANCERS = ('balancer-1', 'balancer-2')
LONG_WORK_MS = 60_000
# The limits of the settings.
SMALL_WEIGHT = 0.01
LARGE_WEIGHT = 100
# Longer than a flow that its client doesn't complete stays open.
OPEN_SECONDS = 6

scenarios('bluebellfold/daemons/tests/features/at_most_once.feature')


@pytest.fixture
def harness(tmp_path):
    with open_outcome_harness(tmp_path) as opened:
        yield opened


@given(parsers.parse('a site with {number:d} upstreams'))
def start_site(harness, number):
    harness.start(counter=number, makeroom=1, repeatable_batches=True)


# An agent that knows the loads of both keeps a new flow only up to its part of
# the mean load. By these weights the new agent owns the flows, and the first
# one has none, so that it keeps those that balancer-2 sends it, however much
# time passes until then.
@given('a site whose upstream has a small weight')
def start_small_upstream(harness):
    harness.start(makeroom=1, repeatable_batches=True)
    harness.site.run(start_order_upstream(harness, FIRST, weight=SMALL_WEIGHT))
    harness.run(harness.site.fleet.wait_for_members())


@given('balancer-2 is paused while an upstream of a large weight joins')
def join_while_paused(harness):
    fleet_harness = harness.site.fleet_harness
    fleet_harness.pause('balancer-2')

    async def join():
        await start_order_upstream(harness, SECOND, weight=LARGE_WEIGHT)
        await fleet_harness.wait_for(
            knows_second, 'balancer-1', f'agent-{FIRST}'
        )

    harness.run(join())


@when(
    parsers.parse(
        '{number:d} clients send orders through a lossy, duplicating and '
        'reordering fabric',
    ),
)
def order_through_unreliable_fabric(harness, number):
    async def send_order(seed):
        flow = harness.site.fleet_harness.flow('order', seed=seed)
        flow.fabric.update_faults(UNRELIABLE)
        await flow.connect()
        body = bytes([seed]) * 5000
        await harness.send(flow, f'{seed}', '/order?work_ms=20', body)

    async def send_orders():
        await asyncio.gather(*map(send_order, range(number)))

    harness.run(send_orders())


@when('clients open flows, and balancer-2 resumes with their first flights')
def open_duplicated_flows(harness):
    async def open_one(seed):
        fleet_harness = harness.site.fleet_harness
        flow = fleet_harness.flow('order', *TWO_BALANCERS, seed=seed)
        flow.fabric.update_faults(DUPLICATING)
        await flow.connect()
        return flow

    async def open_all():
        flows = await asyncio.gather(*map(open_one, range(CLIENT_COUNT)))
        harness.site.fleet_harness.resume('balancer-2')
        return flows

    harness.flows = harness.run(open_all())


@then('two agents hold a flow of the same client')
def check_two_agents(harness):
    agents = (f'agent-{FIRST}', f'agent-{SECOND}')

    async def count_flows():
        reports = await harness.site.fleet_harness.reports(*agents)
        return [report.flows for report in reports]

    async def wait():
        flows = []
        deadline = time.monotonic() + OPEN_SECONDS
        while sum(flows) <= CLIENT_COUNT and time.monotonic() < deadline:
            flows = await count_flows()
        return flows

    flows = harness.run(wait())
    assert sum(flows) > CLIENT_COUNT, f'{agents} hold {flows} flows'


@when('each of the clients sends an order')
def order_on_duplicated_flows(harness):
    async def send_orders():
        orders = [
            harness.send(flow, f'{number}', '/order', bytes([number]) * 5000)
            for number, flow in enumerate(harness.flows)
        ]
        await asyncio.gather(*orders)

    harness.run(send_orders())


@then('every order receives its response and ran exactly once')
def check_once(harness):
    counts = harness.run(harness.step_counts(FIRST, SECOND))
    for request_id, result in harness.results.items():
        digest = hashlib.sha256(harness.bodies[request_id]).hexdigest()
        assert result.outcome == expected.ANSWERED
        assert result.body.decode() == digest
        assert counts[request_id]['begun'] == 1
        assert counts[request_id]['arrived'] == 1


@when('the agent of a running order is killed and another one starts')
def kill_agent(harness):
    async def kill():
        fleet = harness.site.fleet
        agent = f'agent-{FIRST}'
        flow = await harness.open_flow('order')
        path = f'/order?work_ms={LONG_WORK_MS}'
        order_task = asyncio.ensure_future(harness.send(flow, 'killed', path))
        await harness.wait_for_step(FIRST, 'killed', 'begun')
        await harness.site.fleet_harness.kill(agent)
        zone = fleet.settings.site.zones[0]
        await fleet.start_agent('counter', FIRST, zone=zone)
        # A client learns that its agent has stopped only when it sends.
        await harness.send(flow, 'behind', '/order')
        await order_task

    harness.run(kill())


@then('the order is not reported as not run')
def check_not_reported_as_not_run(harness):
    assert harness.results['killed'].outcome == expected.BROKEN
    assert harness.results['behind'].outcome == expected.BROKEN


@then('the order ran once')
def check_ran_once(harness):
    counts = harness.run(harness.step_counts(FIRST))
    assert counts['killed']['begun'] == 1
    assert counts['killed']['arrived'] == 1
    assert not counts['behind']


@then('an order on a new flow receives its response')
def check_new_flow(harness):
    async def send_order():
        flow = await harness.open_flow('order', seed=2)
        await harness.send(flow, 'next', '/order')

    harness.run(send_order())
    assert harness.results['next'].outcome == expected.ANSWERED


@when('the upstream closes its connections just before it responds')
def cut_before_response(harness):
    async def cut():
        await asyncio.gather(
            cut_and_send(harness, FIRST, 'order'),
            cut_and_send(harness, BATCH_UPSTREAM, 'batch'),
        )

    harness.run(cut())


@then('the outcome of an order is unknown and it ran once')
def check_order_not_retried(harness):
    counts = harness.run(harness.step_counts(FIRST))
    assert harness.results['order'].outcome == expected.UNKNOWN
    assert counts['order']['begun'] == 1


@then('a repeatable batch ran again')
def check_batch_retried(harness):
    counts = harness.run(harness.step_counts(BATCH_UPSTREAM))
    assert harness.results['batch'].outcome == expected.UNKNOWN
    assert counts['batch']['begun'] > 1


async def start_order_upstream(harness, name, *, weight):
    fleet = harness.site.fleet
    await fleet.start_upstream('counter', name)
    zone = fleet.settings.site.zones[0]
    await fleet.start_agent('counter', name, zone=zone, weight=weight)


async def cut_and_send(harness, upstream, kind):
    await harness.set_upstream_faults(upstream, cut='before-answer')
    flow = await harness.open_flow(kind)
    await harness.send(flow, kind, f'/{kind}')


def knows_second(report):
    names = {member.name for member in report.members}
    return f'agent-{SECOND}' in names
