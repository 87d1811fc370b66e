"""Decode and encode the header of the platform's packets."""

import re
import struct

from bluebellfold.core import Packet, Sentinel, service_address

# Tag, checksum, sequence, acknowledged; packed port and address of the
# destination and of the source; payload length, flags, padding.
HEADER = struct.Struct('>IIII6s6sHBB')
MAX_PAYLOAD_BYTES = 1200

OPEN = 32
FINISH = 16
ACKNOWLEDGE = 8
RESET = 4
RETURNED = 2
HANDSHAKE_FLAGS = OPEN | ACKNOWLEDGE

_TAG = struct.Struct('>I')
_FLAGS_AND_PADDING = struct.Struct('>BB')
_FLAGS_OFFSET = HEADER.size - _FLAGS_AND_PADDING.size

MALFORMED = Sentinel(
    name='malformed-packet',
    reason='the length of the datagram or of its payload is invalid',
)

_REQUEST_ID = re.compile(rb'(?i)\r\nbluebellfold-request-id:[ \t]*([^\r\n]*)')
_STATUS = re.compile(rb'HTTP/1\.1 (\d{3}) ')
_REQUEST_HEAD = re.compile(rb'(?s).*?\r\n\r\n')
_CONTENT_LENGTH = re.compile(rb'(?i)\r\ncontent-length:[ \t]*(\d+)')


def decode_packet(raw: bytes, *, from_client: bool) -> Packet | Sentinel:
    """Return the packet, or MALFORMED.

    ``from_client`` is true on the sockets that receive from clients. A client's
    packet that an upstream returns arrives with the upstream's own packets and
    is recognized by its flag.
    """
    payload_bytes = len(raw) - HEADER.size
    if not 0 <= payload_bytes <= MAX_PAYLOAD_BYTES:
        return MALFORMED
    # The platform calls the tag `echo`; a returned packet carries it
    # unchanged. Only the endpoints compute and verify the checksum, `sum`.
    # `len` is the length of the payload without the header.
    header = HEADER.unpack(raw[: HEADER.size])
    destination, source, declared_bytes, flags = header[4:8]
    if declared_bytes != payload_bytes:
        return MALFORMED
    returned = bool(flags & RETURNED)
    sent_by_client = from_client or returned
    return Packet(
        flow=destination + source if sent_by_client else source + destination,
        raw=raw,
        sequence=header[2],
        acknowledged=header[3],
        payload_bytes=payload_bytes,
        opens=flags & HANDSHAKE_FLAGS == OPEN,
        accepts=flags & HANDSHAKE_FLAGS == HANDSHAKE_FLAGS,
        finishes=bool(flags & FINISH),
        resets=bool(flags & RESET),
        returned=returned,
        tag=header[0],
    )


def decode_client_packet(raw: bytes) -> Packet | Sentinel:
    """Return the packet of a client, or MALFORMED."""
    return decode_packet(raw, from_client=True)


def tag_packet(packet: Packet, tag: int) -> bytes:
    """Return the bytes of a client's packet with a tag, for an upstream."""
    raw = packet.raw
    if packet.returned:
        flags_and_padding = _FLAGS_AND_PADDING.pack(
            raw[_FLAGS_OFFSET] & ~RETURNED, 0
        )
        raw = b''.join(
            (raw[:_FLAGS_OFFSET], flags_and_padding, raw[HEADER.size :])
        )
    return _TAG.pack(tag) + raw[_TAG.size :]


def encode_reset(packet: Packet) -> bytes:
    """Return the packet that resets a flow, for its client."""
    service = service_address(packet.flow)
    client = packet.flow[len(service) :]
    sequence = _reset_sequence(packet)
    return HEADER.pack(0, 0, sequence, 0, client, service, 0, RESET, 0)


def find_request_id(packet: Packet) -> str:
    """Return the id of the request that starts in a packet, or ''."""
    match = _REQUEST_ID.search(packet.raw, HEADER.size)
    return match[1].decode('ascii', 'replace') if match else ''


def find_request_bytes(packet: Packet) -> int | None:
    """Return the length in bytes of the request that starts in a packet.

    Return None if the packet doesn't contain the whole request head.
    """
    head = _REQUEST_HEAD.match(packet.raw, HEADER.size)
    if head is None:
        return None
    length = _CONTENT_LENGTH.search(packet.raw, HEADER.size, head.end())
    body_bytes = int(length[1]) if length else 0
    return head.end() - HEADER.size + body_bytes


def find_status(packet: Packet) -> int:
    """Return the status of the response that starts in a packet, or 0."""
    match = _STATUS.match(packet.raw, HEADER.size)
    return int(match[1]) if match else 0


def _reset_sequence(packet: Packet) -> int:
    # The client accepts a reset of an open flow only close to the sequence
    # that it acknowledged. In an opening packet the field counts the copies.
    return 0 if packet.opens else packet.acknowledged
