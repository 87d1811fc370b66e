"""Encode the messages between balancers and agents as datagrams."""

import struct
from collections.abc import Callable
from typing import Any

from bluebellfold.core import Message, Packet, Registry, Sentinel
from bluebellfold.relay.agents.messages import (
    AgentLoad,
    Carry,
    Declined,
    Denied,
    Held,
    Hello,
    LoadReport,
    MayHold,
    NotHeld,
    Offer,
    Seek,
    Served,
    Versions,
)

# Idle seconds, offers sent, version, revision of the list of agents.
_HELLO = struct.Struct('>fIqq')
# Start, sequence, offers seen, state, warming, slots, busy, flows, version,
# revision of the list of agents, work on a request, share of failures.
_LOAD = struct.Struct('>QIIBBHHIqqff')
_COUNTER = 0xFFFFFFFF
_SHORT = 0xFFFF
FLOW_BYTES = 12
# The flow, and what its client acknowledged.
_SOUGHT = struct.Struct('>12sI')

UNREADABLE_MESSAGE = Sentinel(
    name='unreadable-message',
    reason='the datagram is no message between balancers and agents',
)

PacketReader = Callable[[bytes], Packet | Sentinel]

ENCODERS: Registry[type[Message], Callable[[Any], bytes]] = Registry(
    name='encoders of messages between balancers and agents',
)
DECODERS: Registry[int, Callable[..., Any]] = Registry(
    name='decoders of messages between balancers and agents',
)


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return ENCODERS.find(type(message))(message)


def decode_message(
    datagram: bytes,
    *,
    read_packet: PacketReader,
) -> Message | Sentinel:
    """Return the message, or why there is none."""
    decode = DECODERS.get(datagram[0]) if datagram else None
    if decode is None:
        return UNREADABLE_MESSAGE
    try:
        return decode(datagram, read_packet)
    except (struct.error, UnicodeDecodeError, IndexError):
        return UNREADABLE_MESSAGE


def _add_plain(kind: int, message_type: Any) -> None:
    """Register a message that carries a packet and nothing else."""

    @ENCODERS.add(message_type)
    def _encode(message: Any) -> bytes:  # noqa: WPS430
        return bytes((kind,)) + message.packet.raw

    @DECODERS.add(kind)
    def _decode(datagram: bytes, read: PacketReader) -> Any:  # noqa: WPS430
        packet = read(datagram[1:])
        return message_type(packet=packet) if packet else packet


def _add_flow(kind: int, message_type: Any) -> None:
    """Register a message that names a flow and nothing else."""

    @ENCODERS.add(message_type)
    def _encode(message: Any) -> bytes:  # noqa: WPS430
        return bytes((kind,)) + message.flow

    @DECODERS.add(kind)
    def _decode(datagram: bytes, _: PacketReader) -> Any:  # noqa: WPS430
        flow = datagram[1:]
        if len(flow) != FLOW_BYTES:
            return UNREADABLE_MESSAGE
        return message_type(flow=flow)


_add_plain(1, Carry)
_add_plain(3, NotHeld)
_add_flow(6, Held)
_add_flow(9, Denied)
_add_flow(10, MayHold)

_SEEK = 2
_OFFER = 4
# The kind, the most requests in progress, the length of the service's name.
_OFFER_HEAD = 3
_BYTE = 0xFF
_DECLINED = 5
_HELLO_KIND = 7
_REPORT = 8


@ENCODERS.add(Offer)
def _encode_offer(message: Offer) -> bytes:
    service = message.service.encode()
    return b''.join(
        (
            bytes((_OFFER, min(message.most_busy, _BYTE), len(service))),
            service,
            message.packet.raw,
        ),
    )


@DECODERS.add(_OFFER)
def _decode_offer(datagram: bytes, read: PacketReader) -> Any:
    end = _OFFER_HEAD + datagram[2]
    packet = read(datagram[end:])
    if not packet:
        return packet
    return Offer(
        packet=packet,
        service=datagram[_OFFER_HEAD:end].decode(),
        most_busy=datagram[1],
    )


@ENCODERS.add(Declined)
def _encode_declined(message: Declined) -> bytes:
    return bytes((_DECLINED, message.reason)) + message.packet.raw


@DECODERS.add(_DECLINED)
def _decode_declined(datagram: bytes, read: PacketReader) -> Any:
    packet = read(datagram[2:])
    if not packet:
        return packet
    return Declined(packet=packet, reason=datagram[1])


@ENCODERS.add(Seek)
def _encode_seek(message: Seek) -> bytes:
    return bytes((_SEEK,)) + _SOUGHT.pack(message.flow, message.acknowledged)


@DECODERS.add(_SEEK)
def _decode_seek(datagram: bytes, _: PacketReader) -> Any:
    flow, acknowledged = _SOUGHT.unpack(datagram[1:])
    return Seek(flow=flow, acknowledged=acknowledged)


@ENCODERS.add(Hello)
def _encode_hello(message: Hello) -> bytes:
    sent = message.offers_sent & _COUNTER
    numbers = _HELLO.pack(
        message.idle_seconds,
        sent,
        message.versions.configuration,
        message.versions.agents,
    )
    return bytes((_HELLO_KIND,)) + numbers


@DECODERS.add(_HELLO_KIND)
def _decode_hello(datagram: bytes, _: PacketReader) -> Any:
    numbers = _HELLO.unpack(datagram[1:])
    return Hello(
        idle_seconds=numbers[0],
        offers_sent=numbers[1],
        versions=Versions(configuration=numbers[2], agents=numbers[3]),
    )


@ENCODERS.add(LoadReport)
def _encode_report(message: LoadReport) -> bytes:
    load = message.load
    service = load.service.encode()
    return b''.join(
        (
            bytes((_REPORT,)),
            _LOAD.pack(
                load.start,
                load.sequence & _COUNTER,
                load.offers_seen & _COUNTER,
                load.state,
                load.warming,
                min(load.slots, _SHORT),
                min(load.busy, _SHORT),
                load.flows,
                load.versions.configuration,
                load.versions.agents,
                load.served.work_seconds,
                load.served.failure_share,
            ),
            bytes((len(service),)),
            service,
            load.zone.encode(),
        ),
    )


@DECODERS.add(_REPORT)
def _decode_report(datagram: bytes, _: PacketReader) -> Any:
    numbers_end = 1 + _LOAD.size
    numbers = _LOAD.unpack(datagram[1:numbers_end])
    service_end = numbers_end + 1 + datagram[numbers_end]
    return LoadReport(
        load=AgentLoad(
            start=numbers[0],
            sequence=numbers[1],
            offers_seen=numbers[2],
            state=numbers[3],
            warming=bool(numbers[4]),
            slots=numbers[5],
            busy=numbers[6],
            flows=numbers[7],
            versions=Versions(configuration=numbers[8], agents=numbers[9]),
            served=Served(work_seconds=numbers[10], failure_share=numbers[-1]),
            service=datagram[numbers_end + 1 : service_end].decode(),
            zone=datagram[service_end:].decode(),
        ),
    )
