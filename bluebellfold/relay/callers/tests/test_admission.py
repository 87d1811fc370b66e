"""Test how a balancer assigns and queues new flows."""

import pytest

from bluebellfold.core import NO_ROUTES
from bluebellfold.relay.agents import (
    DECLINED_DRAINING,
    DECLINED_FULL,
    DECLINED_UNANSWERED,
    DOWN,
    DRAINING,
    NO_FLOW_LIMIT,
    Declined,
    FlowFound,
    ForwardedPacket,
    Offer,
    Warmup,
)
from bluebellfold.relay.callers import flow_queue
from bluebellfold.relay.callers.admission import NO_IN_FLIGHT_LIMIT
from bluebellfold.relay.callers.service_queue import ServiceQueue
from bluebellfold.relay.callers.tests.harness import (
    DATA,
    FIRST,
    SECOND,
    THIRD,
    balancer_with,
)
from bluebellfold.relay.tests.harness import (
    Balancer,
    fleet_of,
    report_of,
    route_to,
    single,
    table_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    client_packet,
    opening_packet,
)

WARMUP = Warmup(flows_left=NO_FLOW_LIMIT)
# The client's first packet after the upstream's reply.
FIRST_DATA = client_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'first')


def test_new_flow_goes_to_the_agent_with_the_least_work():
    balancer = balancer_with(report_of(in_flight=3), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    address, offer = single(balancer.transport.pop_messages(Offer))
    assert address == SECOND
    assert offer.service == 'counter'


def test_pending_offers_count_as_load():
    # Not all flows of a burst between two load reports go to one agent.
    balancer = balancer_with(report_of(in_flight=0), report_of(in_flight=1))
    for port in range(6):
        balancer.receive_packet(
            opening_packet(client=('100.64.0.9', 1000 + port))
        )
    offered = [address for address, _ in balancer.transport.pop_messages(Offer)]
    assert 3 <= offered.count(FIRST) <= 4


def test_first_retransmission_goes_to_the_same_agent():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(opening_packet(attempt=1))
    offered = {address for address, _ in balancer.transport.pop_messages(Offer)}
    assert len(offered) == 1


def test_last_retransmission_goes_to_another_agent():
    # Two opening packets without a reply: the agent or its upstream has failed.
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(opening_packet(attempt=2))
    offered = {address for address, _ in balancer.transport.pop_messages(Offer)}
    assert offered == {FIRST, SECOND}


def test_reused_client_port_is_assigned_as_a_new_flow():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_message(FIRST, report_of(in_flight=6, sequence=2))
    balancer.transport.sent.clear()
    balancer.receive_packet(client_packet(flags=OPEN, sequence=77))
    address, _ = single(balancer.transport.pop_messages(Offer))
    assert address == SECOND


def test_draining_and_down_agents_get_no_new_flow():
    balancer = balancer_with(
        report_of(state=DRAINING), report_of(state=DOWN), report_of(in_flight=5)
    )
    balancer.receive_packet(opening_packet())
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [THIRD]


def test_unreachable_agent_gets_no_new_flow():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.advance(0.5)
    balancer.receive_message(SECOND, report_of(in_flight=5, sequence=2))
    balancer.advance(0.3)
    balancer.transport.sent.clear()
    balancer.receive_packet(opening_packet())
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]


def test_agent_of_another_service_gets_no_flow():
    # An address that another service has taken over reports that service.
    balancer = balancer_with(
        report_of(service='makeroom'), report_of(in_flight=5)
    )
    balancer.receive_packet(opening_packet())
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]


def test_retransmission_leaves_an_agent_of_another_service():
    # The address was taken over between both packets. The agent would accept
    # the offer, since offers name the service that it reports.
    balancer = balancer_with(report_of(), report_of(in_flight=5))
    balancer.receive_packet(opening_packet())
    balancer.receive_message(
        FIRST, report_of(service='makeroom', incarnation=2)
    )
    balancer.transport.sent.clear()
    balancer.receive_packet(opening_packet(attempt=1))
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]


def test_declined_flow_is_offered_to_another_agent():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    packet = opening_packet()
    balancer.receive_packet(packet)
    balancer.transport.sent.clear()
    balancer.receive_message(
        FIRST, Declined(packet=packet, reason=DECLINED_FULL)
    )
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]


def test_flow_is_queued_until_an_agent_has_capacity():
    balancer = balancer_with(report_of(in_flight=8), report_of(in_flight=8))
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.pop_messages(Offer)
    balancer.receive_message(SECOND, report_of(in_flight=2, sequence=2))
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]
    assert not balancer.transport.resets


# Guards against a wrong subset that logs can't tell from a short list.
def test_log_of_a_queued_flow_tells_how_many_agents_are_listed(caplog):
    caplog.set_level('INFO')
    balancer = Balancer(agents=fleet_of(12))
    balancer.receive_packet(opening_packet())
    queued = single(
        [
            record
            for record in caplog.records
            if getattr(record, 'event', '') == 'BBF0702'
        ]
    )
    assert (queued.reason, queued.service) == ('no-agent', 'counter')
    assert queued.listed == 12


def test_queued_flow_of_the_highest_priority_is_assigned_first():
    low, high = ('198.18.0.1', 80), ('198.18.0.1', 81)
    routes = table_of(
        route_to(address=low, priority=2), route_to(address=high, priority=0)
    )
    balancer = balancer_with(report_of(in_flight=8), routes=routes)
    for port, address in enumerate((low, high)):
        balancer.receive_packet(
            client_packet(
                source=('100.64.0.9', 1000 + port),
                destination=address,
                flags=32,
            )
        )
    balancer.receive_message(FIRST, report_of(in_flight=5, sequence=2))
    _, offer = single(balancer.transport.pop_messages(Offer))
    assert offer.packet.flow.startswith((81).to_bytes(2))


def test_newest_queued_flow_is_assigned_first():
    # Under overload, the oldest first would delay every flow until its client
    # is about to give up.
    balancer = balancer_with(report_of(in_flight=8))
    clients = [('100.64.0.9', 1000 + number) for number in range(3)]
    for client in clients:
        balancer.receive_packet(opening_packet(client=client))
        balancer.advance(0.05)
    balancer.receive_message(FIRST, report_of(in_flight=5, sequence=2))
    _, offer = single(balancer.transport.pop_messages(Offer))
    assert offer.packet.flow == opening_packet(client=clients[-1]).flow


def test_queued_flow_is_dropped_when_its_client_stops_retransmitting():
    balancer = balancer_with(report_of(in_flight=8))
    balancer.receive_packet(opening_packet())
    balancer.advance(0.4)
    balancer.receive_message(FIRST, report_of(in_flight=0, sequence=2))
    assert not balancer.transport.pop_messages(Offer)
    assert not balancer.transport.resets


def test_flow_whose_retransmission_is_due_is_not_assigned():
    # Two balancers queued the flow. The first one assigned it after the next
    # packet of the client had gone to the second one, which knew nothing of
    # that and reset the open flow at its deadline.
    balancer = balancer_with(report_of(in_flight=6))
    balancer.receive_packet(opening_packet())
    balancer.advance(0.2)
    balancer.receive_message(FIRST, report_of(sequence=2))
    assert not balancer.transport.pop_messages(Offer)
    # It came to this balancer, only late.
    balancer.receive_packet(opening_packet(attempt=1))
    assert balancer.transport.pop_messages(Offer)


def test_abandoned_flow_is_not_reset_after_a_pause():
    # A balancer that was suspended past the deadline of a queued flow reset it.
    # Its client's next packet had gone to another balancer, which assigned it.
    balancer = balancer_with(report_of(in_flight=8))
    balancer.receive_packet(opening_packet(attempt=1))
    balancer.clock.advance(4)
    balancer.relay.tick(balancer.now)
    assert not balancer.transport.resets
    assert not balancer.relay._admission.queued_flows


def test_queued_flow_is_kept_while_its_client_retransmits():
    balancer = balancer_with(report_of(in_flight=8))
    balancer.receive_packet(opening_packet())
    for attempt, seconds in ((1, 0.2), (2, 0.4)):
        balancer.advance(seconds)
        balancer.receive_packet(opening_packet(attempt=attempt))
    balancer.advance(0.5)
    balancer.receive_message(FIRST, report_of(in_flight=0, sequence=2))
    assert len(balancer.transport.pop_messages(Offer)) == 1


def test_time_in_queue_counts_from_the_first_opening_packet():
    # The balancer that received the earlier packets has left the rotation, so
    # the attempt number states how long the client has waited.
    balancer = balancer_with(report_of(in_flight=8))
    balancer.receive_packet(opening_packet(attempt=2))
    balancer.advance(0.6)
    assert not balancer.transport.resets
    balancer.advance(0.15)
    assert len(balancer.transport.resets) == 1


def test_flow_declined_by_a_full_agent_is_offered_to_it_again():
    balancer = balancer_with(report_of())
    packet = opening_packet()
    balancer.receive_packet(packet)
    balancer.receive_message(
        FIRST, Declined(packet=packet, reason=DECLINED_FULL)
    )
    balancer.transport.sent.clear()
    balancer.advance(0.05)
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [FIRST]


def test_first_offers_limit_the_in_flight_requests_of_the_agent():
    # Many balancers act on one load report and would all choose the same agent.
    balancer = balancer_with(report_of(in_flight=1), report_of(in_flight=4))
    packet = opening_packet()
    balancer.receive_packet(packet)
    _, first = single(balancer.transport.pop_messages(Offer))
    assert first.max_in_flight == 4
    balancer.receive_message(
        FIRST, report_of(in_flight=5, sequence=2, offers_seen=1)
    )
    balancer.receive_message(
        FIRST, Declined(packet=packet, reason=DECLINED_FULL)
    )
    address, second = single(balancer.transport.pop_messages(Offer))
    assert (address, second.max_in_flight) == (SECOND, 7)


def test_offer_after_two_declines_has_no_in_flight_limit():
    balancer = balancer_with(report_of(in_flight=1))
    packet = opening_packet()
    balancer.receive_packet(packet)
    for _ in range(2):
        balancer.receive_message(
            FIRST, Declined(packet=packet, reason=DECLINED_FULL)
        )
        balancer.advance(0.05)
    _, last = balancer.transport.pop_messages(Offer)[-1]
    assert last.max_in_flight == NO_IN_FLIGHT_LIMIT


def test_queued_flow_is_refused_after_the_queue_timeout():
    balancer = balancer_with(report_of(in_flight=8))
    balancer.receive_packet(opening_packet())
    balancer.advance(0.6)
    balancer.receive_packet(opening_packet(attempt=2))
    balancer.advance(0.6)
    assert not balancer.transport.resets
    balancer.advance(0.15)
    assert len(balancer.transport.resets) == 1


def test_flow_is_queued_until_the_first_configuration():
    # All machines return at once, and the store is reachable a little later.
    balancer = balancer_with(report_of(), routes=NO_ROUTES)
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.resets
    balancer.relay.update_routes(table_of(route_to()), now=balancer.now)
    balancer.receive_message(FIRST, report_of(sequence=2))
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [FIRST]


def test_flow_without_a_route_is_refused_when_the_configuration_is_fresh():
    balancer = balancer_with(report_of(), routes=table_of())
    balancer.receive_packet(opening_packet())
    assert len(balancer.transport.resets) == 1


def test_flow_without_a_route_is_not_reset_while_the_store_is_unreachable():
    # A newer configuration may have the route; a reset would end the attempt.
    balancer = balancer_with(report_of(), routes=table_of(), fresh=False)
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.resets
    assert not balancer.transport.pop_messages(Offer)


def test_flow_offered_to_a_killed_agent_is_offered_to_another():
    # The last report of the agent is still fresh, and the client retransmits
    # its opening packet only after 0.2 s.
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [FIRST]
    balancer.advance(0.12)
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]
    balancer.receive_packet(opening_packet(client=('100.64.0.9', 1)))
    assert [
        address for address, _ in balancer.transport.pop_messages(Offer)
    ] == [SECOND]


def test_offer_is_kept_if_the_agent_has_reported_since():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.clock.advance(0.01)
    balancer.receive_message(FIRST, report_of(sequence=2, offers_seen=1))
    balancer.transport.sent.clear()
    balancer.advance(0.12)
    assert not balancer.transport.pop_messages(Offer)


def test_established_flow_is_not_offered_again():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(DATA)
    balancer.transport.sent.clear()
    balancer.advance(0.12)
    assert not balancer.transport.pop_messages(Offer)


def test_queued_retransmission_of_an_established_flow_is_dropped():
    # The last retransmission of the opening packet may be sent before the
    # upstream's reply arrives, as in a burst. It was queued, and the queue
    # timeout of 1.3 s reset the established flow.
    balancer = balancer_with(report_of(), report_of(in_flight=6))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(opening_packet(attempt=2))
    balancer.receive_packet(FIRST_DATA)
    balancer.transport.sent.clear()
    balancer.receive_message(SECOND, report_of(sequence=2))
    assert not balancer.transport.pop_messages(Offer)
    balancer.advance(2)
    assert not balancer.transport.resets


def test_late_decline_of_an_established_flow_is_ignored():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(opening_packet(attempt=2))
    balancer.receive_packet(FIRST_DATA)
    balancer.transport.sent.clear()
    declined = Declined(packet=opening_packet(), reason=DECLINED_FULL)
    balancer.receive_message(SECOND, declined)
    balancer.advance(2)
    assert not balancer.transport.pop_messages(Offer)
    assert not balancer.transport.resets


def test_late_decline_keeps_the_flow_at_the_agent_that_was_offered_it_since():
    # The first agent's report was lost, so the flow went to a second one. The
    # first one's decline moved it to a third one, which got the packets of a
    # flow that the second one's upstream had opened.
    balancer = balancer_with(
        report_of(), report_of(in_flight=1), report_of(in_flight=2)
    )
    balancer.receive_packet(opening_packet())
    balancer.advance(0.12)
    offered = [address for address, _ in balancer.transport.pop_messages(Offer)]
    assert offered == [FIRST, SECOND]
    balancer.receive_message(
        FIRST, Declined(packet=opening_packet(), reason=DECLINED_UNANSWERED)
    )
    assert not balancer.transport.pop_messages(Offer)
    balancer.receive_packet(FIRST_DATA)
    address, _ = single(balancer.transport.pop_messages(ForwardedPacket))
    assert address == SECOND


def offers_after_late_decline(balancer):
    """Return the offers after an agent declines the first opening packet."""
    balancer.list_agents((FIRST, SECOND))
    balancer.receive_message(SECOND, report_of(sequence=9))
    balancer.transport.sent.clear()
    balancer.receive_message(
        FIRST, Declined(packet=opening_packet(), reason=DECLINED_FULL)
    )
    balancer.advance(0.05)
    return balancer.transport.pop_messages(Offer)


# Guards against an opening packet that is offered again although its client has
# been told that the flow hasn't run, or has left.
def test_late_decline_of_a_flow_that_was_dropped_is_ignored():
    balancer = balancer_with(report_of())
    balancer.receive_packet(opening_packet())
    balancer.advance(0.5)
    assert not balancer.relay.cached_flows
    assert not offers_after_late_decline(balancer)
    assert not balancer.relay.queued_flows


# Guards against a flow that loses its agent to an earlier one of the same port.
def test_late_decline_of_an_earlier_flow_leaves_the_new_one_at_its_agent():
    balancer = balancer_with(report_of())
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(client_packet(flags=OPEN, sequence=77_000))
    assert not offers_after_late_decline(balancer)
    balancer.receive_packet(client_packet(flags=ACKNOWLEDGE, sequence=77_001))
    address, _ = single(balancer.transport.pop_messages(ForwardedPacket))
    assert address == FIRST


# Guards against an open flow that is offered to another agent: the balancer has
# restarted, and the agent answers an offer from before.
def test_late_decline_of_a_flow_found_by_a_lookup_is_ignored():
    balancer = balancer_with(report_of())
    balancer.receive_packet(FIRST_DATA)
    balancer.receive_message(FIRST, FlowFound(flow=FIRST_DATA.flow))
    assert not offers_after_late_decline(balancer)
    balancer.receive_packet(FIRST_DATA)
    address, _ = single(balancer.transport.pop_messages(ForwardedPacket))
    assert address == FIRST


def test_late_decline_keeps_the_offer_since_under_watch():
    # The offer counted as answered by the decline of another agent, so that a
    # killed second agent kept the flow until its client retransmitted.
    balancer = balancer_with(
        report_of(), report_of(in_flight=1), report_of(in_flight=2)
    )
    balancer.receive_packet(opening_packet())
    balancer.advance(0.12)
    balancer.transport.sent.clear()
    balancer.receive_message(
        FIRST, Declined(packet=opening_packet(), reason=DECLINED_UNANSWERED)
    )
    balancer.advance(0.12)
    address, _ = single(balancer.transport.pop_messages(Offer))
    assert address == THIRD


def test_late_retransmission_of_an_established_flow_is_not_assigned():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(FIRST_DATA)
    balancer.transport.sent.clear()
    balancer.receive_packet(opening_packet(attempt=2))
    assert not balancer.transport.pop_messages(Offer)


def test_late_packet_of_an_earlier_flow_keeps_the_new_flow_queued():
    balancer = balancer_with(report_of(in_flight=6))
    balancer.receive_packet(opening_packet())
    earlier = client_packet(flags=ACKNOWLEDGE, sequence=3_000_000_000)
    balancer.receive_packet(earlier)
    balancer.transport.sent.clear()
    balancer.receive_message(FIRST, report_of(sequence=2))
    assert balancer.transport.pop_messages(Offer)


def test_upstream_that_warms_up_accepts_fewer_requests():
    # With three requests per slot, responses would exceed the target latency.
    balancer = balancer_with(report_of(in_flight=4, warmup=WARMUP))
    balancer.receive_packet(opening_packet())
    assert not balancer.transport.pop_messages(Offer)
    balancer.receive_message(FIRST, report_of(in_flight=4, sequence=2))
    assert len(balancer.transport.pop_messages(Offer)) == 1


def contended_balancer(*clients, **options):
    """Return a balancer whose service has been full for a while."""
    balancer = balancer_with(
        report_of(in_flight=8), report_of(in_flight=8), **options
    )
    for client in clients:
        balancer.receive_packet(opening_packet(client=client))
    for attempt, sequence in ((1, 2), (2, 3)):
        balancer.advance(0.2)
        balancer.receive_message(
            FIRST, report_of(in_flight=8, sequence=sequence)
        )
        for client in clients:
            balancer.receive_packet(
                opening_packet(client=client, attempt=attempt)
            )
    balancer.transport.sent.clear()
    return balancer


def test_clients_share_the_capacity_of_a_contended_service():
    # One client's newer flows would take the places of all others.
    waiting, heavy = ('100.64.0.1', 1), '100.64.0.2'
    balancer = contended_balancer(
        waiting, *[(heavy, 1000 + number) for number in range(8)]
    )
    balancer.receive_message(FIRST, report_of(in_flight=1, sequence=4))
    offered = [
        offer.packet.flow for _, offer in balancer.transport.pop_messages(Offer)
    ]
    assert len(offered) == 5
    assert opening_packet(client=waiting).flow in offered


def test_new_flow_takes_its_turn_when_the_service_is_contended():
    # It would get the capacity that the end of a backoff reveals, before the
    # urgent flows that wait already.
    low = ('198.18.0.1', 81)
    routes = table_of(route_to(priority=0), route_to(priority=2, address=low))
    waiting = ('100.64.0.1', 1)
    balancer = contended_balancer(waiting, routes=routes)
    view = balancer.relay._agent_table.find(FIRST)
    assert view
    view.back_off_until(balancer.now + 0.005)
    balancer.receive_message(FIRST, report_of(in_flight=5, sequence=4))
    assert not balancer.transport.pop_messages(Offer)
    balancer.clock.advance(0.01)
    balancer.receive_packet(client_packet(destination=low, flags=OPEN))
    _, offer = single(balancer.transport.pop_messages(Offer))
    assert offer.packet.flow == opening_packet(client=waiting).flow


def test_declined_flow_takes_its_turn_when_the_service_is_contended():
    # It would be offered to each agent in turn, before the urgent flows that
    # wait already.
    low = ('198.18.0.1', 81)
    routes = table_of(route_to(priority=0), route_to(priority=2, address=low))
    waiting = ('100.64.0.1', 1)
    balancer = contended_balancer(waiting, routes=routes)
    view = balancer.relay._agent_table.find(SECOND)
    assert view
    view.back_off_until(balancer.now + 1)
    balancer.receive_message(SECOND, report_of(in_flight=5, sequence=4))
    view.back_off_until(balancer.now)
    declined = client_packet(destination=low, flags=OPEN)
    assignment = balancer.relay._flows.find_or_add(declined.flow, balancer.now)
    assignment.record_opening(declined.sequence, balancer.now)
    assignment.assign(FIRST)
    balancer.receive_message(
        FIRST, Declined(packet=declined, reason=DECLINED_FULL)
    )
    address, offer = single(balancer.transport.pop_messages(Offer))
    assert address == SECOND
    assert offer.packet.flow == opening_packet(client=waiting).flow


def test_measured_rate_is_forgotten_after_a_pause():
    # A frozen VM assigns nothing, and flows that could be served would be
    # refused by the low rate.
    balancer = contended_balancer(('100.64.0.1', 1))
    service_queue = single(balancer.relay._admission._queue.services)
    for sequence in range(4, 20):
        balancer.receive_message(
            FIRST, report_of(in_flight=8, sequence=sequence)
        )
        service_queue.rate.record(balancer.now)
        service_queue.rate.record(balancer.now)
        balancer.receive_packet(opening_packet(client=('100.64.0.1', sequence)))
        balancer.advance(0.1)
    assert service_queue.rate.upper_bound(balancer.now)
    balancer.clock.advance(0.3)
    balancer.relay.tick(balancer.now)
    assert not service_queue.rate.upper_bound(balancer.now)


@pytest.mark.parametrize('offered', (True, False))
def test_flow_that_an_agent_may_have_accepted_is_not_refused(
    monkeypatch, offered
):
    # The agent did not reply in time, but its upstream may run the request: a
    # reset would tell the client that it has not run.
    monkeypatch.setattr(
        ServiceQueue,
        'select_refused',
        lambda queue, now, has_not_run: list(
            filter(has_not_run, [queue.next_flow(now, ())])
        ),
    )
    balancer = balancer_with(report_of(in_flight=0 if offered else 8))
    balancer.receive_packet(opening_packet())
    balancer.advance(0.15)
    assert balancer.relay.queued_flows == offered
    assert len(balancer.transport.resets) == (not offered)


def test_flow_that_an_agent_may_have_accepted_is_not_reset_at_its_deadline():
    # The agent's reply was lost. Other balancers carry the packets of the flow
    # that its upstream opened, and the reset ended it.
    balancer = balancer_with(report_of())
    balancer.receive_packet(opening_packet(attempt=2))
    balancer.advance(0.12)
    assert balancer.relay.queued_flows == 1
    balancer.advance(0.7)
    assert not balancer.relay.queued_flows
    assert not balancer.transport.resets


def test_flow_that_an_agent_may_have_accepted_is_not_reset_by_a_full_queue(
    monkeypatch,
):
    # No memory is left for the flow, but its upstream may run the request.
    monkeypatch.setattr(flow_queue, 'MAX_QUEUED_FLOWS', 0)
    balancer = balancer_with(report_of())
    balancer.receive_packet(opening_packet())
    balancer.advance(0.12)
    assert not balancer.transport.resets
    balancer.receive_packet(opening_packet(client=('100.64.0.9', 1)))
    assert len(balancer.transport.resets) == 1


def test_queued_flow_is_assigned_though_the_next_one_excludes_the_agent():
    # A flow that only unsuitable agents could take does not hold up others.
    balancer = balancer_with(report_of(), report_of(in_flight=8))
    declined = opening_packet(client=('100.64.0.9', 2))
    balancer.receive_packet(declined)
    balancer.receive_message(FIRST, report_of(in_flight=8, sequence=2))
    balancer.receive_message(
        FIRST, Declined(packet=declined, reason=DECLINED_DRAINING)
    )
    older = opening_packet(client=('100.64.0.9', 1), attempt=1)
    balancer.receive_packet(older)
    balancer.transport.sent.clear()
    balancer.receive_message(
        FIRST, report_of(in_flight=5, sequence=3, offers_seen=1)
    )
    _, offer = single(balancer.transport.pop_messages(Offer))
    assert offer.packet.flow == older.flow
    balancer.receive_message(SECOND, report_of(in_flight=5, sequence=3))
    _, offer = single(balancer.transport.pop_messages(Offer))
    assert offer.packet.flow == declined.flow
