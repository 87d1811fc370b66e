"""Test the selection of peers and the rate limit of pushes."""

from bluebellfold.balancers.peers import PeerSelector, control_endpoint
from bluebellfold.balancers.rumors import MAX_BURST_COPIES, RumorQueue
from bluebellfold.balancers.tests.samples import build_member
from bluebellfold.core import LEFT, Endpoint

OWN = Endpoint(host='127.0.0.1', port=1)


def build_members(count):
    return [
        build_member(
            name=f'm{number}',
            zone=f'wa-south-{"ab"[number % 2]}',
            service=number % 3,
            control_port=9000 + number,
        )
        for number in range(count)
    ]


def nearby_of(members):
    return [m for m in members if m.zone == 'wa-south-a' or m.service == 1]


def build_selector(**changes):
    seeds = [Endpoint(host='127.0.0.1', port=port) for port in range(1, 60)]
    fields = {'own': OWN, 'seeds': seeds, 'zone': 'wa-south-a', 'service': 1}
    return PeerSelector(**{**fields, **changes})


def test_peers_are_bounded_and_nearby_and_exclude_the_own_process():
    selector = build_selector()
    members = build_members(500)
    selector.update_members(members, table=members)
    peers = selector.available(now=0)
    nearby = set(map(control_endpoint, nearby_of(members)))
    assert len(peers) == 14
    assert len(nearby.intersection(peers)) == 8
    assert OWN not in peers
    assert len(selector.announcement_targets) == 16


def test_members_that_leave_are_replaced_from_the_table():
    selector = build_selector(seeds=())
    members = build_members(100)
    selector.update_members(members, table=members)
    while nearby_of(members):
        removed = selector.available(now=0)[0]
        left = next(m for m in members if control_endpoint(m) == removed)
        members.remove(left)
        selector.update_members([left.replace(state=LEFT)], table=members)
        assert len(selector.available(now=0)) == min(8, len(nearby_of(members)))


def test_failing_peer_is_excluded_for_a_bounded_exponential_backoff():
    selector = build_selector(seeds=[Endpoint(host='127.0.0.1', port=2)])
    peer = selector.available(now=0)[0]
    waits = []
    for _ in range(6):
        selector.record_failure(peer, jitter=1, now=0)
        waits.append(next(at for at in range(99) if selector.available(now=at)))
    assert waits == [1, 2, 4, 8, 10, 10]
    selector.record_success(peer)
    assert selector.available(now=0) == (peer,)


def test_each_row_is_pushed_for_three_rounds():
    queue = RumorQueue(now=0)
    queue.add(['a', 'b'])
    rounds = [set(queue.next_batch(peer_count=3, now=0)) for _ in range(4)]
    assert rounds == [{'a', 'b'}, {'a', 'b'}, {'a', 'b'}, set()]


def test_pushes_stay_within_the_rate_limit():
    queue = RumorQueue(now=0)
    queue.add(str(number) for number in range(9000))
    assert len(queue) == 4096
    rows = sum(len(queue.next_batch(peer_count=3, now=0)) for _ in range(50))
    assert rows * 3 == MAX_BURST_COPIES
    assert len(queue.next_batch(peer_count=3, now=1)) == 50
