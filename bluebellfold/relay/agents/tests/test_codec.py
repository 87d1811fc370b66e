"""Test the encoding of the messages between balancers and agents."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import Message, Sentinel
from bluebellfold.platform import decode_client_packet
from bluebellfold.relay.agents import (
    Carry,
    Declined,
    Denied,
    Held,
    Hello,
    MayHold,
    NotHeld,
    Offer,
    Seek,
    Served,
    Versions,
    decode_message,
)
from bluebellfold.relay.tests.scene import report_of, through_the_wire
from bluebellfold.standins.packets import client_packet, opening_packet

PACKET = client_packet(flags=8, payload=b'x' * 1200)


@pytest.mark.parametrize(
    'message',
    [
        Carry(packet=PACKET),
        Seek(flow=PACKET.flow, acknowledged=7),
        Denied(flow=PACKET.flow),
        MayHold(flow=PACKET.flow),
        NotHeld(packet=PACKET),
        Offer(packet=opening_packet(), service='counter', most_busy=7),
        Declined(packet=opening_packet(), reason=3),
        Held(flow=PACKET.flow),
        Hello(
            idle_seconds=15,
            offers_sent=7,
            versions=Versions(configuration=12, agents=3),
        ),
        report_of(
            busy=3,
            flows=99,
            warming=True,
            served=Served(work_seconds=0.5, failure_share=0.25),
            versions=Versions(configuration=-1, agents=-1),
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_decoded_message_equals_the_encoded_one(message):
    assert through_the_wire(message) == message


@given(st.binary(max_size=200))
def test_any_datagram_decodes_without_an_exception(datagram):
    decoded = decode_message(
        datagram,
        read_packet=decode_client_packet,
    )
    assert isinstance(decoded, Message | Sentinel)
