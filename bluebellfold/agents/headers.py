"""Encode and decode the headers of the datagrams between processes.

Each header starts with a packed part of fixed size, which is sufficient for
most datagrams. The additional fields of a first flight or a load report
follow in protobuf.
"""

import socket
import struct
from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError

from bluebellfold.agents.envelope_pb2 import Address, Extension, LoadRow
from bluebellfold.agents.messages import (
    BalancerLeaving,
    ClientDatagram,
    FlowAccepted,
    LoadReport,
    Probe,
    ProbeReply,
    ReplyDatagram,
)
from bluebellfold.core import Endpoint, Load, Message, Registry, Sentinel

UNREADABLE_HEADER = Sentinel(
    name='unreadable-header',
    reason='the header holds no message type known to this version',
)

# Type number, address number, IPv4 address and port of the client.
_FIXED = struct.Struct('>BH4sH')
FIXED_BYTES = _FIXED.size
_HOST = struct.Struct('>I')
_NO_HOST = bytes(_HOST.size)

_CLIENT_DATAGRAM = 1
_REPLY_DATAGRAM = 2
_PROBE = 3
_PROBE_REPLY = 4
_BALANCER_LEAVING = 5
_LOAD_REPORT = 6
_FLOW_ACCEPTED = 7

_encoders: Registry[type[Message], Callable[[Any], bytes]] = Registry(
    name='header encoders',
)
_decoders: Registry[int, Callable[[bytes, bytes], Message]] = Registry(
    name='header decoders',
)


def encode_header(message: Message) -> bytes:
    """Return the header of the message, without its payload."""
    return _encoders.find(type(message))(message)


def encode_client_header(address: int, source: tuple[str, int]) -> bytes:
    """Return the header of a client datagram that is no first flight."""
    host = socket.inet_aton(source[0])
    return _FIXED.pack(_CLIENT_DATAGRAM, address, host, source[1])


def decode_header(header: bytes, payload: bytes) -> Message | Sentinel:
    """Return the message of the header and payload, or a sentinel."""
    if len(header) < FIXED_BYTES:
        return UNREADABLE_HEADER
    decode = _decoders.get(header[0])
    if decode is None:
        return UNREADABLE_HEADER
    try:
        return decode(header, payload)
    except DecodeError:
        return UNREADABLE_HEADER


def _encode_fixed(type_number: int, address: int, client: Endpoint) -> bytes:
    return _FIXED.pack(
        type_number,
        address,
        socket.inet_aton(client.host),
        client.port,
    )


def _decode_extension(header: bytes) -> Extension:
    return Extension.FromString(header[FIXED_BYTES:])


def _encode_endpoint(endpoint: Endpoint) -> Address:
    host = _HOST.unpack(socket.inet_aton(endpoint.host))[0]
    return Address(host=host, port=endpoint.port)


def _decode_endpoint(address: Address) -> Endpoint:
    host = socket.inet_ntoa(_HOST.pack(address.host))
    return Endpoint(host=host, port=address.port)


@_encoders.add(ClientDatagram)
def _encode_client_datagram(message: ClientDatagram) -> bytes:
    client = message.client
    fixed = _encode_fixed(_CLIENT_DATAGRAM, message.address, client)
    if not message.candidates and message.via is None:
        return fixed
    extension = Extension(
        candidates=map(_encode_endpoint, message.candidates),
        hops=message.hops,
        offered_fill=message.offered_fill,
    )
    if message.via is not None:
        extension.via.CopyFrom(_encode_endpoint(message.via))
    return fixed + extension.SerializeToString()


@_decoders.add(_CLIENT_DATAGRAM)
def _decode_client_datagram(header: bytes, payload: bytes) -> ClientDatagram:
    _type_number, address, host, port = _FIXED.unpack_from(header)
    client = Endpoint(host=socket.inet_ntoa(host), port=port)
    if len(header) == FIXED_BYTES:
        return ClientDatagram(address=address, client=client, payload=payload)
    extension = _decode_extension(header)
    has_via = extension.HasField('via')
    return ClientDatagram(
        address=address,
        client=client,
        payload=payload,
        candidates=tuple(map(_decode_endpoint, extension.candidates)),
        hops=extension.hops,
        offered_fill=extension.offered_fill,
        via=_decode_endpoint(extension.via) if has_via else None,
    )


@_encoders.add(ReplyDatagram)
def _encode_reply_datagram(message: ReplyDatagram) -> bytes:
    return _encode_fixed(_REPLY_DATAGRAM, message.address, message.client)


@_decoders.add(_REPLY_DATAGRAM)
def _decode_reply_datagram(header: bytes, payload: bytes) -> ReplyDatagram:
    _type_number, address, host, port = _FIXED.unpack_from(header)
    return ReplyDatagram(
        address=address,
        client=Endpoint(host=socket.inet_ntoa(host), port=port),
        payload=payload,
    )


@_encoders.add(FlowAccepted)
def _encode_flow_accepted(_message: FlowAccepted) -> bytes:
    return _FIXED.pack(_FLOW_ACCEPTED, 0, _NO_HOST, 0)


@_decoders.add(_FLOW_ACCEPTED)
def _decode_flow_accepted(_header: bytes, payload: bytes) -> FlowAccepted:
    return FlowAccepted(payload=payload)


@_encoders.add(LoadReport)
def _encode_load_report(message: LoadReport) -> bytes:
    load = message.load
    extension = Extension(
        load=LoadRow(
            endpoint=_encode_endpoint(load.endpoint),
            slots=load.slots,
            connections=load.connections,
            flows=load.flows,
            usable=load.usable,
        ),
    )
    fixed = _FIXED.pack(_LOAD_REPORT, 0, _NO_HOST, 0)
    return fixed + extension.SerializeToString()


@_decoders.add(_LOAD_REPORT)
def _decode_load_report(header: bytes, _payload: bytes) -> LoadReport:
    row = _decode_extension(header).load
    # The receiver sets the time by its own clock.
    load = Load(
        endpoint=_decode_endpoint(row.endpoint),
        slots=row.slots,
        connections=row.connections,
        flows=row.flows,
        usable=row.usable,
        seen_at=0,
    )
    return LoadReport(load=load)


def _register_empty_message(
    type_number: int, message_type: type[Message]
) -> None:
    message = message_type()
    fixed = _FIXED.pack(type_number, 0, _NO_HOST, 0)
    _encoders.add(message_type)(lambda _message: fixed)
    _decoders.add(type_number)(lambda _header, _payload: message)


_register_empty_message(_PROBE, Probe)
_register_empty_message(_PROBE_REPLY, ProbeReply)
_register_empty_message(_BALANCER_LEAVING, BalancerLeaving)
