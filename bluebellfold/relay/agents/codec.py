"""Encode the messages between balancers and agents as datagrams."""

import socket
import struct
from collections.abc import Callable
from typing import Any

from bluebellfold.core import Message, Packet, Registry, Sentinel
from bluebellfold.relay.agents.load_fields import (
    check_range,
    pack_load,
    unpack_load,
)
from bluebellfold.relay.agents.messages import (
    DECLINE_NAMES,
    Declined,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowOwner,
    FlowPresumedAbsent,
    FlowUncertain,
    ForwardedPacket,
    LoadReport,
    Offer,
    ReturnedPacket,
    Subscribe,
)
from bluebellfold.relay.agents.subscribe_fields import (
    pack_subscribe,
    unpack_subscribe,
)

_MAX_SHORT = 0xFFFF
FLOW_KEY_BYTES = 12
# Flow key, acknowledgement number.
_LOOKUP_FIELDS = struct.Struct('>12sI')
# Flow key, IPv4 address and port of the owner, whether the sender denies.
_OWNER_FIELDS = struct.Struct('>12s4sH?')

UNREADABLE_MESSAGE = Sentinel(
    name='unreadable-message',
    reason='the datagram is not a message between balancers and agents',
)

PacketReader = Callable[[bytes], Packet | Sentinel]

ENCODERS: Registry[type[Message], Callable[[Any], bytes]] = Registry(
    name='encoders of messages between balancers and agents',
)
DECODERS: Registry[int, Callable[..., Any]] = Registry(
    name='decoders of messages between balancers and agents',
)


def encode_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return ENCODERS.find(type(message))(message)


def decode_message(
    datagram: bytes,
    *,
    read_packet: PacketReader,
) -> Message | Sentinel:
    """Decode a datagram, or return the reason why it is unreadable.

    ``read_packet`` decodes the packet inside a message.
    """
    decode = DECODERS.get(datagram[0]) if datagram else None
    if decode is None:
        return UNREADABLE_MESSAGE
    try:
        return decode(datagram, read_packet)
    except (struct.error, ValueError, IndexError):
        return UNREADABLE_MESSAGE


def _register_packet_message(type_number: int, message_type: Any) -> None:
    """Register the codec of a message that holds only a packet."""

    @ENCODERS.add(message_type)
    def _encode(message: Any) -> bytes:  # noqa: WPS430
        return bytes((type_number,)) + message.packet.raw

    @DECODERS.add(type_number)
    def _decode(datagram: bytes, read: PacketReader) -> Any:  # noqa: WPS430
        packet = read(datagram[1:])
        return message_type(packet=packet) if packet else packet


def _register_flow_message(type_number: int, message_type: Any) -> None:
    """Register the codec of a message that holds only a flow key."""

    @ENCODERS.add(message_type)
    def _encode(message: Any) -> bytes:  # noqa: WPS430
        return bytes((type_number,)) + message.flow

    @DECODERS.add(type_number)
    def _decode(datagram: bytes, _: PacketReader) -> Any:  # noqa: WPS430
        flow = datagram[1:]
        if len(flow) != FLOW_KEY_BYTES:
            return UNREADABLE_MESSAGE
        return message_type(flow=flow)


_register_packet_message(1, ForwardedPacket)
_register_packet_message(3, ReturnedPacket)
_register_flow_message(6, FlowFound)
_register_flow_message(9, FlowNotFound)
_register_flow_message(10, FlowUncertain)

_LOOKUP = 2
_OFFER = 4
# One byte each for the type number, the limit of requests in flight and the
# length of the service name.
_OFFER_HEAD_BYTES = 3
_MAX_BYTE = 0xFF
_DECLINED = 5
# Messages of earlier releases, which read no era of the store.
_SUBSCRIBE_WITHOUT_ERA = 7
_LOAD_REPORT_WITHOUT_ERA = 8
_OWNER = 11
_PRESUMED_ABSENT = 12
_SUBSCRIBE = 13
_LOAD_REPORT = 14
# Type number, followers of the agent.
_REPORT_HEAD = struct.Struct('>BH')


_register_flow_message(_PRESUMED_ABSENT, FlowPresumedAbsent)


@ENCODERS.add(Offer)
def _encode_offer(message: Offer) -> bytes:
    service = message.service.encode()
    return b''.join(
        (
            bytes(
                (_OFFER, min(message.max_in_flight, _MAX_BYTE), len(service))
            ),
            service,
            message.packet.raw,
        ),
    )


@DECODERS.add(_OFFER)
def _decode_offer(datagram: bytes, read: PacketReader) -> Any:
    end = _OFFER_HEAD_BYTES + datagram[2]
    packet = read(datagram[end:])
    if not packet:
        return packet
    return Offer(
        packet=packet,
        service=datagram[_OFFER_HEAD_BYTES:end].decode(),
        max_in_flight=datagram[1],
    )


@ENCODERS.add(Declined)
def _encode_declined(message: Declined) -> bytes:
    return bytes((_DECLINED, message.reason)) + message.packet.raw


@DECODERS.add(_DECLINED)
def _decode_declined(datagram: bytes, read: PacketReader) -> Any:
    packet = read(datagram[2:])
    if not packet:
        return packet
    reason = datagram[1]
    check_range(reason, least=1, most=len(DECLINE_NAMES) - 1)
    return Declined(packet=packet, reason=reason)


@ENCODERS.add(FlowLookup)
def _encode_lookup(message: FlowLookup) -> bytes:
    return bytes((_LOOKUP,)) + _LOOKUP_FIELDS.pack(
        message.flow, message.acknowledged
    )


@DECODERS.add(_LOOKUP)
def _decode_lookup(datagram: bytes, _: PacketReader) -> Any:
    flow, acknowledged = _LOOKUP_FIELDS.unpack(datagram[1:])
    return FlowLookup(flow=flow, acknowledged=acknowledged)


@ENCODERS.add(Subscribe)
def _encode_subscribe(message: Subscribe) -> bytes:
    return bytes((_SUBSCRIBE,)) + pack_subscribe(message)


@DECODERS.add(_SUBSCRIBE)
@DECODERS.add(_SUBSCRIBE_WITHOUT_ERA)
def _decode_subscribe(datagram: bytes, _: PacketReader) -> Any:
    has_eras = datagram[0] == _SUBSCRIBE
    return unpack_subscribe(datagram[1:], has_eras=has_eras)


@ENCODERS.add(FlowOwner)
def _encode_owner(message: FlowOwner) -> bytes:
    host, port = message.owner
    return bytes((_OWNER,)) + _OWNER_FIELDS.pack(
        message.flow, socket.inet_aton(host), port, message.denies
    )


@DECODERS.add(_OWNER)
def _decode_owner(datagram: bytes, _: PacketReader) -> Any:
    flow, host, port, denies = _OWNER_FIELDS.unpack(datagram[1:])
    check_range(port, least=1, most=_MAX_SHORT)
    owner = (socket.inet_ntoa(host), port)
    return FlowOwner(flow=flow, owner=owner, denies=denies)


@ENCODERS.add(LoadReport)
def _encode_report(message: LoadReport) -> bytes:
    head = _REPORT_HEAD.pack(_LOAD_REPORT, message.followers)
    return head + pack_load(message.load)


@DECODERS.add(_LOAD_REPORT)
@DECODERS.add(_LOAD_REPORT_WITHOUT_ERA)
def _decode_report(datagram: bytes, _: PacketReader) -> Any:
    type_number, followers = _REPORT_HEAD.unpack(datagram[: _REPORT_HEAD.size])
    load = unpack_load(
        datagram[_REPORT_HEAD.size :], has_eras=type_number == _LOAD_REPORT
    )
    return LoadReport(load=load, followers=followers)
