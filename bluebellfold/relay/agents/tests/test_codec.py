"""Test the encoding of the messages between balancers and agents."""

from math import inf, nan

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import NO_ERA, NO_POSITION, Message, Sentinel
from bluebellfold.platform import decode_client_packet
from bluebellfold.relay.agents import (
    NO_FLOW_LIMIT,
    UNREADABLE_MESSAGE,
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
    RequestStats,
    ReturnedPacket,
    Subscribe,
    Versions,
    Warmup,
    decode_message,
    encode_message,
)
from bluebellfold.relay.tests.harness import (
    encode_and_decode,
    evacuation_of,
    position_of,
    report_of,
)
from bluebellfold.standins.packets import client_packet, opening_packet

PACKET = client_packet(flags=8, payload=b'x' * 1200)
# Two eras, and whether the state of the zone is certain.
ERA_BYTES = 9


@pytest.mark.parametrize(
    'message',
    [
        ForwardedPacket(packet=PACKET),
        FlowLookup(flow=PACKET.flow, acknowledged=7),
        FlowNotFound(flow=PACKET.flow),
        FlowUncertain(flow=PACKET.flow),
        FlowPresumedAbsent(flow=PACKET.flow),
        ReturnedPacket(packet=PACKET),
        Offer(packet=opening_packet(), service='counter', max_in_flight=7),
        Declined(packet=opening_packet(), reason=3),
        FlowFound(flow=PACKET.flow),
        FlowOwner(flow=PACKET.flow, owner=('10.0.0.9', 8172), denies=True),
        Subscribe(
            idle_seconds=15,
            once=True,
            offers_sent=7,
            versions=Versions(
                configuration=12,
                agents=position_of(3),
                evacuation=evacuation_of(era=4, revision=9),
            ),
            is_unlisted=True,
            warmup_flows_per_second=2.5,
        ),
        report_of(warmup=Warmup(flows_left=NO_FLOW_LIMIT)),
        report_of(
            in_flight=3,
            flows=99,
            warmup=Warmup(flows_left=3),
            followers=12,
            request_stats=RequestStats(
                work_seconds=0.5,
                failure_share=0.25,
                arrivals_per_second=2.5,
                work_error=0.25,
            ),
            versions=Versions(
                configuration=-1,
                agents=NO_POSITION,
                evacuation=evacuation_of(evacuated=False, is_certain=True),
            ),
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_decoded_message_equals_the_encoded_one(message):
    assert encode_and_decode(message) == message


@pytest.mark.parametrize(
    'message',
    [
        report_of(state=9),
        report_of(slots=0),
        report_of(
            request_stats=RequestStats(work_seconds=nan, failure_share=0)
        ),
        report_of(
            request_stats=RequestStats(
                work_seconds=0, failure_share=0, work_error=nan
            )
        ),
        report_of(
            request_stats=RequestStats(work_seconds=0, failure_share=inf)
        ),
        Declined(packet=opening_packet(), reason=200),
        FlowOwner(flow=PACKET.flow, owner=('10.0.0.9', 0)),
        Subscribe(
            idle_seconds=inf,
            offers_sent=7,
            versions=Versions(configuration=12, agents=position_of(3)),
        ),
    ],
    ids=range(8),
)
def test_message_with_a_field_out_of_range_is_unreadable(message):
    # A load without slots ended the choice of an agent with an exception.
    assert encode_and_decode(message) is UNREADABLE_MESSAGE


def versions_in(message):
    if isinstance(message, LoadReport):
        return message.load.versions
    assert isinstance(message, Subscribe)
    return message.versions


# Guards against an upgrade during which agents and balancers of both releases
# can't read each other: an earlier one sends no eras.
def test_message_of_an_earlier_release_tells_no_era():
    versions = Versions(
        configuration=12,
        agents=position_of(3),
        evacuation=evacuation_of(revision=9),
    )
    subscribe = encode_message(
        Subscribe(idle_seconds=15, offers_sent=7, versions=versions)
    )
    report = encode_message(report_of(versions=versions))
    strings = len('counter') + len('a') + 1
    for earlier in (
        b'\x07' + subscribe[1:-ERA_BYTES],
        b'\x08' + report[1 : -strings - ERA_BYTES] + report[-strings:],
    ):
        decoded = decode_message(earlier, read_packet=decode_client_packet)
        told = versions_in(decoded)
        assert told.agents == position_of(3, era=NO_ERA)
        assert told.evacuation == evacuation_of(era=NO_ERA, revision=9)


@given(st.binary(max_size=200))
def test_any_datagram_decodes_without_an_exception(datagram):
    decoded = decode_message(
        datagram,
        read_packet=decode_client_packet,
    )
    assert isinstance(decoded, Message | Sentinel)
