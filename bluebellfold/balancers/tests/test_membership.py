"""Test the member table against a reference merge in a dictionary."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.balancers.membership import MemberTable
from bluebellfold.balancers.peers import PeerSelector
from bluebellfold.balancers.replica import Replica
from bluebellfold.balancers.rows import MemberRow, row_hash
from bluebellfold.balancers.tests.samples import build_member
from bluebellfold.core import (
    DRAINING,
    LEFT,
    SERVING,
    Configuration,
    Endpoint,
)

deterministic = settings(derandomize=True, deadline=None)
members = st.builds(
    build_member,
    name=st.sampled_from(['a', 'b', 'c', 'd']),
    state=st.sampled_from([SERVING, DRAINING, LEFT]),
    weight=st.sampled_from([1.0, 2.0]),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 3),
)


def to_rows(*rows):
    return tuple(MemberRow(member=row) for row in rows)


def reference_merge(rows):
    newest = {}
    for row in rows:
        known = newest.get(row.name, row)
        newest[row.name] = max(known, row, key=version_order)
    return set(newest.values())


def version_order(row):
    return (row.version, row_hash(row))


def build_replica(port, rows=()):
    own = Endpoint(host='127.0.0.1', port=port)
    peers = PeerSelector(own=own, seeds=(), zone='wa-south-a')
    replica = Replica(peers=peers, rng=Random(port), now=0)
    replica.merge(to_rows(*rows), now=0)
    return replica


def swap(initiator, responder, lost=()):
    request = initiator.begin_comparison(now=0)
    rounds = 0
    while request:
        rounds += 1
        assert rounds < 1000
        responder.merge(request.rows, now=0)
        responder.update_configuration(request.configuration)
        if rounds in lost:
            return rounds
        response = responder.respond(request, now=0)
        initiator.merge(response.rows, now=0)
        initiator.update_configuration(response.configuration)
        request = initiator.continue_comparison(response, now=0)
    return rounds


@deterministic
@given(rows=st.lists(members), data=st.data())
def test_merge_does_not_depend_on_order_or_duplicates(rows, data):
    shuffled = data.draw(st.permutations(rows + rows))
    cut = data.draw(st.integers(0, len(shuffled)))
    table = MemberTable()
    table.merge(to_rows(*shuffled[:cut]), now=0)
    table.merge(to_rows(*shuffled[cut:]), now=0)
    other = MemberTable()
    other.merge(to_rows(*rows), now=0)
    assert set(table.rows) == reference_merge(rows)
    assert table.rows.root == other.rows.root
    assert table.rows.bucket_hashes == other.rows.bucket_hashes


@deterministic
@given(
    held=st.lists(st.lists(members), min_size=3, max_size=3),
    calls=st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(1, 3)),
    ),
)
def test_swaps_converge_after_lost_responses(held, calls):
    replicas = [build_replica(port, rows) for port, rows in enumerate(held)]
    for initiator, responder, lost in calls:
        swap(replicas[initiator], replicas[responder], {lost})
    for initiator, responder in ((0, 1), (1, 2), (0, 2), (0, 1)):
        swap(replicas[initiator], replicas[responder])
    merged = reference_merge(sum(held, []))
    for replica in replicas:
        assert set(replica.members()) == {
            row for row in merged if row.state != LEFT
        }
        assert (
            replica.begin_comparison(now=0).root
            == replicas[0].begin_comparison(now=0).root
        )


def test_empty_replica_recovers_all_rows_and_equal_ones_need_one_request():
    rows = [build_member(name=f'm{number}') for number in range(3000)]
    full = build_replica(1, rows)
    empty = build_replica(2)
    swap(empty, full)
    assert set(empty.members()) == set(rows)
    assert not empty.has_pending_push
    assert swap(full, empty) == 1


def test_older_row_restores_an_expired_tombstone():
    table = MemberTable(tombstone_seconds=60)
    serving = build_member()
    left = build_member(state=LEFT, sequence=1)
    table.merge(to_rows(serving, left), now=0)
    table.expire(now=59)
    assert set(table.rows) == {left}
    table.expire(now=60)
    assert not len(table.rows)
    assert table.merge(to_rows(serving), now=61) == ()
    assert set(table.rows) == {left}
    restarted = build_member(incarnation=2)
    assert table.merge(to_rows(restarted), now=62) == (restarted,)


def test_tombstone_passed_between_peers_expires():
    left = build_member(state=LEFT)
    tables = [MemberTable(tombstone_seconds=10) for _ in range(2)]
    tables[0].merge(to_rows(left), now=0)
    for tick in range(1, 25):
        now = tick / 2
        sender, receiver = tables[tick % 2], tables[1 - tick % 2]
        sent = tuple(sender.build_row(row, now=now) for row in sender.rows)
        receiver.merge(sent, now=now + 0.5)
        receiver.expire(now=now + 0.5)
    assert [len(table.rows) for table in tables] == [0, 0]


def test_own_row_supersedes_a_row_from_before_the_clock_was_set_back():
    replica = build_replica(1, [build_member(incarnation=9, sequence=4)])
    replica.announce(build_member(state=DRAINING), now=0)
    row = replica.members()[0]
    assert (row.state, row.version) == (DRAINING, (9, 5))
    replica.merge(to_rows(build_member(incarnation=9, sequence=8)), now=0)
    row = replica.members()[0]
    assert (row.state, row.version) == (DRAINING, (9, 9))


def test_newer_configuration_replaces_the_older_in_both_directions():
    newer = Configuration(version=5, operation='o', text='[site]')
    older = newer.replace(version=4)
    for initiator_has, responder_has in ((newer, older), (older, newer)):
        initiator, responder = build_replica(1), build_replica(2)
        initiator.update_configuration(initiator_has)
        responder.update_configuration(responder_has)
        swap(initiator, responder)
        assert initiator.configuration == newer
        assert responder.configuration == newer
        assert not initiator.update_configuration(older)


def test_only_newer_rows_from_a_peer_are_pushed():
    replica = build_replica(1)
    row = build_member(sequence=2)
    replica.merge(to_rows(row), now=0)
    pushes = [replica.build_push(peer_count=3, now=0) for _ in range(4)]
    assert [len(push.rows) for push in pushes if push] == [1, 1, 1]
    replica.merge(to_rows(row, build_member(sequence=1)), now=0)
    assert not replica.has_pending_push
