"""Test which agents a route with home regions uses."""

import pytest

from bluebellfold.relay.agents import (
    DECLINED_FULL,
    SUBSET_SIZE,
    AgentEntry,
    Declined,
    Offer,
    Subscribe,
)
from bluebellfold.relay.callers.home_regions import HomeRegions
from bluebellfold.relay.tests.harness import (
    COUNTER,
    Balancer,
    fleet_of,
    position_of,
    report_of,
    route_to,
    single,
    table_of,
)
from bluebellfold.standins.packets import SERVICE, client_packet, opening_packet

REGIONS = {'a': 'north', 'b': 'north', 'c': 'south'}
HOME = frozenset(('south',))
HOME_ROUTES = table_of(route_to(allowed_regions=HOME))
FREE_SERVICE = (SERVICE[0], 80)
OPEN = 32


def entry_of(number, zone='', service=COUNTER):
    return AgentEntry(
        address=(f'10.0.0.{number}', 8172), service=service, zone=zone
    )


NORTH = entry_of(1, 'a')
SOUTH = entry_of(2, 'c')
OTHER_SERVICE = entry_of(3, 'c', 'other')
UNNAMED = entry_of(4, '', '')


def balancer_of(*entries, routes=HOME_ROUTES, **loads):
    """Return a balancer whose agents have reported."""
    balancer = Balancer(agents=entries, routes=routes, regions=REGIONS)
    for entry in entries:
        report(balancer, entry, zone=entry.zone, **loads)
    balancer.transport.sent.clear()
    return balancer


def report(balancer, entry, *, zone, **loads):
    load = {'service': entry.service or COUNTER, 'zone': zone, **loads}
    balancer.receive_message(entry.address, report_of(**load))


def offered_to(balancer):
    return [address for address, _ in balancer.transport.pop_messages(Offer)]


def free_packet(port):
    return client_packet(
        source=('100.64.2.1', port), destination=FREE_SERVICE, flags=OPEN
    )


def test_flow_stays_in_its_region_though_others_are_idle():
    balancer = balancer_of(NORTH, SOUTH, in_flight=3)
    report(balancer, NORTH, zone='a', sequence=2, in_flight=0)
    balancer.receive_packet(opening_packet())
    assert offered_to(balancer) == [SOUTH.address]


def test_flow_waits_for_its_region_though_others_are_idle():
    balancer = balancer_of(NORTH, SOUTH)
    report(balancer, SOUTH, zone='c', sequence=2, in_flight=9)
    balancer.receive_packet(opening_packet())
    assert not offered_to(balancer)
    assert not balancer.transport.resets
    report(balancer, SOUTH, zone='c', sequence=3)
    assert offered_to(balancer) == [SOUTH.address]


def test_declined_flow_stays_in_its_region():
    balancer = balancer_of(NORTH, SOUTH)
    balancer.receive_packet(opening_packet())
    balancer.transport.sent.clear()
    balancer.receive_message(
        SOUTH.address,
        Declined(packet=opening_packet(), reason=DECLINED_FULL),
    )
    balancer.advance(0.04)
    assert set(offered_to(balancer)) <= {SOUTH.address}


def test_flow_without_an_upstream_in_its_region_is_refused_at_once():
    balancer = balancer_of(NORTH, OTHER_SERVICE)
    balancer.receive_packet(opening_packet())
    assert single(balancer.transport.resets).flow == opening_packet().flow
    assert not offered_to(balancer)


def test_check_for_an_upstream_in_a_region_examines_no_single_agents(
    monkeypatch,
):
    # It took 150 us for each new flow with 28,000 agents, and as long for each
    # queued flow after a change of the list.
    examined = []
    allows = HomeRegions.allows
    monkeypatch.setattr(
        HomeRegions,
        'allows',
        lambda regions, view, allowed: (
            examined.append(view) or allows(regions, view, allowed)
        ),
    )
    fleet = [entry_of(number, 'a') for number in range(10, 110)]
    balancer = Balancer(agents=fleet, routes=HOME_ROUTES, regions=REGIONS)
    examined.clear()
    balancer.receive_packet(opening_packet())
    assert len(balancer.transport.resets) == 1
    assert not examined


def test_flow_waits_until_the_first_list_of_agents():
    balancer = Balancer(agents=None, routes=HOME_ROUTES, regions=REGIONS)
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.resets
    balancer.list_agents([NORTH])
    balancer.advance(0.1)
    assert len(balancer.transport.resets) == 1


def test_flow_waits_for_a_listed_upstream_that_is_down():
    balancer = Balancer(
        agents=[NORTH, SOUTH], routes=HOME_ROUTES, regions=REGIONS
    )
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.resets


def test_zone_without_a_region_serves_no_such_route():
    balancer = balancer_of(entry_of(5, 'd'))
    balancer.receive_packet(opening_packet())
    assert len(balancer.transport.resets) == 1


def test_region_follows_from_the_reported_zone_if_the_entry_names_none():
    balancer = Balancer(agents=[UNNAMED], routes=HOME_ROUTES, regions=REGIONS)
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.resets, 'its zone is not known yet'
    report(balancer, UNNAMED, zone='c')
    assert offered_to(balancer) == [UNNAMED.address]


def test_retransmission_leaves_an_agent_that_a_new_route_forbids():
    balancer = balancer_of(NORTH, routes=table_of(route_to()))
    balancer.receive_packet(opening_packet())
    assert offered_to(balancer) == [NORTH.address]
    balancer.list_agents([NORTH, SOUTH])
    balancer.relay.update_routes(
        table_of(route_to(allowed_regions=HOME), version=2), now=balancer.now
    )
    report(balancer, SOUTH, zone='c')
    balancer.receive_packet(opening_packet(attempt=1))
    assert offered_to(balancer) == [SOUTH.address]


def test_queued_flow_of_a_full_region_does_not_block_other_routes():
    # The restricted flows come first: their route is more urgent.
    routes = table_of(
        route_to(allowed_regions=HOME, priority=0),
        route_to(address=FREE_SERVICE, priority=2),
    )
    balancer = balancer_of(NORTH, SOUTH, routes=routes, in_flight=9)
    for port in range(1, 4):
        balancer.receive_packet(opening_packet(client=('100.64.2.2', port)))
        balancer.receive_packet(free_packet(port))
    assert not offered_to(balancer)
    report(balancer, NORTH, zone='a', sequence=2)
    offered = offered_to(balancer)
    assert len(offered) == 3
    assert set(offered) == {NORTH.address}


def test_route_without_home_regions_uses_every_agent():
    balancer = balancer_of(NORTH, entry_of(5, 'd'), routes=table_of(route_to()))
    for port in range(4):
        balancer.receive_packet(opening_packet(client=('100.64.2.3', port + 1)))
    assert len(set(offered_to(balancer))) == 2


def test_balancer_follows_agents_in_a_region_of_few():
    # The subset of 100 agents in 20 other zones has none of the two at home.
    fleet = [entry_of(number, f'z{number % 20}') for number in range(10, 110)]
    at_home = [entry_of(number, 'c') for number in (120, 121)]
    balancer = Balancer(
        agents=[*fleet, *at_home], routes=HOME_ROUTES, regions=REGIONS
    )
    followed = {
        address
        for address, message in balancer.transport.sent
        if isinstance(message, Subscribe) and not message.once
    }
    assert {entry.address for entry in at_home} <= followed
    assert len(followed) <= 2 * SUBSET_SIZE


def test_busy_region_is_sampled_apart_from_others():
    at_home = [entry_of(number, 'c') for number in range(10, 30)]
    fleet = [entry_of(number, 'a') for number in range(30, 130)]
    balancer = balancer_of(*fleet, *at_home, in_flight=9)
    balancer.receive_packet(opening_packet())
    sampled = {
        address
        for address, message in balancer.transport.pop_messages(Subscribe)
        if message.once
    }
    assert sampled
    assert sampled <= {entry.address for entry in at_home}


# Guards against a balancer that follows no agent to which it may send flows of
# a route: its subset of the home region was selected among all zones there, and
# those of the subset were evacuated.
@pytest.mark.parametrize('number', range(8))
def test_subset_of_a_region_has_agents_outside_of_evacuated_zones(number):
    north = [f'n{index}' for index in range(9)]
    south = [f's{index}' for index in range(9)]
    regions = dict.fromkeys(north, 'north') | dict.fromkeys(south, 'south')
    fleet = fleet_of(198, zones=(*north, *south))
    balancer = Balancer(
        agents=fleet,
        routes=HOME_ROUTES,
        regions=regions,
        identity=f'10.1.0.{number}:7720',
        zone='n0',
    )
    balancer.relay.update_evacuations(
        frozenset(south[1:]), balancer.now, position=position_of(5)
    )
    balancer.transport.sent.clear()
    balancer.advance(0.05)
    usable = {entry.address for entry in fleet if entry.zone == south[0]}
    asked = balancer.transport.pop_messages(Subscribe)
    followed = {address for address, message in asked if not message.once}
    assert len(followed & usable) >= SUBSET_SIZE
