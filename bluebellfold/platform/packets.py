"""Decode and encode the head of the platform's packets."""

import re
import struct

from bluebellfold.core import Packet, Sentinel, service_address

# Tag, sum, sequence, acknowledged; the port and address of the destination
# and of the source as they are; size of the payload, flags, padding.
HEAD = struct.Struct('>IIII6s6sHBB')
MAX_PAYLOAD_BYTES = 1200

OPEN = 32
FINISH = 16
ACKNOWLEDGE = 8
RESET = 4
RETURNED = 2
OPENING = OPEN | ACKNOWLEDGE

_TAG = struct.Struct('>I')
_TAIL = struct.Struct('>BB')
_FLAGS_AT = HEAD.size - _TAIL.size

MALFORMED = Sentinel(
    name='malformed-packet',
    reason='the datagram is no packet: its length or its head is wrong',
)

_REQUEST_ID = re.compile(rb'(?i)\r\nbluebellfold-request-id:[ \t]*([^\r\n]*)')
_STATUS = re.compile(rb'HTTP/1\.1 (\d{3}) ')
_REQUEST_HEAD = re.compile(rb'(?s).*?\r\n\r\n')
_CONTENT_LENGTH = re.compile(rb'(?i)\r\ncontent-length:[ \t]*(\d+)')


def decode_packet(raw: bytes, *, from_client: bool) -> Packet | Sentinel:
    """Return the packet, or MALFORMED.

    An upstream gives a client's packet back on the socket of its own ones.
    """
    payload_bytes = len(raw) - HEAD.size
    if not 0 <= payload_bytes <= MAX_PAYLOAD_BYTES:
        return MALFORMED
    # `echo` comes back unchanged with a returned packet; `sum` is the
    # senders' own. `len` counts the payload only.
    head = HEAD.unpack(raw[: HEAD.size])
    destination, source, size, flags = head[4:8]
    if size != payload_bytes:
        return MALFORMED
    returned = bool(flags & RETURNED)
    toward_upstream = from_client or returned
    return Packet(
        flow=destination + source if toward_upstream else source + destination,
        raw=raw,
        sequence=head[2],
        acknowledged=head[3],
        payload_bytes=payload_bytes,
        opens=flags & OPENING == OPEN,
        accepts=flags & OPENING == OPENING,
        finishes=bool(flags & FINISH),
        resets=bool(flags & RESET),
        returned=returned,
        tag=head[0],
    )


def decode_client_packet(raw: bytes) -> Packet | Sentinel:
    """Return the packet of a client, or MALFORMED."""
    return decode_packet(raw, from_client=True)


def tag_packet(packet: Packet, tag: int) -> bytes:
    """Return a client's packet for an upstream, with a number put on it."""
    raw = packet.raw
    if packet.returned:
        tail = _TAIL.pack(raw[_FLAGS_AT] & ~RETURNED, 0)
        raw = b''.join((raw[:_FLAGS_AT], tail, raw[HEAD.size :]))
    return _TAG.pack(tag) + raw[_TAG.size :]


def encode_reset(packet: Packet) -> bytes:
    """Return the system's reset of the flow of a client's packet."""
    service = service_address(packet.flow)
    client = packet.flow[len(service) :]
    sequence = _reset_sequence(packet)
    return HEAD.pack(0, 0, sequence, 0, client, service, 0, RESET, 0)


def find_request_id(packet: Packet) -> str:
    """Return the id of the request that starts in a packet, or nothing."""
    found = _REQUEST_ID.search(packet.raw, HEAD.size)
    return found[1].decode('ascii', 'replace') if found else ''


def find_request_bytes(packet: Packet) -> int | None:
    """Return the length of the request that starts in a packet.

    Return None if its head doesn't end in the packet.
    """
    head = _REQUEST_HEAD.match(packet.raw, HEAD.size)
    if head is None:
        return None
    length = _CONTENT_LENGTH.search(packet.raw, HEAD.size, head.end())
    body_bytes = int(length[1]) if length else 0
    return head.end() - HEAD.size + body_bytes


def find_status(packet: Packet) -> int:
    """Return the status of the answer that starts in a packet, or 0."""
    found = _STATUS.match(packet.raw, HEAD.size)
    return int(found[1]) if found else 0


def _reset_sequence(packet: Packet) -> int:
    # An open flow takes only a reset close to what the client acknowledged;
    # in an opening packet that field counts the copies.
    return 0 if packet.opens else packet.acknowledged
