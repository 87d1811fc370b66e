"""Test the decoding and encoding of packet headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import Packet, format_flow, pack_address
from bluebellfold.platform import (
    MALFORMED,
    decode_packet,
    encode_reset,
    find_request_bytes,
    find_request_id,
    find_status,
    tag_packet,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    FINISH,
    OPEN,
    RESET,
    RETURNED,
    client_packet,
    encode_packet,
    opening_packet,
    returned_packet,
    upstream_packet,
)

# A published example: an opening packet, and the reset of its flow.
OPENING = bytes.fromhex(
    '00000000a1b2c3d5112233440000000001bbc61200019c416440000700002000',
)
RESET_OF_OPENING = bytes.fromhex(
    '000000000000000000000000000000009c416440000701bbc612000100000400',
)


def test_example_opening_packet_is_decoded():
    packet = decode_packet(OPENING, from_client=True)
    assert packet
    assert format_flow(packet.flow) == '100.64.0.7:40001>198.18.0.1:443'
    assert packet.opens
    assert not packet.accepts
    assert packet.sequence == 0x11223344


def test_example_reset_is_encoded():
    packet = decode_packet(OPENING, from_client=True)
    assert packet
    assert encode_reset(packet) == RESET_OF_OPENING


def test_reset_of_open_flow_has_acknowledged_sequence():
    packet = client_packet(flags=ACKNOWLEDGE, acknowledged=77_000)
    reset = decode_packet(encode_reset(packet), from_client=False)
    assert reset
    assert reset.resets
    assert reset.sequence == 77_000
    assert reset.flow == packet.flow


def test_flow_key_is_the_same_in_both_directions():
    sent = client_packet(flags=ACKNOWLEDGE)
    reply = upstream_packet(flags=OPEN | ACKNOWLEDGE)
    assert sent.flow == reply.flow
    assert reply.accepts
    assert not reply.opens


def test_returned_packet_has_the_flow_of_its_client():
    packet = opening_packet()
    returned = returned_packet(packet, tag=7)
    assert returned.returned
    assert returned.opens
    assert returned.flow == packet.flow
    assert returned.tag == 7


def test_retagged_packet_differs_in_its_tag_only():
    packet = opening_packet()
    retagged = tag_packet(returned_packet(packet, tag=7), 9)
    # The system sets the tag; the remaining bytes must be unchanged.
    assert retagged[4:] == packet.raw[4:]
    assert retagged[:4] == (9).to_bytes(4)


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        OPENING[:-1],
        OPENING + b'x',
        encode_packet(payload=b'x' * 1201),
    ],
)
def test_packet_of_invalid_length_is_malformed(raw):
    assert decode_packet(raw, from_client=True) is MALFORMED


@given(st.binary(max_size=1300), st.booleans())
def test_arbitrary_datagram_is_a_packet_or_malformed(raw, from_client):
    decoded = decode_packet(raw, from_client=from_client)
    assert decoded is MALFORMED or isinstance(decoded, Packet)


@pytest.mark.parametrize(
    ('flags', 'field'),
    [(FINISH, 'finishes'), (RESET, 'resets'), (RETURNED, 'returned')],
)
def test_flags_are_decoded(flags, field):
    assert getattr(client_packet(flags=flags), field)
    assert not getattr(client_packet(flags=ACKNOWLEDGE), field)


def test_request_id_and_status_are_found_in_payload():
    request = client_packet(
        payload=b'GET / HTTP/1.1\r\nbluebellfold-request-id: r-17\r\n\r\n',
    )
    assert find_request_id(request) == 'r-17'
    assert not find_request_id(client_packet(payload=b'more of a body'))
    response = upstream_packet(payload=b'HTTP/1.1 503 Busy\r\n\r\n')
    assert find_status(response) == 503
    assert find_status(upstream_packet(payload=b'more')) == 0


def test_pack_address_uses_the_packet_format():
    flow = opening_packet().flow
    assert flow[:6] == pack_address('198.18.0.1', 443)


@pytest.mark.parametrize(
    ('payload', 'expected'),
    [
        (b'GET / HTTP/1.1\r\nHost: a\r\n\r\n', 27),
        (b'POST / HTTP/1.1\r\nContent-Length: 40\r\n\r\nbody', 79),
        (b'POST / HTTP/1.1\r\nContent-Length: 40\r\n', None),
        (b'', None),
    ],
)
def test_request_length_is_read_from_its_head(payload, expected):
    packet = client_packet(flags=ACKNOWLEDGE, payload=payload)
    assert find_request_bytes(packet) == expected
