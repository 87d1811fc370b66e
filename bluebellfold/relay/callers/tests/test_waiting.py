"""Test how flows wait for room."""

from bluebellfold.relay.callers.waiting import MAX_QUEUED_FLOWS, FlowQueue
from bluebellfold.relay.tests.scene import COUNTER, route_to
from bluebellfold.standins.packets import opening_packet


def packet_of(port, *, attempt=0):
    return opening_packet(client=('100.64.0.9', port), attempt=attempt)


def flows(waiting):
    return [one.packet.flow for one in waiting]


def test_urgent_flows_come_first_and_then_the_newest():
    room = FlowQueue()
    urgent = route_to(priority=0)
    room.add(packet_of(1), route_to(priority=2), opened_at=3)
    room.add(packet_of(2), urgent, opened_at=1)
    room.add(packet_of(3), urgent, opened_at=2)
    expected = [packet_of(port).flow for port in (3, 2, 1)]
    assert flows(room.list_for_service(COUNTER)) == expected


def test_flow_waits_only_for_the_service_of_its_route():
    room = FlowQueue()
    room.add(packet_of(1), route_to('makeroom'), opened_at=0)
    assert not room.list_for_service(COUNTER)
    assert room.services == {'makeroom'}


def test_flow_without_a_known_route_waits_for_any_service():
    room = FlowQueue()
    room.add(packet_of(1), None, opened_at=0)
    assert len(room.list_for_service(COUNTER)) == 1


def test_client_that_sends_its_copies_is_not_taken_for_gone():
    room = FlowQueue()
    room.add(packet_of(1), None, opened_at=0)
    assert not room.pop_abandoned(0.3)
    room.add(packet_of(1, attempt=1), None, opened_at=0)
    assert not room.pop_abandoned(0.7)
    room.add(packet_of(1, attempt=2), None, opened_at=0)
    assert not room.pop_abandoned(1.2)


def test_client_that_sends_no_copy_is_taken_for_gone():
    room = FlowQueue()
    room.add(packet_of(1), None, opened_at=0)
    assert flows(room.pop_abandoned(0.4)) == [packet_of(1).flow]
    assert not len(room)


def test_room_is_bounded():
    room = FlowQueue()
    port = 0
    while len(room) < MAX_QUEUED_FLOWS:
        assert room.add(packet_of(port), None, opened_at=0)
        port += 1
    assert not room.add(packet_of(port), None, opened_at=0)
    assert room.add(packet_of(0, attempt=1), None, opened_at=0)
