"""Test that encoding round-trips and that malformed rows are dropped."""

import math

import pytest

from bluebellfold.balancers import codec, swap_codec
from bluebellfold.balancers import control_pb2 as wire
from bluebellfold.balancers.rows import BUCKETS, BucketSummary, MemberRow
from bluebellfold.balancers.swaps import SwapRequest, SwapResponse
from bluebellfold.balancers.tests.samples import build_member
from bluebellfold.core import LEFT, Configuration

ROW = MemberRow(member=build_member(state=LEFT), left_seconds=7)
SUMMARY = BucketSummary(bucket=3, row_hashes=(1, 2**64 - 1))
CONFIGURATION = Configuration(version=9, operation='x', text='[a]\nb = ż')


def test_request_round_trips():
    request = SwapRequest(
        root=0,
        rows=(ROW,),
        summaries=(SUMMARY,),
        configuration_version=9,
        configuration=CONFIGURATION,
    )
    for sent in (request, SwapRequest()):
        encoded = swap_codec.encode_request(sent, site='s').SerializeToString()
        read = wire.SwapRequest.FromString(encoded)
        assert swap_codec.decode_request(read) == sent


def test_response_round_trips():
    response = SwapResponse(
        bucket_hashes=tuple(range(BUCKETS)),
        rows=(ROW,),
        wanted=(SUMMARY,),
        configuration_version=9,
        configuration=CONFIGURATION,
    )
    for sent in (response, SwapResponse()):
        encoded = swap_codec.encode_response(sent).SerializeToString()
        read = wire.SwapAnswer.FromString(encoded)
        assert swap_codec.decode_response(read) == sent


@pytest.mark.parametrize(
    ('field', 'bad'),
    [
        ('name', ''),
        ('name', 'n' * 256),
        ('host', 'localhost'),
        ('port', 65_536),
        ('weight', math.nan),
        ('weight', -1),
        ('state', 0),
        ('state', 9),
    ],
)
def test_malformed_row_is_dropped(field, bad):
    encoded = codec.encode_row(ROW)
    setattr(encoded, field, bad)
    request = wire.SwapRequest(rows=[encoded, codec.encode_row(ROW)])
    assert codec.decode_row(encoded) is codec.MALFORMED
    assert swap_codec.decode_request(request).rows == (ROW,)


def test_summary_of_an_unknown_bucket_is_dropped():
    request = wire.SwapRequest(summaries=[wire.BucketSummary(bucket=BUCKETS)])
    assert swap_codec.decode_request(request).summaries == ()
