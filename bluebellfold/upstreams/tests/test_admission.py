"""Test admission against a reference model, and its guarantees."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.core import Kind
from bluebellfold.upstreams import (
    Admission,
    Admitted,
    Queued,
    Refused,
    disciplines,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.admission import (
    DRAIN_START_WINDOW_SECONDS,
    DuplicateRequestError,
)
from bluebellfold.upstreams.queues import UNPREDICTED_QUEUE_CAPACITY
from bluebellfold.upstreams.tests.owner import (
    BATCH,
    COUNTER,
    FEED,
    ORDER,
    STOCK,
    request_of,
)

KINDS = (ORDER, BATCH, STOCK, FEED)
SMALL_SERVICE = COUNTER.replace(slots=2, connections=5)


def admission_of(kinds=KINDS, service=COUNTER, **fields: str) -> Admission:
    return Admission(service=service, kinds=kinds, now=0, **fields)


class ReferenceModel:
    """Track the state of each request in plain sets."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.waiting: dict[str, Kind] = {}
        self.running: dict[str, Kind] = {}
        self.ended: set[str] = set()

    def admit(self, request, now: float) -> None:
        decision = self.admission.admit(request, now)
        assert isinstance(decision, (Admitted, Queued, Refused))
        if isinstance(decision, Admitted):
            self.running[request.key] = request.kind
        elif isinstance(decision, Queued):
            self.waiting[request.key] = request.kind
        else:
            self.ended.add(request.key)

    def release(self, key: str, now: float) -> None:
        changes = self.admission.release(key, now)
        self.running.pop(key, None)
        self.waiting.pop(key, None)
        self.ended.add(key)
        self.apply(changes)

    def apply(self, changes) -> None:
        for refused in changes.refused:
            self.waiting.pop(refused.request.key)
            self.ended.add(refused.request.key)
        for request in changes.started:
            self.running[request.key] = self.waiting.pop(request.key)

    def check(self) -> None:
        slots = sum(kind is not FEED for kind in self.running.values())
        assert slots <= SMALL_SERVICE.slots
        assert slots == self.admission.slots_in_use
        feeds = len(self.running) - slots
        assert feeds <= SMALL_SERVICE.connections
        assert feeds == self.admission.connections_in_use
        assert self.admission.idle == (not self.running and not self.waiting)


operations = st.lists(
    st.tuples(
        st.sampled_from(['arrive', 'arrive', 'leave', 'withdraw', 'expire']),
        st.sampled_from(KINDS),
        st.integers(0, 50),
        st.floats(0, 0.5),
    ),
    max_size=80,
)


@settings(derandomize=True, deadline=None)
@given(operations=operations, discipline=st.sampled_from(list(disciplines)))
def test_capacity_is_never_exceeded_and_each_request_ends_once(
    operations, discipline
):
    model = ReferenceModel(
        admission_of(service=SMALL_SERVICE, slot_discipline=discipline)
    )
    now = 0
    for number, (name, kind, choice, seconds) in enumerate(operations):
        now += seconds
        if name == 'arrive':
            request = request_of(kind, str(number), now=now, seconds=choice)
            model.admit(request, now)
        if name == 'expire':
            model.apply(model.admission.expire(now))
            assert model.admission.next_expiry > now
        chosen = {'leave': model.running, 'withdraw': model.waiting}.get(name)
        if chosen:
            model.release(sorted(chosen)[choice % len(chosen)], now)
        model.check()
    model.apply(model.admission.drain(now))
    model.check()
    model.apply(model.admission.expire(now + DRAIN_START_WINDOW_SECONDS))
    assert not model.waiting
    for key in tuple(model.running):
        model.release(key, now)
    assert model.admission.idle
    arrived = sum(operation[0] == 'arrive' for operation in operations)
    assert len(model.ended) == arrived


def slot_time_fractions_under_flood(kinds, service_seconds, discipline, seed):
    """Return each kind's fraction of the slot time in a 60 s flood."""
    rng = random.Random(seed)
    admission = admission_of(kinds, slot_discipline=discipline)
    used_seconds = dict.fromkeys(kinds, 0)
    running_requests = {}
    number = 0
    now = 0
    while now < 60:
        for flooding_kind in (*kinds, *kinds, *kinds):
            number += 1
            request = request_of(flooding_kind, number, now=now)
            if isinstance(admission.admit(request, now), Admitted):
                running_requests[number] = (now, flooding_kind)
        key = rng.choice(sorted(running_requests))
        started_at, kind = running_requests.pop(key)
        now = max(now, started_at + service_seconds * rng.uniform(0.5, 1.5))
        used_seconds[kind] += now - started_at
        for request in admission.release(key, now).started:
            running_requests[request.key] = (now, request.kind)
    total = sum(used_seconds.values())
    return {kind: seconds / total for kind, seconds in used_seconds.items()}


@settings(derandomize=True, deadline=None, max_examples=10)
@given(
    weights=st.lists(st.integers(1, 8), min_size=2, max_size=4),
    seed=st.integers(0, 1000),
)
def test_each_kind_gets_its_share_when_all_kinds_flood(weights, seed):
    kinds = [
        ORDER.replace(
            name=str(urgency),
            urgency=urgency,
            share=weight / sum(weights),
        )
        for urgency, weight in enumerate(weights)
    ]
    shares_used = slot_time_fractions_under_flood(kinds, 0.05, 'shares', seed)
    for kind in kinds:
        assert shares_used[kind] >= 0.9 * kind.share


def test_strict_discipline_starves_a_kind_that_shares_discipline_serves():
    kinds = (ORDER, BATCH)
    strict = slot_time_fractions_under_flood(kinds, 0.05, 'strict', 1)
    assert strict[BATCH] < BATCH.share / 10
    shares = slot_time_fractions_under_flood(kinds, 0.05, 'shares', 1)
    assert shares[BATCH] >= BATCH.share


def submit_six_batches(admission: Admission) -> None:
    for number in range(6):
        request = request_of(BATCH, f'batch {number}')
        decision = admission.admit(request, 0)
        assert isinstance(decision, Admitted if number < 3 else Queued)


def test_idle_share_is_lent_and_reclaimed_with_the_next_free_slot():
    admission = admission_of()
    submit_six_batches(admission)
    order = request_of(ORDER, 'order', now=0.5)
    assert isinstance(admission.admit(order, 0.5), Queued)
    changes = admission.release('batch 0', 0.6)
    assert [request.key for request in changes.started] == ['order']


def test_drain_refuses_new_requests_and_starts_queued_ones():
    admission = admission_of()
    submit_six_batches(admission)
    assert not admission.drain(0.5).refused
    assert admission.slots_in_use == 3
    decision = admission.admit(request_of(FEED, 'feed', now=0.5), 0.5)
    assert decision.reason is reasons.DRAINING
    started = admission.release('batch 0', 0.6).started
    assert len(started) == 1
    assert admission.slots_in_use == 3


def test_drain_refuses_queued_requests_after_the_start_window():
    long_queue_kind = BATCH.replace(queue_seconds=60)
    admission = admission_of(kinds=(long_queue_kind,))
    for number in range(5):
        request = request_of(long_queue_kind, f'batch {number}', seconds=100)
        admission.admit(request, 0)
    admission.drain(1)
    window_ends = 1 + DRAIN_START_WINDOW_SECONDS
    assert admission.next_expiry == window_ends
    refused = admission.expire(window_ends).refused
    assert {each.reason for each in refused} == {reasons.DRAINING}
    assert len(refused) == 2
    assert not admission.release('batch 0', window_ends).started


def test_queued_requests_are_refused_after_queue_seconds():
    admission = admission_of()
    submit_six_batches(admission)
    assert admission.next_expiry == 1
    assert not admission.expire(0.99).refused
    refused = admission.expire(1.0).refused
    assert len(refused) == 3
    assert {each.reason for each in refused} == {reasons.WAITED_TOO_LONG}


def test_request_with_unreachable_deadline_is_refused_on_arrival():
    admission = admission_of()
    admission.admit(request_of(ORDER, 'slow'), 0)
    admission.release('slow', 2)
    short_deadline = request_of(ORDER, 'hasty', now=2, seconds=1.9)
    decision = admission.admit(short_deadline, 2)
    assert decision.reason is reasons.DEADLINE_TOO_NEAR


def test_queue_is_bounded_by_predicted_wait():
    """A slot is freed every 0.25 s and queue_seconds is 1.

    At most four queued requests could start in time, so the bound of the
    queue must stay below that.
    """
    admission = admission_of([ORDER])
    running = []
    waiting = 0
    for number in range(200):
        now = number / 4
        if len(running) == 3:
            started = admission.release(running.pop(0), now).started
            running.extend(request.key for request in started)
        waiting = 0
        decision = Admitted()
        while not isinstance(decision, Refused):
            key = f'{number} {waiting} {len(running)}'
            decision = admission.admit(request_of(ORDER, key, now=now), now)
            waiting += isinstance(decision, Queued)
            running.extend([key] if isinstance(decision, Admitted) else [])
            assert waiting <= UNPREDICTED_QUEUE_CAPACITY
    assert decision.reason is reasons.QUEUE_TOO_LONG
    assert 1 <= waiting <= 2


@pytest.mark.parametrize('first', [FEED, STOCK])
def test_guaranteed_connections_are_never_lent(first):
    kinds = (
        FEED.replace(share=0.4),
        FEED.replace(name='status', share=0.4, urgency=3),
    )
    admission = admission_of(kinds, service=SMALL_SERVICE)
    for kind, allowed in ((kinds[0], 3), (kinds[1], 2)):
        decisions = [
            admission.admit(request_of(kind, f'{kind.name} {number}'), 0)
            for number in range(5)
        ]
        started = sum(isinstance(each, Admitted) for each in decisions)
        assert started == allowed


def test_reduced_capacity_starts_nothing_until_enough_requests_end():
    admission = admission_of()
    submit_six_batches(admission)
    smaller_service = COUNTER.replace(slots=1)
    assert not admission.reconfigure(smaller_service, KINDS, 0.1).started
    assert not admission.release('batch 0', 0.2).started
    assert not admission.release('batch 1', 0.2).started
    started = admission.release('batch 2', 0.3).started
    assert [request.key for request in started] == ['batch 3']
    started = admission.reconfigure(COUNTER, KINDS, 0.4).started
    assert [request.key for request in started] == ['batch 4', 'batch 5']


def test_removed_kind_keeps_admitted_requests_and_refuses_new_ones():
    admission = admission_of()
    submit_six_batches(admission)
    admission.reconfigure(COUNTER, (ORDER, FEED), 0.1)
    decision = admission.admit(request_of(BATCH, 'new', now=0.1), 0.1)
    assert decision.reason is reasons.NOT_SERVED
    assert len(admission.release('batch 0', 0.2).started) == 1
    for number in range(1, 6):
        admission.release(f'batch {number}', 0.3)
    assert admission.idle
    admission.reconfigure(COUNTER, KINDS, 0.4)
    decision = admission.admit(request_of(BATCH, 'newer', now=0.4), 0.4)
    assert isinstance(decision, Admitted)


def test_duplicate_key_raises():
    admission = admission_of()
    admission.admit(request_of(ORDER, 'a'), 0)
    with pytest.raises(DuplicateRequestError):
        admission.admit(request_of(ORDER, 'a'), 0)
    assert admission.slots_in_use == 1
