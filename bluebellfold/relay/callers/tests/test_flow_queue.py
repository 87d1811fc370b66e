"""Test the queue of new flows."""

from bluebellfold.relay.callers.flow_queue import MAX_QUEUED_FLOWS, FlowQueue
from bluebellfold.relay.tests.harness import COUNTER, route_to
from bluebellfold.standins.packets import opening_packet


def packet_of(port, *, attempt=0):
    return opening_packet(client=('100.64.0.9', port), attempt=attempt)


def flows(queued_flows):
    return [queued.packet.flow for queued in queued_flows]


def test_flows_are_ordered_by_priority_and_then_the_newest_first():
    queue = FlowQueue()
    high_priority = route_to(priority=0)
    queue.add(packet_of(1), route_to(priority=2), opened_at=3)
    queue.add(packet_of(2), high_priority, opened_at=1)
    queue.add(packet_of(3), high_priority, opened_at=2)
    expected = [packet_of(port).flow for port in (3, 2, 1)]
    assert flows(queue.list_for_service(COUNTER)) == expected


def test_flow_is_queued_only_for_the_service_of_its_route():
    queue = FlowQueue()
    queue.add(packet_of(1), route_to('makeroom'), opened_at=0)
    assert not queue.list_for_service(COUNTER)
    assert queue.services == {'makeroom'}


def test_flow_without_a_known_route_is_queued_for_any_service():
    queue = FlowQueue()
    queue.add(packet_of(1), None, opened_at=0)
    assert len(queue.list_for_service(COUNTER)) == 1


def test_flow_is_not_abandoned_while_its_client_retransmits():
    queue = FlowQueue()
    queue.add(packet_of(1), None, opened_at=0)
    assert not queue.pop_abandoned(0.3)
    queue.add(packet_of(1, attempt=1), None, opened_at=0)
    assert not queue.pop_abandoned(0.7)
    queue.add(packet_of(1, attempt=2), None, opened_at=0)
    assert not queue.pop_abandoned(1.2)


def test_flow_is_abandoned_when_its_client_stops_retransmitting():
    queue = FlowQueue()
    queue.add(packet_of(1), None, opened_at=0)
    assert flows(queue.pop_abandoned(0.4)) == [packet_of(1).flow]
    assert not len(queue)


def test_queue_is_bounded():
    queue = FlowQueue()
    port = 0
    while len(queue) < MAX_QUEUED_FLOWS:
        assert queue.add(packet_of(port), None, opened_at=0)
        port += 1
    assert not queue.add(packet_of(port), None, opened_at=0)
    assert queue.add(packet_of(0, attempt=1), None, opened_at=0)
