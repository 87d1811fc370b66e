"""Test requests and responses through a flow."""

import pytest

from bluebellfold.callers.quic.flow import BODY_BUFFER_LIMIT_BYTES
from bluebellfold.callers.quic.requests import MAX_UNACKNOWLEDGED_BYTES
from bluebellfold.callers.quic.tests.requests_harness import (
    CHUNK,
    RequestsHarness,
)
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


def key_of(harness) -> int:
    return harness.actor.of_type(Submit)[-1].request.key


def refuse(harness, key, reason=reasons.DRAINING):
    harness.requests.handle_response(
        ResponseEnd(key=key, outcome=NotRun(reason=reason))
    )
    harness.exchange_all()


def test_body_and_trailers_are_submitted_and_the_response_is_sent():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=False)
    harness.http.send_data(stream_id, b'abc', end_stream=False)
    harness.http.send_headers(stream_id, [(b'sum', b'1')], end_stream=True)
    harness.exchange_all()
    assert len(harness.actor.of_type(Submit)) == 1
    parts = [message.part for message in harness.actor.of_type(SubmitBody)]
    assert b''.join(part.payload for part in parts) == b'abc'
    assert [part.last for part in parts].index(True) == len(parts) - 1
    key = key_of(harness)
    harness.requests.handle_response(
        ResponseHead(key=key, status=200, fields=())
    )
    harness.requests.handle_response(ResponseBody(key=key, payload=b'yes'))
    harness.requests.handle_response(
        ResponseEnd(key=key, outcome=Answered(status=200))
    )
    harness.exchange_all()
    assert harness.responses[stream_id] == ({b':status': b'200'}, b'yes', True)


def test_body_of_a_refused_request_is_ignored():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=False)
    harness.http.send_data(stream_id, PART, end_stream=False)
    harness.exchange_all()
    refuse(harness, key_of(harness))
    harness.http.send_data(stream_id, PART, end_stream=False)
    harness.http.send_headers(stream_id, [(b'sum', b'1')], end_stream=True)
    harness.exchange_all()
    head, _, ended = harness.responses[stream_id]
    assert ended
    assert head[b':status'] == b'503'
    assert head[b'bluebellfold-outcome'] == b'not-run'
    assert head[b'bluebellfold-reason'] == b'draining'
    assert len(harness.actor.of_type(Submit)) == 1
    assert not len(harness.requests)


def test_unknown_outcome_is_reported_to_the_client():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=True)
    harness.exchange_all()
    cut = Unknown(reason=reasons.CUT)
    harness.requests.handle_response(
        ResponseEnd(key=key_of(harness), outcome=cut)
    )
    harness.exchange_all()
    head, _, ended = harness.responses[stream_id]
    assert ended
    assert head[b':status'] == b'502'
    assert head[b'bluebellfold-outcome'] == b'unknown'


def test_incomplete_response_resets_its_stream():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=True)
    harness.exchange_all()
    key = key_of(harness)
    harness.requests.handle_response(
        ResponseHead(key=key, status=200, fields=())
    )
    harness.requests.handle_response(ResponseBody(key=key, payload=b'ha'))
    cut = Unknown(reason=reasons.CUT)
    harness.requests.handle_response(ResponseEnd(key=key, outcome=cut))
    harness.exchange_all()
    assert stream_id in harness.resets
    _, _, ended = harness.responses.get(stream_id, ({}, b'', False))
    assert not ended


def test_interleaved_responses_reach_their_own_streams():
    harness = RequestsHarness()
    streams = [harness.start_request(last=True) for _ in range(3)]
    harness.exchange_all()
    keys = [submit.request.key for submit in harness.actor.of_type(Submit)]
    for key in reversed(keys):
        harness.requests.handle_response(
            ResponseHead(key=key, status=200, fields=())
        )
    for key in keys:
        body = ResponseBody(key=key, payload=b'%d' % key)
        harness.requests.handle_response(body)
        answered = Answered(status=200)
        harness.requests.handle_response(ResponseEnd(key=key, outcome=answered))
        # Messages after the end are ignored.
        assert harness.requests.handle_response(body) is None
    harness.exchange_all()
    bodies = [harness.responses[stream_id][1] for stream_id in streams]
    assert bodies == [b'%d' % key for key in keys]


def test_stream_reset_cancels_the_request():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=True)
    harness.exchange_all()
    harness.quic.reset_stream(stream_id, 0x10C)
    harness.quic.stop_stream(stream_id, 0x10C)
    harness.exchange_all()
    assert harness.actor.of_type(CancelRequest) == [
        CancelRequest(key=key_of(harness))
    ]
    refuse(harness, key_of(harness))
    assert stream_id not in harness.responses


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
def test_deadline_is_the_earlier_of_kind_and_request(stated, seconds):
    harness = RequestsHarness()
    harness.start_request(
        last=True, fields=[(b'bluebellfold-deadline-ms', stated)]
    )
    harness.exchange_all()
    request = harness.actor.of_type(Submit)[0].request
    allowed = request.deadline_at - request.arrived_at
    assert allowed == pytest.approx(seconds)


def test_no_session_ticket_is_issued():
    harness = RequestsHarness()
    harness.start_request(last=True)
    harness.exchange_all()
    assert harness.actor.of_type(Submit)
    assert not harness.tickets


def submitted_bytes(harness) -> int:
    return sum(
        len(message.part.payload)
        for message in harness.actor.of_type(SubmitBody)
    )


def confirm_all(harness, confirmed: int) -> int:
    submitted = submitted_bytes(harness)
    key = key_of(harness)
    size = submitted - confirmed
    harness.requests.handle_response(BodyBytesSent(key=key, size_bytes=size))
    return submitted


def test_large_upload_is_limited_by_a_slow_upstream():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=False)
    total = 16 * 1024 * 1024
    harness.http.send_data(stream_id, bytes(total), end_stream=True)
    confirmed = 0
    max_pending = 0
    while confirmed < total:
        harness.exchange_all(rounds=2000)
        pending = submitted_bytes(harness) - confirmed
        assert pending
        max_pending = max(max_pending, pending)
        confirmed = confirm_all(harness, confirmed)
    assert max_pending <= 1024 * 1024 + 2 * BODY_BUFFER_LIMIT_BYTES


def test_large_response_waits_for_a_slow_client():
    harness = RequestsHarness()
    stream_id = harness.start_request(last=True)
    harness.exchange_all()
    key = key_of(harness)
    harness.requests.handle_response(
        ResponseHead(key=key, status=200, fields=())
    )
    parts = 0
    harness.receiving_paused = True
    while (
        sum(
            message.parts
            for message in harness.actor.of_type(ResponseForwarded)
        )
        == parts
    ):
        harness.requests.handle_response(ResponseBody(key=key, payload=PART))
        parts += 1
        harness.exchange_all()
        assert parts <= MAX_UNACKNOWLEDGED_BYTES // len(PART) + 1
    harness.receiving_paused = False
    harness.exchange_all(rounds=2000)
    assert (
        sum(
            message.parts
            for message in harness.actor.of_type(ResponseForwarded)
        )
        == parts
    )
    answered = Answered(status=200)
    harness.requests.handle_response(ResponseEnd(key=key, outcome=answered))
    harness.exchange_all(rounds=2000)
    assert len(harness.responses[stream_id][1]) == parts * len(PART)
