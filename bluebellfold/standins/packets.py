"""Encode packets of clients and upstreams in the platform's format."""

import socket
import struct

from bluebellfold.core import Packet
from bluebellfold.platform import decode_packet

HEADER = struct.Struct('>IIIIH4sH4sHBB')
OPEN = 32
FINISH = 16
ACKNOWLEDGE = 8
RESET = 4
RETURNED = 2
FLAGS_INDEX = 9
# Only the client and the upstream compute checksums. Tests use any fixed
# number to check that it is preserved.
CHECKSUM = 0xA1B2C3D5

CLIENT = ('100.64.0.7', 40_001)
SERVICE = ('198.18.0.1', 443)
Address = tuple[str, int]


def encode_packet(
    *,
    source: Address = CLIENT,
    destination: Address = SERVICE,
    flags: int = 0,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b'',
    tag: int = 0,
) -> bytes:
    """Encode a packet."""
    header = HEADER.pack(
        tag,
        CHECKSUM,
        sequence,
        acknowledged,
        destination[1],
        socket.inet_aton(destination[0]),
        source[1],
        socket.inet_aton(source[0]),
        len(payload),
        flags,
        0,
    )
    return header + payload


def client_packet(**fields) -> Packet:
    """Return a decoded packet sent by a client."""
    return decode_packet(encode_packet(**fields), from_client=True)


def opening_packet(*, attempt: int = 0, client: Address = CLIENT) -> Packet:
    """Return the opening packet of a client, or a repeat of it."""
    return client_packet(source=client, flags=OPEN, acknowledged=attempt)


def upstream_packet(*, client: Address = CLIENT, **fields) -> Packet:
    """Return a decoded packet sent by an upstream to a client."""
    raw = encode_packet(source=SERVICE, destination=client, **fields)
    return decode_packet(raw, from_client=False)


def returned_packet(packet: Packet, *, tag: int) -> Packet:
    """Return the decoded form of a client packet returned by an upstream."""
    return decode_packet(
        encode_returned_packet(packet, tag=tag), from_client=False
    )


def encode_returned_packet(packet: Packet, *, tag: int) -> bytes:
    """Encode a client packet that an upstream returns."""
    header = list(HEADER.unpack(packet.raw[: HEADER.size]))
    header[0] = tag
    header[FLAGS_INDEX] |= RETURNED
    return HEADER.pack(*header) + packet.raw[HEADER.size :]
