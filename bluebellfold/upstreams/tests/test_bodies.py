"""Test the buffer of request bodies against a plain list."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.upstreams import BodyPart
from bluebellfold.upstreams.bodies import REPLAY_LIMIT_BYTES, BodyBuffer

WINDOW = 3
sizes = st.sampled_from([0, 1, 100, 30_000, 70_000])
steps = st.lists(
    st.one_of(
        st.tuples(st.just('add'), sizes),
        st.tuples(st.just('next'), st.none()),
        st.tuples(st.just('taken'), st.none()),
        st.tuples(st.just('rewind'), st.none()),
    ),
    max_size=40,
)


def drained(body: BodyBuffer) -> list[BodyPart]:
    parts = []
    part = body.next_part()
    while part is not None:
        parts.append(part)
        body.acknowledge_part()
        part = body.next_part()
    return parts


class NaiveBody:
    """Know all that was added, and what this attempt was fed of it."""

    def __init__(self) -> None:
        self.body = BodyBuffer(window=WINDOW)
        self.added = b''
        self.fed = b''
        self.accepted = 0
        self.under_way = 0

    def add(self, size):
        payload = bytes([len(self.added) % 251]) * size
        self.body.add(BodyPart(payload=payload, last=False))
        self.added += payload

    def next(self, _):
        part = self.body.next_part()
        if part is not None:
            assert self.under_way < WINDOW
            self.fed += part.payload
            self.under_way += 1

    def taken(self, _):
        self.accepted += self.body.acknowledge_part()
        self.under_way = max(0, self.under_way - 1)

    def rewind(self, _):
        kept = len(self.fed) <= REPLAY_LIMIT_BYTES
        assert self.body.rewind() == kept
        if kept:
            self.fed = b''
            self.under_way = 0


@settings(derandomize=True, deadline=None, max_examples=200)
@given(steps=steps)
def test_every_attempt_gets_the_body_in_order(steps):
    naive = NaiveBody()
    for name, size in steps:
        getattr(naive, name)(size)
        assert naive.added.startswith(naive.fed)
        assert naive.accepted <= len(naive.added)
    while naive.under_way:
        naive.taken(None)
    naive.body.add(BodyPart(payload=b'', last=True))
    rest = drained(naive.body)
    joined = b''.join(part.payload for part in rest)
    assert naive.fed + joined == naive.added
    assert rest.pop().last
    assert not any(part.last for part in rest)


def test_each_byte_is_accepted_once_though_it_is_sent_twice():
    body = BodyBuffer(window=WINDOW)
    body.add(BodyPart(payload=b'abc', last=False))
    body.next_part()
    assert body.acknowledge_part() == 3
    body.rewind()
    body.add(BodyPart(payload=b'de', last=True))
    assert body.next_part().payload == b'abcde'
    assert body.acknowledge_part() == 2


def test_confirmation_that_comes_late_accepts_nothing():
    body = BodyBuffer(window=WINDOW)
    assert body.acknowledge_part() == 0
