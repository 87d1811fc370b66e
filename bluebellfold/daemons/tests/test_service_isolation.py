"""Test that no packet reaches another service during failures."""

import socket

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.daemons.tests.request_helpers import (
    knows_member,
    one_run_each,
    run_counts,
    send_while_resuming,
)
from bluebellfold.daemons.tests.site_harness import (
    BALANCERS,
    open_site_harness,
    start_site,
)
from bluebellfold.standins.fleet_harness import send_on_flow

FEATURES = 'bluebellfold/daemons/tests/features'
RUNNING = ('balancer-1', 'balancer-2')
CONNECTION_ID_BYTE = 5
LONG_HEADER_BIT = 0x80

scenarios(f'{FEATURES}/service_isolation.feature')


@pytest.fixture
def harness(tmp_path):
    with open_site_harness(tmp_path) as opened:
        yield opened


@given('a site where counter has served an order on an open flow')
def serve_order(harness):
    async def send_order():
        await start_site(harness, counter=1, makeroom=1)
        flow = harness.fleet_harness.flow('order')
        harness.context.update(flow=flow, packets=record_packets(flow))
        await flow.connect()
        return await send_on_flow(flow, 'order', 'first')

    assert harness.run(send_order()).status == 200


@given('a site with a feed open at one upstream')
def open_feed_at_upstream(harness):
    async def open_feed():
        await start_site(harness, counter=2)
        flow = harness.fleet_harness.flow('feed')
        await flow.connect()
        line = await anext(flow.lines('/feed'))
        harness.context.update(flow=flow, taken=line.split()[0])

    harness.run(open_feed())


@given('balancer-3 is paused')
def pause_balancer(harness):
    harness.fleet_harness.pause('balancer-3')


@when("the flow's packets are replayed, forged and sent to other addresses")
def send_altered_packets(harness):
    packets = [
        packet
        for packet in harness.context['packets']
        if not packet[0] & LONG_HEADER_BIT
    ]
    harness.context['packets'] = packets
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in packets:
            send_packet(harness, sender, 'order', packet)
            send_packet(harness, sender, 'batch', packet)
            send_packet(harness, sender, 'order', forge(packet))


@when("an upstream of makeroom takes over that upstream's address")
def take_over(harness):
    async def replace():
        taken = harness.context['taken']
        await harness.fleet_harness.kill(f'agent-{taken}')
        await harness.fleet_harness.kill(taken)
        host = harness.fleet.child(taken).host
        await harness.fleet.start_upstream('makeroom', 'makeroom-9', host=host)
        agent = await harness.fleet.start_agent(
            'makeroom',
            'makeroom-9',
            zone='wa-south-a',
        )
        await harness.fleet_harness.wait_for(knows_member(agent.name), *RUNNING)

    harness.run(replace())


@then('the other balancers remove the former agent')
def check_former_removed(harness):
    knows_former = knows_member(f'agent-{harness.context["taken"]}')
    harness.run(
        harness.fleet_harness.wait_for(
            lambda report: not knows_former(report), *RUNNING
        )
    )


@when("the feed's client continues to send")
def send_on_feed(harness):
    async def send_until_dropped():
        flow = harness.context['flow']
        flow.start('GET', '/feed', fields=(('request-id', 'stray'),))
        await harness.fleet_harness.wait_for(
            has_dropped('wrong-service', 1), 'agent-makeroom-9'
        )

    harness.run(send_until_dropped())


@when('orders arrive at balancer-3 as it resumes')
def send_orders(harness):
    assert set(send_while_resuming(harness, 'order', 'balancer-3')) == {200}


@then('the balancers drop the forged and the misdirected packets')
def check_dropped(harness):
    count = len(harness.context['packets'])
    for reason in ('forged-token', 'wrong-address'):
        harness.run(
            harness.fleet_harness.wait_for(
                has_dropped(reason, count), *BALANCERS
            )
        )


@then('the order ran once and nothing else ran')
def check_ran_once(harness):
    assert run_counts(harness, 'counter-1') == {'first': 1}
    assert not run_counts(harness, 'makeroom-1')


@then('the flow is still served')
def check_flow(harness):
    response = harness.run(
        send_on_flow(harness.context['flow'], 'order', 'second')
    )
    assert response.status == 200


@then('every order ran once at counter')
def check_all_ran_once(harness):
    remaining = {'counter-1', 'counter-2'} - {harness.context['taken']}
    assert run_counts(harness, remaining.pop()) == one_run_each('order')


@then('makeroom ran nothing')
def check_makeroom_idle(harness):
    assert not run_counts(harness, 'makeroom-9')


def record_packets(flow):
    packets = []
    forward = flow.fabric.send

    def record(datagram):
        packets.append(datagram)
        forward(datagram)

    flow.fabric.send = record
    return packets


def send_packet(harness, sender, kind, packet):
    for endpoint in harness.fleet.addresses(kind):
        sender.sendto(packet, (endpoint.host, endpoint.port))


def forge(packet):
    forged = bytearray(packet)
    forged[CONNECTION_ID_BYTE] ^= 1
    return bytes(forged)


def has_dropped(reason, count):
    return lambda report: any(
        drop.name == reason and drop.times >= count for drop in report.drops
    )
