"""Test the way of requests and answers through a flow."""

import pytest

from bluebellfold.callers.quic.flow import HELD_BODY_BYTES
from bluebellfold.callers.quic.requests import UNSENT_LIMIT_BYTES
from bluebellfold.callers.quic.tests.pair import CHUNK, Pair
from bluebellfold.upstreams import (
    Answered,
    BodyBytesSent,
    CancelRequest,
    NotRun,
    ResponseBody,
    ResponseEnd,
    ResponseForwarded,
    ResponseHead,
    Submit,
    SubmitBody,
    Unknown,
)
from bluebellfold.upstreams import outcomes as reasons

PART = bytes(16_384)


def key_of(pair) -> int:
    return pair.actor.of(Submit)[-1].request.key


def refuse(pair, key, reason=reasons.DRAINING):
    pair.requests.answer(ResponseEnd(key=key, outcome=NotRun(reason=reason)))
    pair.run()


def test_body_and_trailers_go_up_and_an_answer_comes_down():
    pair = Pair()
    stream_id = pair.start(last=False)
    pair.http.send_data(stream_id, b'abc', end_stream=False)
    pair.http.send_headers(stream_id, [(b'sum', b'1')], end_stream=True)
    pair.run()
    assert len(pair.actor.of(Submit)) == 1
    parts = [message.part for message in pair.actor.of(SubmitBody)]
    assert b''.join(part.payload for part in parts) == b'abc'
    assert [part.last for part in parts].index(True) == len(parts) - 1
    key = key_of(pair)
    pair.requests.answer(ResponseHead(key=key, status=200, fields=()))
    pair.requests.answer(ResponseBody(key=key, payload=b'yes'))
    pair.requests.answer(ResponseEnd(key=key, outcome=Answered(status=200)))
    pair.run()
    assert pair.answers[stream_id] == ({b':status': b'200'}, b'yes', True)


def test_refusal_while_the_body_and_trailers_still_arrive():
    pair = Pair()
    stream_id = pair.start(last=False)
    pair.http.send_data(stream_id, PART, end_stream=False)
    pair.run()
    refuse(pair, key_of(pair))
    pair.http.send_data(stream_id, PART, end_stream=False)
    pair.http.send_headers(stream_id, [(b'sum', b'1')], end_stream=True)
    pair.run()
    head, _, ended = pair.answers[stream_id]
    assert ended
    assert head[b':status'] == b'503'
    assert head[b'bluebellfold-outcome'] == b'not-run'
    assert head[b'bluebellfold-reason'] == b'draining'
    assert len(pair.actor.of(Submit)) == 1
    assert not len(pair.requests)


def test_unknown_outcome_is_told_as_such():
    pair = Pair()
    stream_id = pair.start(last=True)
    pair.run()
    cut = Unknown(reason=reasons.CUT)
    pair.requests.answer(ResponseEnd(key=key_of(pair), outcome=cut))
    pair.run()
    head, _, ended = pair.answers[stream_id]
    assert ended
    assert head[b':status'] == b'502'
    assert head[b'bluebellfold-outcome'] == b'unknown'


def test_cut_answer_never_looks_whole():
    pair = Pair()
    stream_id = pair.start(last=True)
    pair.run()
    key = key_of(pair)
    pair.requests.answer(ResponseHead(key=key, status=200, fields=()))
    pair.requests.answer(ResponseBody(key=key, payload=b'ha'))
    cut = Unknown(reason=reasons.CUT)
    pair.requests.answer(ResponseEnd(key=key, outcome=cut))
    pair.run()
    assert stream_id in pair.resets
    _, _, ended = pair.answers.get(stream_id, ({}, b'', False))
    assert not ended


def test_answers_that_cross_reach_their_own_streams():
    pair = Pair()
    streams = [pair.start(last=True) for _ in range(3)]
    pair.run()
    keys = [submit.request.key for submit in pair.actor.of(Submit)]
    for key in reversed(keys):
        pair.requests.answer(ResponseHead(key=key, status=200, fields=()))
    for key in keys:
        body = ResponseBody(key=key, payload=b'%d' % key)
        pair.requests.answer(body)
        answered = Answered(status=200)
        pair.requests.answer(ResponseEnd(key=key, outcome=answered))
        # What comes after the end has nowhere to go.
        assert pair.requests.answer(body) is None
    pair.run()
    bodies = [pair.answers[stream_id][1] for stream_id in streams]
    assert bodies == [b'%d' % key for key in keys]


def test_cancellation_withdraws_the_request():
    pair = Pair()
    stream_id = pair.start(last=True)
    pair.run()
    pair.quic.reset_stream(stream_id, 0x10C)
    pair.quic.stop_stream(stream_id, 0x10C)
    pair.run()
    assert pair.actor.of(CancelRequest) == [CancelRequest(key=key_of(pair))]
    refuse(pair, key_of(pair))
    assert stream_id not in pair.answers


@pytest.mark.parametrize(
    ('stated', 'seconds'),
    [
        (b'250', 0.25),
        (b'0', 0),
        (b'60000', CHUNK.deadline_seconds),
        (b'9' * 400, CHUNK.deadline_seconds),
        (b'9' * 5000, CHUNK.deadline_seconds),
        (b'-1', CHUNK.deadline_seconds),
        (b'soon', CHUNK.deadline_seconds),
        (b'', CHUNK.deadline_seconds),
    ],
)
def test_deadline_is_the_nearer_one(stated, seconds):
    pair = Pair()
    pair.start(last=True, fields=[(b'bluebellfold-deadline-ms', stated)])
    pair.run()
    request = pair.actor.of(Submit)[0].request
    held = request.deadline_at - request.arrived_at
    assert held == pytest.approx(seconds)


def test_no_session_ticket_is_issued_so_no_early_data_comes():
    pair = Pair()
    pair.start(last=True)
    pair.run()
    assert pair.actor.of(Submit)
    assert not pair.tickets


def submitted_bytes(pair) -> int:
    return sum(
        len(message.part.payload) for message in pair.actor.of(SubmitBody)
    )


def accept_all(pair, accepted: int) -> int:
    submitted = submitted_bytes(pair)
    key = key_of(pair)
    size = submitted - accepted
    pair.requests.answer(BodyBytesSent(key=key, size_bytes=size))
    return submitted


def test_large_upload_waits_for_a_slow_upstream_at_any_length():
    pair = Pair()
    stream_id = pair.start(last=False)
    total = 16 * 1024 * 1024
    pair.http.send_data(stream_id, bytes(total), end_stream=True)
    accepted = 0
    most_held = 0
    while accepted < total:
        pair.run(rounds=2000)
        held = submitted_bytes(pair) - accepted
        assert held
        most_held = max(most_held, held)
        accepted = accept_all(pair, accepted)
    assert most_held <= 1024 * 1024 + 2 * HELD_BODY_BYTES


def test_large_answer_waits_for_a_slow_caller():
    pair = Pair()
    stream_id = pair.start(last=True)
    pair.run()
    key = key_of(pair)
    pair.requests.answer(ResponseHead(key=key, status=200, fields=()))
    parts = 0
    pair.silent = True
    while sum(one.parts for one in pair.actor.of(ResponseForwarded)) == parts:
        pair.requests.answer(ResponseBody(key=key, payload=PART))
        parts += 1
        pair.run()
        assert parts <= UNSENT_LIMIT_BYTES // len(PART) + 1
    pair.silent = False
    pair.run(rounds=2000)
    assert sum(one.parts for one in pair.actor.of(ResponseForwarded)) == parts
    answered = Answered(status=200)
    pair.requests.answer(ResponseEnd(key=key, outcome=answered))
    pair.run(rounds=2000)
    assert len(pair.answers[stream_id][1]) == parts * len(PART)
