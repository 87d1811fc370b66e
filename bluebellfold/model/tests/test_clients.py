"""Test what clients of the model take for a wrong answer."""

from bluebellfold.model.clients import ModelFlow, Wish
from bluebellfold.model.ledger import Ledger
from bluebellfold.model.timeline import Timeline
from bluebellfold.model.wire import ANSWERED, answer_to, grant_to
from bluebellfold.platform import decode_client_packet, decode_packet


class Surroundings:
    """Keep what one client sends."""

    def __init__(self):
        self.timeline = Timeline()
        self.ledger = Ledger()
        self.sent = []

    def to_balancer(self, raw, flow):
        self.sent.append(decode_client_packet(raw))

    def next_port(self):
        return 2000


def from_upstream(raw):
    return decode_packet(raw, from_client=False)


def flow_that_asked():
    around = Surroundings()
    flow = ModelFlow(around=around, wish=Wish(number=5, asked_at=0), requests=1)
    flow.begin()
    around.timeline.run_until(0)
    flow.take(from_upstream(grant_to(around.sent[-1], 70)))
    return around, flow


def test_answer_of_its_own_request_is_served():
    around, flow = flow_that_asked()
    answer = answer_to(around.sent[-1], ANSWERED, sequence=71)
    flow.take(from_upstream(answer))
    assert around.ledger.sum_up().asked == 0
    assert not around.ledger.broken
    assert flow.ended


def test_answer_of_a_request_that_the_flow_never_sent_is_a_breach():
    # Also of an earlier one, which went out on another flow.
    around, flow = flow_that_asked()
    asked = around.sent[-1]
    other = asked.raw[:-1] + b'\x00'
    answer = answer_to(decode_client_packet(other), ANSWERED, sequence=71)
    flow.take(from_upstream(answer))
    assert around.ledger.broken
