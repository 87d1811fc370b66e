"""Test the order of the queued flows of one service."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.callers.fair_queue import (
    MAX_PRIORITY_STEPS,
    SHARE_PER_PRIORITY,
    FairQueue,
)
from bluebellfold.relay.callers.queued_flow import QueuedFlow
from bluebellfold.relay.callers.route_queue import TURNS_PER_ROUND
from bluebellfold.relay.callers.tests.replay import route_of
from bluebellfold.relay.tests.harness import COUNTER
from bluebellfold.standins.packets import opening_packet

NOW = 10
URGENT = route_of(80, priority=0)
NORMAL = route_of(81, priority=1)
BULK = route_of(82, priority=7)


class Filler:
    """Add flows, each from another port."""

    def __init__(self):
        self.queue = FairQueue()
        self.port = 0

    def add(
        self, route, *, times=1, host='100.64.0.1', waited: float = 0
    ) -> QueuedFlow:
        """Add flows, and return the last one."""
        added = []
        for _ in range(times):
            self.port += 1
            queued = QueuedFlow(
                packet=opening_packet(client=(host, self.port)),
                route=route,
                service=COUNTER,
                opened_at=NOW - waited,
            )
            self.queue.add(queued)
            added.append(queued)
        return added[-1]

    def serve(self, times, *, skipped=()):
        """Assign flows in order, and return them."""
        served = []
        for _ in range(times):
            queued = self.queue.next_by_share(NOW, skipped)
            assert queued
            self.queue.remove(queued)
            self.queue.charge(queued)
            served.append(queued)
        return served


def routes_of(served):
    return [queued.route for queued in served]


def test_routes_share_by_priority():
    # Strict priority would serve the urgent route alone.
    filler = Filler()
    for each in (URGENT, NORMAL, BULK):
        filler.add(each, times=100)
    served = routes_of(filler.serve(70))
    counts = [served.count(route) for route in (URGENT, NORMAL, BULK)]
    assert counts == [40, 20, 10]


def test_share_has_a_lower_bound():
    # Without it, the last of many priorities would starve.
    filler = Filler()
    routes = [route_of(port, priority=port) for port in range(12)]
    for each in routes:
        filler.add(each)
    smallest = SHARE_PER_PRIORITY**-MAX_PRIORITY_STEPS
    assert filler.queue.weight(routes[-1]) == smallest
    assert filler.queue.weight(routes[0]) == 1


def test_unused_share_is_lent():
    filler = Filler()
    filler.add(URGENT, times=3)
    filler.add(BULK, times=20)
    served = routes_of(filler.serve(23))
    assert served.count(BULK) == 20
    assert set(served[-15:]) == {BULK}


def test_idle_route_saves_no_share():
    # Otherwise it would later shut out the others for as long as it was idle.
    filler = Filler()
    filler.add(NORMAL, times=100)
    filler.serve(50)
    filler.add(URGENT, times=50)
    served = routes_of(filler.serve(30))
    assert served.count(URGENT) == pytest.approx(20, abs=1)


def test_urgent_flow_waits_for_at_most_one_round():
    filler = Filler()
    filler.add(NORMAL, times=50)
    filler.add(BULK, times=50)
    filler.serve(25)
    filler.add(URGENT)
    assert URGENT in routes_of(filler.serve(2))


def test_newest_flow_of_a_route_is_next():
    filler = Filler()
    filler.add(NORMAL, waited=0.1, host='100.64.0.1')
    newest = filler.add(NORMAL, waited=0.01, host='100.64.0.2')
    filler.add(NORMAL, waited=0.05, host='100.64.0.3')
    assert filler.serve(1) == [newest]


def test_clients_of_a_route_are_served_in_turn():
    # One client's newer flows would go before those of all others.
    filler = Filler()
    filler.add(NORMAL, times=50, host='100.64.0.1')
    filler.add(NORMAL, times=4, host='100.64.0.2', waited=0.05)
    filler.add(NORMAL, times=4, host='100.64.0.3', waited=0.04)
    served = [queued.client for queued in filler.serve(12)]
    assert served.count('100.64.0.1') == TURNS_PER_ROUND
    assert served.count('100.64.0.2') == served.count('100.64.0.3') == 4


def test_flow_that_can_meet_its_target_is_served_before_a_late_one():
    # A client without turns goes before one whose flows are late anyway.
    filler = Filler()
    filler.add(NORMAL, times=8, host='100.64.0.1')
    filler.add(NORMAL, times=8, host='100.64.0.2', waited=0.5)
    served = [queued.client for queued in filler.serve(8)]
    assert set(served) == {'100.64.0.1'}


def test_skipped_route_does_not_hold_up_others():
    filler = Filler()
    filler.add(URGENT)
    filler.add(BULK)
    served = filler.serve(1, skipped={URGENT.address})
    assert routes_of(served) == [BULK]
    assert filler.queue.next_by_share(NOW, {URGENT.address}) is None


def test_removed_flows_leave_no_entries():
    # Flows that expire stay at the end of the order, and are never next.
    filler = Filler()
    for _ in range(1000):
        queued = filler.add(NORMAL)
        filler.queue.remove(queued)
    filler.add(NORMAL)
    flows = filler.queue.routes[0]._flows
    assert len(flows) == 1
    assert len(flows._entries) < 50


# Guards against memory that grows for as long as the service is contended: a
# round doesn't end while clients come that have turns left.
def test_client_without_flows_leaves_no_entry_among_those_out_of_turns():
    filler = Filler()
    for number in range(50):
        left = filler.add(NORMAL, times=5, host=f'100.64.0.{number}')
        filler.add(NORMAL, host=f'100.65.0.{number}', waited=0.05)
        filler.serve(TURNS_PER_ROUND)
        filler.queue.remove(left)
    route_queue = filler.queue.routes[0]
    assert len(route_queue) == 50
    assert not route_queue._out_of_turns


class RouteChanger(Filler):
    """Add, serve and remove flows while two routes change."""

    def __init__(self):
        super().__init__()
        self.routes = [URGENT, NORMAL]

    def add_flow(self, number):
        host = f'100.64.0.{number // 4}'
        self.add(self.routes[number % 2], host=host, waited=number / 40)

    def change_priority(self, number):
        port = 80 + number % 2
        self.routes[number % 2] = route_of(port, priority=number)

    def serve_flow(self, _):
        self.serve(min(1, len(self.queue)))

    def remove_route(self, number):
        address = self.routes[number % 2].address
        for route_queue in self.queue.routes:
            if route_queue.route.address == address:
                for queued in route_queue.list_in_turn(NOW):
                    self.queue.remove(queued)


STEPS = (
    RouteChanger.add_flow,
    RouteChanger.change_priority,
    RouteChanger.serve_flow,
    RouteChanger.remove_route,
)


# Guards against flows that are never next after their route was removed and
# added again with another priority, or after their client was out of turns.
@given(st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 11))))
def test_every_flow_is_served_whatever_happens_to_routes(steps):
    changer = RouteChanger()
    for step, number in steps:
        step(changer, number)
    changer.serve(len(changer.queue))
    for route_queue in changer.queue._routes.values():
        assert not len(route_queue)
        assert not route_queue._clients
        assert not route_queue._out_of_turns
