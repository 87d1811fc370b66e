"""Test how flows wait for room."""

from bluebellfold.relay.callers.waiting import MAX_WAITING, WaitingRoom
from bluebellfold.relay.tests.scene import COUNTER, route_to
from bluebellfold.standins.packets import opening_packet


def packet_of(port, *, attempt=0):
    return opening_packet(client=('100.64.0.9', port), attempt=attempt)


def flows(waiting):
    return [one.packet.flow for one in waiting]


def test_urgent_flows_come_first_and_then_the_newest():
    room = WaitingRoom()
    urgent = route_to(priority=0)
    room.add(packet_of(1), route_to(priority=2), since=3)
    room.add(packet_of(2), urgent, since=1)
    room.add(packet_of(3), urgent, since=2)
    expected = [packet_of(port).flow for port in (3, 2, 1)]
    assert flows(room.in_turn(COUNTER)) == expected


def test_flow_waits_only_for_the_service_of_its_route():
    room = WaitingRoom()
    room.add(packet_of(1), route_to('makeroom'), since=0)
    assert not room.in_turn(COUNTER)
    assert room.services == {'makeroom'}


def test_flow_without_a_known_route_waits_for_any_service():
    room = WaitingRoom()
    room.add(packet_of(1), None, since=0)
    assert len(room.in_turn(COUNTER)) == 1


def test_client_that_sends_its_copies_is_not_taken_for_gone():
    room = WaitingRoom()
    room.add(packet_of(1), None, since=0)
    assert not room.take_abandoned(0.3)
    room.add(packet_of(1, attempt=1), None, since=0)
    assert not room.take_abandoned(0.7)
    room.add(packet_of(1, attempt=2), None, since=0)
    assert not room.take_abandoned(1.2)


def test_client_that_sends_no_copy_is_taken_for_gone():
    room = WaitingRoom()
    room.add(packet_of(1), None, since=0)
    assert flows(room.take_abandoned(0.4)) == [packet_of(1).flow]
    assert not len(room)


def test_room_is_bounded():
    room = WaitingRoom()
    port = 0
    while len(room) < MAX_WAITING:
        assert room.add(packet_of(port), None, since=0)
        port += 1
    assert not room.add(packet_of(port), None, since=0)
    assert room.add(packet_of(0, attempt=1), None, since=0)
