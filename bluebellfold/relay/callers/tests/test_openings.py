"""Test where a balancer places new flows, and how they wait."""

from bluebellfold.core import NO_ROUTES
from bluebellfold.relay.agents import (
    DECLINED_FULL,
    DOWN,
    DRAINING,
    Declined,
    Offer,
)
from bluebellfold.relay.callers.openings import NO_IN_FLIGHT_LIMIT
from bluebellfold.relay.callers.tests.scene import (
    DATA,
    FIRST,
    SECOND,
    THIRD,
    balancer_with,
)
from bluebellfold.relay.tests.scene import (
    only,
    report_of,
    route_to,
    table_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    client_packet,
    opening_packet,
)

# What a client sends first on a flow that has opened.
NEXT = client_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'first')


def test_new_flow_goes_to_the_agent_with_the_least_work():
    balancer = balancer_with(report_of(busy=3), report_of(busy=1))
    balancer.receive(opening_packet())
    address, offer = only(balancer.outlet.take(Offer))
    assert address == SECOND
    assert offer.service == 'counter'


def test_offers_under_way_count_as_load():
    # A burst between two reports must not all go to one agent.
    balancer = balancer_with(report_of(busy=0), report_of(busy=1))
    for port in range(6):
        balancer.receive(opening_packet(client=('100.64.0.9', 1000 + port)))
    offered = [address for address, _ in balancer.outlet.take(Offer)]
    assert 3 <= offered.count(FIRST) <= 4


def test_copy_of_an_opening_packet_goes_to_the_same_agent():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(opening_packet())
    balancer.receive(opening_packet(attempt=1))
    offered = {address for address, _ in balancer.outlet.take(Offer)}
    assert len(offered) == 1


def test_last_copy_goes_to_another_agent():
    # Two copies without an answer: the agent or its upstream is in trouble.
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(opening_packet())
    balancer.receive(opening_packet(attempt=2))
    offered = {address for address, _ in balancer.outlet.take(Offer)}
    assert offered == {FIRST, SECOND}


def test_port_used_again_is_placed_as_a_new_flow():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    balancer.hear(FIRST, report_of(busy=6, sequence=2))
    balancer.outlet.told.clear()
    balancer.receive(client_packet(flags=OPEN, sequence=77))
    address, _ = only(balancer.outlet.take(Offer))
    assert address == SECOND


def test_draining_and_down_agents_get_no_new_flow():
    balancer = balancer_with(
        report_of(state=DRAINING), report_of(state=DOWN), report_of(busy=5)
    )
    balancer.receive(opening_packet())
    assert [address for address, _ in balancer.outlet.take(Offer)] == [THIRD]


def test_silent_agent_gets_no_new_flow():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.wait(0.5)
    balancer.hear(SECOND, report_of(busy=5, sequence=2))
    balancer.wait(0.3)
    balancer.outlet.told.clear()
    balancer.receive(opening_packet())
    assert [address for address, _ in balancer.outlet.take(Offer)] == [SECOND]


def test_agent_of_another_service_gets_no_flow():
    # An address that another service took over reports that service.
    balancer = balancer_with(report_of(service='makeroom'), report_of(busy=5))
    balancer.receive(opening_packet())
    assert [address for address, _ in balancer.outlet.take(Offer)] == [SECOND]


def test_declined_flow_is_offered_to_the_next():
    balancer = balancer_with(report_of(), report_of(busy=1))
    packet = opening_packet()
    balancer.receive(packet)
    balancer.outlet.told.clear()
    balancer.hear(FIRST, Declined(packet=packet, reason=DECLINED_FULL))
    assert [address for address, _ in balancer.outlet.take(Offer)] == [SECOND]


def test_flow_waits_while_all_are_full_and_goes_where_room_comes_first():
    balancer = balancer_with(report_of(busy=8), report_of(busy=8))
    balancer.receive(opening_packet())
    assert not balancer.outlet.take(Offer)
    balancer.hear(SECOND, report_of(busy=2, sequence=2))
    assert [address for address, _ in balancer.outlet.take(Offer)] == [SECOND]
    assert not balancer.outlet.resets


def test_waiting_flow_of_the_most_urgent_route_is_placed_first():
    slow, urgent = ('198.18.0.1', 80), ('198.18.0.1', 81)
    routes = table_of(
        route_to(address=slow, priority=2), route_to(address=urgent, priority=0)
    )
    balancer = balancer_with(report_of(busy=8), routes=routes)
    for port, address in enumerate((slow, urgent)):
        balancer.receive(
            client_packet(
                source=('100.64.0.9', 1000 + port),
                destination=address,
                flags=32,
            )
        )
    balancer.hear(FIRST, report_of(busy=5, sequence=2))
    _, offer = only(balancer.outlet.take(Offer))
    assert offer.packet.flow.startswith((81).to_bytes(2))


def test_newest_waiting_flow_is_placed_first():
    # While more comes than upstreams can do, the oldest first would have all
    # wait until their clients are about to give up.
    balancer = balancer_with(report_of(busy=8))
    clients = [('100.64.0.9', 1000 + number) for number in range(3)]
    for client in clients:
        balancer.receive(opening_packet(client=client))
        balancer.wait(0.05)
    balancer.hear(FIRST, report_of(busy=5, sequence=2))
    _, offer = only(balancer.outlet.take(Offer))
    assert offer.packet.flow == opening_packet(client=clients[-1]).flow


def test_waiting_flow_is_dropped_when_its_client_sends_no_copy():
    balancer = balancer_with(report_of(busy=8))
    balancer.receive(opening_packet())
    balancer.wait(0.4)
    balancer.hear(FIRST, report_of(busy=0, sequence=2))
    assert not balancer.outlet.take(Offer)
    assert not balancer.outlet.resets


def test_waiting_flow_keeps_its_turn_when_its_client_sends_copies():
    balancer = balancer_with(report_of(busy=8))
    balancer.receive(opening_packet())
    for attempt, seconds in ((1, 0.2), (2, 0.4)):
        balancer.wait(seconds)
        balancer.receive(opening_packet(attempt=attempt))
    balancer.wait(0.5)
    balancer.hear(FIRST, report_of(busy=0, sequence=2))
    assert len(balancer.outlet.take(Offer)) == 1


def test_copy_that_comes_first_tells_how_long_its_client_has_waited():
    # The balancer that took the first packets has left the rotation.
    balancer = balancer_with(report_of(busy=8))
    balancer.receive(opening_packet(attempt=2))
    balancer.wait(0.6)
    assert not balancer.outlet.resets
    balancer.wait(0.15)
    assert len(balancer.outlet.resets) == 1


def test_flow_that_a_full_agent_declined_may_go_there_again():
    balancer = balancer_with(report_of())
    packet = opening_packet()
    balancer.receive(packet)
    balancer.hear(FIRST, Declined(packet=packet, reason=DECLINED_FULL))
    balancer.outlet.told.clear()
    balancer.wait(0.05)
    assert [address for address, _ in balancer.outlet.take(Offer)] == [FIRST]


def test_first_offers_go_only_to_agents_as_free_as_believed():
    # Many balancers act on one report and would all fill the same agent.
    balancer = balancer_with(report_of(busy=1), report_of(busy=4))
    packet = opening_packet()
    balancer.receive(packet)
    _, first = only(balancer.outlet.take(Offer))
    assert first.most_busy == 4
    balancer.hear(FIRST, report_of(busy=5, sequence=2, offers_seen=1))
    balancer.hear(FIRST, Declined(packet=packet, reason=DECLINED_FULL))
    address, second = only(balancer.outlet.take(Offer))
    assert (address, second.most_busy) == (SECOND, 7)


def test_flow_that_was_declined_twice_is_left_to_the_agent():
    balancer = balancer_with(report_of(busy=1))
    packet = opening_packet()
    balancer.receive(packet)
    for _ in range(2):
        balancer.hear(FIRST, Declined(packet=packet, reason=DECLINED_FULL))
        balancer.wait(0.05)
    _, last = balancer.outlet.take(Offer)[-1]
    assert last.most_busy == NO_IN_FLIGHT_LIMIT


def test_flow_that_waited_in_vain_is_refused_at_once():
    balancer = balancer_with(report_of(busy=8))
    balancer.receive(opening_packet())
    balancer.wait(0.6)
    balancer.receive(opening_packet(attempt=2))
    balancer.wait(0.6)
    assert not balancer.outlet.resets
    balancer.wait(0.15)
    assert len(balancer.outlet.resets) == 1


def test_flow_waits_for_the_first_configuration():
    # All machines return at once, and the store answers a little later.
    balancer = balancer_with(report_of(), routes=NO_ROUTES)
    balancer.receive(opening_packet())
    assert not balancer.outlet.resets
    balancer.relay.change_routes(table_of(route_to()), now=balancer.now)
    balancer.hear(FIRST, report_of(sequence=2))
    assert [address for address, _ in balancer.outlet.take(Offer)] == [FIRST]


def test_flow_without_a_route_is_refused_when_the_configuration_is_fresh():
    balancer = balancer_with(report_of(), routes=table_of())
    balancer.receive(opening_packet())
    assert len(balancer.outlet.resets) == 1


def test_flow_without_a_route_is_left_alone_while_the_store_is_away():
    # A newer configuration may have the route, and a reset would deny it.
    balancer = balancer_with(report_of(), routes=table_of(), fresh=False)
    balancer.receive(opening_packet())
    assert not balancer.outlet.resets
    assert not balancer.outlet.take(Offer)


def test_offer_to_an_agent_that_was_killed_goes_to_another():
    # Its last report is still fresh, and the client repeats its opening
    # packet only after 0.2 s.
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    assert [address for address, _ in balancer.outlet.take(Offer)] == [FIRST]
    balancer.wait(0.12)
    assert [address for address, _ in balancer.outlet.take(Offer)] == [SECOND]
    balancer.receive(opening_packet(client=('100.64.0.9', 1)))
    assert [address for address, _ in balancer.outlet.take(Offer)] == [SECOND]


def test_offer_is_left_where_the_agent_has_reported_since():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    balancer.clock.advance(0.01)
    balancer.hear(FIRST, report_of(sequence=2, offers_seen=1))
    balancer.outlet.told.clear()
    balancer.wait(0.12)
    assert not balancer.outlet.take(Offer)


def test_flow_whose_client_goes_on_is_not_offered_again():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    balancer.receive(DATA)
    balancer.outlet.told.clear()
    balancer.wait(0.12)
    assert not balancer.outlet.take(Offer)


def test_waiting_flow_whose_client_goes_on_is_neither_placed_nor_refused():
    # In a burst the answer of an upstream crosses the last copy of the
    # opening packet: the copy waited, and 1.3 s later the open flow was reset.
    balancer = balancer_with(report_of(), report_of(busy=6))
    balancer.receive(opening_packet())
    balancer.receive(opening_packet(attempt=2))
    balancer.receive(NEXT)
    balancer.outlet.told.clear()
    balancer.hear(SECOND, report_of(sequence=2))
    assert not balancer.outlet.take(Offer)
    balancer.wait(2)
    assert not balancer.outlet.resets


def test_late_decline_of_a_flow_whose_client_goes_on_is_no_news():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    balancer.receive(opening_packet(attempt=2))
    balancer.receive(NEXT)
    balancer.outlet.told.clear()
    declined = Declined(packet=opening_packet(), reason=DECLINED_FULL)
    balancer.hear(SECOND, declined)
    balancer.wait(2)
    assert not balancer.outlet.take(Offer)
    assert not balancer.outlet.resets


def test_late_copy_of_an_opening_packet_is_not_placed():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    balancer.receive(NEXT)
    balancer.outlet.told.clear()
    balancer.receive(opening_packet(attempt=2))
    assert not balancer.outlet.take(Offer)


def test_late_packet_of_an_earlier_flow_ends_no_wait():
    balancer = balancer_with(report_of(busy=6))
    balancer.receive(opening_packet())
    earlier = client_packet(flags=ACKNOWLEDGE, sequence=3_000_000_000)
    balancer.receive(earlier)
    balancer.outlet.told.clear()
    balancer.hear(FIRST, report_of(sequence=2))
    assert balancer.outlet.take(Offer)


def test_upstream_that_warms_up_holds_fewer_requests():
    # Three requests a slot would be answered after the target latency.
    balancer = balancer_with(report_of(busy=4, warming=True))
    balancer.receive(opening_packet())
    assert not balancer.outlet.take(Offer)
    balancer.hear(FIRST, report_of(busy=4, sequence=2))
    assert len(balancer.outlet.take(Offer)) == 1
