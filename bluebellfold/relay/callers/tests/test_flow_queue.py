"""Test the queue of new flows."""

from bluebellfold.relay.callers.flow_queue import MAX_QUEUED_FLOWS, FlowQueue
from bluebellfold.relay.callers.pending_offers import OFFER_TIMEOUT_SECONDS
from bluebellfold.relay.tests.harness import COUNTER, route_to
from bluebellfold.standins.packets import opening_packet


def packet_of(port, *, attempt=0):
    return opening_packet(client=('100.64.0.9', port), attempt=attempt)


def queue_flow(queue, port, route=None, *, attempt=0, opened_at=0):
    service = None if route is None else route.shares[0].service
    return queue.add(
        packet_of(port, attempt=attempt),
        route,
        service,
        opened_at=opened_at,
        now=opened_at,
    )


def flows(queued_flows):
    return [queued.packet.flow for queued in queued_flows]


def pop_in_order(queue, service):
    """Remove and return the flows of a service in order of assignment."""
    popped = []
    service_queue = queue.find_service(service)
    while service_queue:
        flow = service_queue.next_flow(0, ()).packet.flow
        popped.append(flow)
        queue.remove(flow)
    return popped


def test_flows_are_ordered_by_priority_and_then_the_newest_first():
    queue = FlowQueue()
    low = route_to(priority=2, address=('198.18.0.1', 80))
    high = route_to(priority=0)
    queue_flow(queue, 1, low, opened_at=3)
    queue_flow(queue, 2, high, opened_at=1)
    queue_flow(queue, 3, high, opened_at=2)
    expected = [packet_of(port).flow for port in (3, 2, 1)]
    assert pop_in_order(queue, COUNTER) == expected


def test_flow_is_queued_only_for_the_service_of_its_route():
    queue = FlowQueue()
    queue_flow(queue, 1, route_to('makeroom'))
    assert queue.find_service(COUNTER) is None
    assert [service.name for service in queue.services] == ['makeroom']


def test_flow_without_a_known_route_is_queued_for_no_service():
    # Its service follows from the first configuration.
    queue = FlowQueue()
    queue_flow(queue, 1)
    assert not queue.services
    assert flows(queue.list_unrouted()) == [packet_of(1).flow]
    queue_flow(queue, 1, route_to())
    assert not queue.list_unrouted()
    assert pop_in_order(queue, COUNTER) == [packet_of(1).flow]
    assert not len(queue)


def test_flow_moves_to_the_service_of_a_changed_route():
    # Otherwise it would be assigned from the queues of both services.
    queue = FlowQueue()
    queue_flow(queue, 1, route_to())
    queue_flow(queue, 1, route_to('makeroom'))
    assert not queue.find_service(COUNTER)
    assert pop_in_order(queue, 'makeroom') == [packet_of(1).flow]


def test_queue_of_a_service_is_dropped_once_it_is_empty():
    queue = FlowQueue()
    queue_flow(queue, 1, route_to())
    assert not queue.pop_drained(0)
    queue.remove(packet_of(1).flow)
    assert [drained.name for drained in queue.pop_drained(0)] == [COUNTER]
    assert not queue.services


def test_queue_of_a_contended_service_is_kept_while_its_flows_are_on_offer():
    # Agents that other balancers have filled decline most offers, and the flows
    # come back within milliseconds.
    queue = FlowQueue()
    queue_flow(queue, 1, route_to())
    service_queue = queue.find_service(COUNTER)
    assert service_queue is not None
    assert service_queue.detect_contention(1)
    for _ in range(2):
        queue.remove(packet_of(1).flow)
        assert not queue.pop_drained(1)
        assert not queue.pop_drained(1 + OFFER_TIMEOUT_SECONDS / 2)
        queue_flow(queue, 1, route_to())
    queue.remove(packet_of(1).flow)
    assert not queue.pop_drained(2)
    assert queue.pop_drained(2 + OFFER_TIMEOUT_SECONDS)


def test_flow_is_not_abandoned_while_its_client_retransmits():
    queue = FlowQueue()
    queue_flow(queue, 1)
    assert not queue.pop_overdue(0.3)
    queue_flow(queue, 1, attempt=1)
    assert not queue.pop_overdue(0.7)
    queue_flow(queue, 1, attempt=2)
    assert not queue.pop_overdue(1.2)


def test_flow_is_abandoned_when_its_client_stops_retransmitting():
    queue = FlowQueue()
    queue_flow(queue, 1)
    overdue = queue.pop_overdue(0.4)
    assert flows(overdue) == [packet_of(1).flow]
    assert overdue[0].is_abandoned(0.4)
    assert not overdue[0].is_expired(0.4)
    assert not len(queue)


def test_flow_expires_at_the_queue_timeout():
    queue = FlowQueue()
    queue_flow(queue, 1, attempt=2)
    assert not queue.pop_overdue(1.29)
    overdue = queue.pop_overdue(1.3)
    assert flows(overdue) == [packet_of(1).flow]
    assert overdue[0].is_expired(1.3)


def test_flow_expires_at_a_shorter_timeout_of_its_route():
    # The client has dropped the request before the queue timeout.
    queue = FlowQueue()
    route = route_to().replace(timeout_seconds=1)
    queue_flow(queue, 1, route, attempt=2)
    assert not queue.pop_overdue(0.99)
    assert flows(queue.pop_overdue(1)) == [packet_of(1).flow]


def test_late_copy_of_an_earlier_packet_does_not_abandon_the_flow():
    queue = FlowQueue()
    queue_flow(queue, 1, attempt=1)
    queue_flow(queue, 1, attempt=0)
    assert not queue.pop_overdue(0.5)


def test_queue_is_bounded():
    queue = FlowQueue()
    port = 0
    while len(queue) < MAX_QUEUED_FLOWS:
        assert queue_flow(queue, port)
        port += 1
    assert not queue_flow(queue, port)
    assert queue_flow(queue, 0, attempt=1)
