"""Test which queued flows count as unservable, and which are refused."""

import math

from bluebellfold.relay.callers.feasibility import (
    REFUSED_SHARE,
    list_unservable,
    select_refused,
)
from bluebellfold.relay.callers.queued_flow import QUEUE_TIMEOUT_SECONDS
from bluebellfold.relay.callers.service_queue import (
    GRACE_SECONDS,
    ServiceQueue,
)
from bluebellfold.relay.callers.tests.test_assignment_rate import record
from bluebellfold.relay.callers.tests.test_fair_queue import (
    BULK,
    NORMAL,
    NOW,
    URGENT,
    Filler,
)

RATE = 10
SERVABLE = int(RATE * QUEUE_TIMEOUT_SECONDS) + 1


def unservable(filler):
    return list_unservable(filler.queue, flows_per_second=RATE, now=NOW)


def has_not_run(queued):
    return True


def refused(filler, has_not_run=has_not_run):
    return select_refused(
        filler.queue,
        flows_per_second=RATE,
        now=NOW,
        has_not_run=has_not_run,
    )


def test_flows_that_can_be_assigned_in_time_are_servable():
    filler = Filler()
    filler.add(NORMAL, times=SERVABLE)
    assert not unservable(filler)
    filler.add(NORMAL)
    assert len(unservable(filler)) == 1


def test_flows_of_the_route_beyond_its_share_are_unservable():
    # Not the flows of the others, though they are as old.
    filler = Filler()
    filler.add(NORMAL, times=5)
    filler.add(URGENT, times=40)
    found = {queued.route for queued in unservable(filler)}
    assert found == {URGENT}


def test_unservable_flow_does_not_make_others_unservable():
    # The oldest flows expire first and take no capacity from the others.
    filler = Filler()
    filler.add(NORMAL, times=SERVABLE - 1, waited=0)
    filler.add(URGENT, times=30, waited=1.29)
    waits = {queued.opened_at for queued in unservable(filler)}
    assert NOW not in waits


def test_timeout_of_the_route_limits_the_wait():
    filler = Filler()
    short = NORMAL.replace(timeout_seconds=0.5)
    filler.add(short, times=10)
    assert len(unservable(filler)) == 10 - 6


def test_refused_flows_are_a_share_of_the_excess():
    # All at once, their clients would return as one wave.
    filler = Filler()
    filler.add(NORMAL, times=SERVABLE + 50)
    assert len(refused(filler)) == math.ceil(50 * REFUSED_SHARE)


def test_flows_that_may_have_run_leave_their_refusals_to_others():
    # The offers to a lost agent are the oldest, and a reset would be untrue.
    filler = Filler()
    in_doubt = filler.add(NORMAL, waited=0.19)
    filler.add(NORMAL, times=SERVABLE + 1)
    known = refused(filler, lambda queued: queued is not in_doubt)
    assert len(known) == 1
    assert in_doubt not in known


def test_flow_with_the_least_time_left_is_refused_first():
    filler = Filler()
    filler.add(NORMAL, times=SERVABLE + 2)
    oldest = filler.add(NORMAL, waited=0.19)
    assert refused(filler) == [oldest]


def test_least_urgent_flow_is_refused_if_no_route_exceeds_its_share():
    # All flows are old, so that few of them can be assigned in time.
    filler = Filler()
    for route in (URGENT, BULK):
        filler.add(route, times=3, waited=0.1)
    assert not refused(filler)
    late = Filler()
    for route in (URGENT, BULK):
        late.add(route.replace(timeout_seconds=0.3), times=3, waited=0.1)
    assert {queued.known_route.priority for queued in refused(late)} == {
        BULK.priority
    }


def test_flow_that_another_balancer_may_have_is_not_refused():
    # Its client has retransmitted the opening packet, but not to this balancer:
    # a reset would be untrue if the flow runs.
    filler = Filler()
    filler.add(NORMAL, times=SERVABLE + 20, waited=0.21)
    assert unservable(filler)
    assert not refused(filler)


def contended_queue(*, ready_agents):
    """Return a queue with 200 flows at NOW that was measured until then."""
    queue = ServiceQueue(name='counter', now=0)
    for queued in flows_of(200):
        queue.add(queued)
    queue.observe_ready_agents(2, 0)
    assert queue.detect_contention(1)
    record(queue.rate, start=NOW - 1, end=NOW, count=50)
    queue.observe_ready_agents(ready_agents, NOW)
    return queue


def flows_of(times, *, opened_at: float = NOW):
    filler = Filler()
    return [filler.add(NORMAL, waited=NOW - opened_at) for _ in range(times)]


def test_flows_are_refused_only_with_a_measured_rate():
    assert contended_queue(ready_agents=2).select_refused(NOW, has_not_run)
    # Fewer agents serve less, which the rate will show.
    assert contended_queue(ready_agents=1).select_refused(NOW, has_not_run)


def test_no_flow_is_refused_when_a_part_of_the_upstreams_returns():
    # The rate was measured with fewer upstreams.
    assert not contended_queue(ready_agents=3).select_refused(NOW, has_not_run)


def test_no_flow_is_refused_within_the_grace_time_of_an_outage():
    # The queue holds the flows of the outage, which its upstreams work off.
    queue = contended_queue(ready_agents=0)
    assert not queue.is_contended
    queue.observe_ready_agents(2, NOW)
    before_end = NOW + GRACE_SECONDS - 0.01
    record(queue.rate, start=NOW, end=before_end, count=200)
    assert queue.detect_contention(before_end)
    for queued in flows_of(200, opened_at=before_end):
        queue.add(queued)
    assert not queue.select_refused(before_end, has_not_run)
    assert queue.select_refused(NOW + GRACE_SECONDS, has_not_run)


def test_long_queue_is_checked_less_often():
    # A check of 10,000 flows takes 20 to 40 ms.
    queue = contended_queue(ready_agents=2)
    for queued in flows_of(3000):
        queue.add(queued)
    assert queue.select_refused(NOW, has_not_run)
    assert not queue.select_refused(NOW + 0.1, has_not_run)
    assert queue.select_refused(NOW + 0.19, has_not_run)
