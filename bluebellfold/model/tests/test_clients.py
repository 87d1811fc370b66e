"""Test that model clients detect responses to other requests."""

from bluebellfold.model.clients import ModelFlow, ModelRequest
from bluebellfold.model.recorder import OutcomeRecorder
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import SUCCEEDED, encode_accept, encode_response
from bluebellfold.platform import decode_client_packet, decode_packet


class RecordingEnvironment:
    """Record the packets that a client sends."""

    def __init__(self):
        self.timeline = Timeline()
        self.recorder = OutcomeRecorder()
        self.sent = []

    def send_to_balancer(self, raw, flow):
        self.sent.append(decode_client_packet(raw))

    def allocate_port(self):
        return 2000


def from_upstream(raw):
    return decode_packet(raw, from_client=False)


def flow_with_request():
    environment = RecordingEnvironment()
    flow = ModelFlow(
        environment=environment,
        request=ModelRequest(number=5, issued_at=0),
        request_count=1,
    )
    flow.open()
    environment.timeline.run_until(0)
    flow.handle_packet(from_upstream(encode_accept(environment.sent[-1], 70)))
    return environment, flow


def test_response_to_own_request_is_accepted():
    environment, flow = flow_with_request()
    response = encode_response(environment.sent[-1], SUCCEEDED, sequence=71)
    flow.handle_packet(from_upstream(response))
    assert environment.recorder.statistics().requests == 0
    assert not environment.recorder.violations
    assert flow.is_closed


def test_response_to_unsent_request_is_a_violation():
    # This includes a response to an earlier attempt on another flow.
    environment, flow = flow_with_request()
    request = environment.sent[-1]
    other_raw = request.raw[:-1] + b'\x00'
    response = encode_response(
        decode_client_packet(other_raw), SUCCEEDED, sequence=71
    )
    flow.handle_packet(from_upstream(response))
    assert environment.recorder.violations
