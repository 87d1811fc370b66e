"""Write and read what the clients and upstreams of the model send."""

import socket

from bluebellfold.core import Packet, client_host
from bluebellfold.standins.packets import ACKNOWLEDGE, OPEN, write_packet

# The first byte of an answer; the request's id follows.
ANSWERED = b'+'
REJECTED = b'-'
STATUS_ANSWERED = 200
STATUS_REJECTED = 503


def grant_to(packet: Packet, sequence: int) -> bytes:
    """Return an upstream's answer to an opening packet."""
    return _reply(packet, flags=OPEN | ACKNOWLEDGE, sequence=sequence)


def answer_to(packet: Packet, outcome: bytes, *, sequence: int) -> bytes:
    """Return an upstream's answer to a request."""
    return _reply(
        packet,
        flags=ACKNOWLEDGE,
        sequence=sequence,
        payload=outcome + payload_of(packet),
    )


def payload_of(packet: Packet) -> bytes:
    """Return what a packet carries."""
    return packet.raw[len(packet.raw) - packet.payload_bytes :]


def status_of(packet: Packet) -> int:
    """Return the status of an answer, as the field's protocols have it."""
    answered = payload_of(packet)[:1] == ANSWERED
    return STATUS_ANSWERED if answered else STATUS_REJECTED


def _reply(packet: Packet, **fields: object) -> bytes:
    flow = packet.flow
    return write_packet(
        source=(socket.inet_ntoa(flow[2:6]), int.from_bytes(flow[:2])),
        destination=(client_host(flow), int.from_bytes(flow[6:8])),
        acknowledged=packet.sequence + packet.payload_bytes,
        **fields,
    )
