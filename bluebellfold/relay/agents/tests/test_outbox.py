"""Test that joined messages arrive whole, and replay a return of all flows."""

from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.agents import (
    FlowLookup,
    Outbox,
    encode_message,
    split_datagram,
)
from bluebellfold.relay.agents.outbox import JOINED, MAX_JOINED_BYTES

ADDRESSES = [(f'10.0.0.{number}', 8172) for number in range(3)]
# No message of the codec begins with the number of joined messages.
ENCODED = st.binary(min_size=1, max_size=1_100).filter(
    lambda encoded: encoded[0] != JOINED
)


class Sent:
    """Record datagrams."""

    def __init__(self):
        self.datagrams = []

    def send(self, datagram, address):
        self.datagrams.append((address, datagram))
        return True

    def messages_to(self, address):
        return [
            encoded
            for receiver, datagram in self.datagrams
            if receiver == address
            for encoded in split_datagram(datagram)
        ]


@given(st.lists(st.tuples(st.sampled_from(ADDRESSES), ENCODED)))
def test_each_address_gets_its_messages_in_order(added):
    sent = Sent()
    outbox = Outbox(send=sent.send)
    for receiver, message in added:
        outbox.add(message, receiver)
    assert outbox.flush() == 0
    for address in ADDRESSES:
        wanted = [encoded for other, encoded in added if other == address]
        assert sent.messages_to(address) == wanted
    sizes = [len(datagram) for _, datagram in sent.datagrams]
    assert max(sizes, default=0) <= MAX_JOINED_BYTES
    assert outbox.flush() == 0
    assert len(sent.datagrams) == len(sizes), 'sent again'


@given(st.binary(max_size=100))
def test_any_datagram_is_split_without_an_exception(datagram):
    for cut in (datagram, bytes((JOINED,)) + datagram):
        assert sum(map(len, split_datagram(cut))) <= len(cut)


def test_single_message_is_sent_as_it_is():
    sent = Sent()
    outbox = Outbox(send=sent.send)
    outbox.add(b'one', ADDRESSES[0])
    outbox.flush()
    assert sent.datagrams == [(ADDRESSES[0], b'one')]


def test_refused_datagrams_are_counted():
    outbox = Outbox(send=lambda datagram, address: False)
    for address in ADDRESSES:
        outbox.add(b'x', address)
    assert outbox.flush() == len(ADDRESSES)


def test_searches_of_one_turn_cost_one_datagram_an_agent():
    # After a power loss a balancer looks 40 flows up at each of 76 agents.
    agents = [(f'10.0.1.{number}', 8172) for number in range(76)]
    sent = Sent()
    outbox = Outbox(send=sent.send)
    for flow in range(40):
        query = FlowLookup(flow=flow.to_bytes(12), acknowledged=7)
        for agent in agents:
            outbox.add(encode_message(query), agent)
    outbox.flush()
    assert len(sent.datagrams) == len(agents)
