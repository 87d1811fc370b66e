"""Test the buffer of request bodies against a plain byte string."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.upstreams import BodyPart
from bluebellfold.upstreams.body_buffer import REPLAY_LIMIT_BYTES, BodyBuffer

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


def remaining_parts(body: BodyBuffer) -> list[BodyPart]:
    parts = []
    part = body.next_part()
    while part is not None:
        parts.append(part)
        body.acknowledge_part()
        part = body.next_part()
    return parts


class ReferenceBody:
    """Track the bytes added and the bytes sent in the current attempt."""

    def __init__(self) -> None:
        self.body = BodyBuffer(window=WINDOW)
        self.added = b''
        self.sent = b''
        self.reported_bytes = 0
        self.in_flight = 0

    def add(self, size):
        payload = bytes([len(self.added) % 251]) * size
        self.body.add(BodyPart(payload=payload, last=False))
        self.added += payload

    def next(self, _):
        part = self.body.next_part()
        if part is not None:
            assert self.in_flight < WINDOW
            self.sent += part.payload
            self.in_flight += 1

    def taken(self, _):
        """Acknowledge the oldest part in flight."""
        self.reported_bytes += self.body.acknowledge_part()
        self.in_flight = max(0, self.in_flight - 1)

    def rewind(self, _):
        kept = len(self.sent) <= REPLAY_LIMIT_BYTES
        assert self.body.rewind() == kept
        if kept:
            self.sent = b''
            self.in_flight = 0


@settings(derandomize=True, deadline=None, max_examples=200)
@given(steps=steps)
def test_each_attempt_gets_the_whole_body_in_order(steps):
    reference = ReferenceBody()
    for name, size in steps:
        getattr(reference, name)(size)
        assert reference.added.startswith(reference.sent)
        assert reference.reported_bytes <= len(reference.added)
    while reference.in_flight:
        reference.taken(None)
    reference.body.add(BodyPart(payload=b'', last=True))
    remaining = remaining_parts(reference.body)
    joined = b''.join(part.payload for part in remaining)
    assert reference.sent + joined == reference.added
    assert remaining.pop().last
    assert not any(part.last for part in remaining)


def test_resent_bytes_are_reported_once():
    body = BodyBuffer(window=WINDOW)
    body.add(BodyPart(payload=b'abc', last=False))
    body.next_part()
    assert body.acknowledge_part() == 3
    body.rewind()
    body.add(BodyPart(payload=b'de', last=True))
    assert body.next_part().payload == b'abcde'
    assert body.acknowledge_part() == 2


def test_acknowledgement_without_parts_in_flight_reports_no_bytes():
    body = BodyBuffer(window=WINDOW)
    assert body.acknowledge_part() == 0
