"""Encode and decode the packets of model clients and upstreams."""

import socket

from bluebellfold.core import Packet, client_host
from bluebellfold.standins.packets import ACKNOWLEDGE, OPEN, encode_packet

# First byte of a response; the id of the attempt follows.
SUCCEEDED = b'+'
REJECTED = b'-'
STATUS_SUCCEEDED = 200
STATUS_REJECTED = 503


def encode_accept(packet: Packet, sequence: int) -> bytes:
    """Return an upstream's reply that accepts an opening packet."""
    return _encode_from_upstream(
        packet, flags=OPEN | ACKNOWLEDGE, sequence=sequence
    )


def encode_response(packet: Packet, outcome: bytes, *, sequence: int) -> bytes:
    """Return an upstream's response to a request."""
    return _encode_from_upstream(
        packet,
        flags=ACKNOWLEDGE,
        sequence=sequence,
        payload=outcome + payload_of(packet),
    )


def payload_of(packet: Packet) -> bytes:
    """Return the payload of a packet."""
    return packet.raw[len(packet.raw) - packet.payload_bytes :]


def status_of(packet: Packet) -> int:
    """Return the HTTP status code of a response."""
    succeeded = payload_of(packet)[:1] == SUCCEEDED
    return STATUS_SUCCEEDED if succeeded else STATUS_REJECTED


def _encode_from_upstream(packet: Packet, **fields: object) -> bytes:
    flow = packet.flow
    return encode_packet(
        source=(socket.inet_ntoa(flow[2:6]), int.from_bytes(flow[:2])),
        destination=(client_host(flow), int.from_bytes(flow[6:8])),
        acknowledged=packet.sequence + packet.payload_bytes,
        **fields,
    )
