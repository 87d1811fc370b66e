"""Encode and decode swap requests and responses as protobuf."""

from collections.abc import Iterable

from bluebellfold.balancers import control_pb2 as wire
from bluebellfold.balancers.codec import (
    decode_configuration,
    decode_row,
    encode_configuration,
    encode_row,
)
from bluebellfold.balancers.rows import BUCKETS, BucketSummary, MemberRow
from bluebellfold.balancers.swaps import SwapRequest, SwapResponse

# Limits on decoded input; a peer of the same version sends fewer.
MAX_DECODED_ROWS = 1024
MAX_HASHES_PER_BUCKET = 4096


def encode_request(request: SwapRequest, *, site: str) -> wire.SwapRequest:
    """Return the request as protobuf."""
    return wire.SwapRequest(
        site=site,
        root=request.root,
        summaries=_encode_summaries(request.summaries),
        rows=map(encode_row, request.rows),
        configuration_version=request.configuration_version,
        configuration=encode_configuration(request.configuration),
    )


def decode_request(encoded: wire.SwapRequest) -> SwapRequest:
    """Return the request without its malformed parts."""
    return SwapRequest(
        root=encoded.root if encoded.HasField('root') else None,
        summaries=_decode_summaries(encoded.summaries),
        rows=_decode_rows(encoded.rows),
        configuration_version=encoded.configuration_version,
        configuration=decode_configuration(encoded),
    )


def encode_response(response: SwapResponse) -> wire.SwapAnswer:
    """Return the response as protobuf."""
    return wire.SwapAnswer(
        bucket_hashes=response.bucket_hashes,
        rows=map(encode_row, response.rows),
        wanted=_encode_summaries(response.wanted),
        configuration_version=response.configuration_version,
        configuration=encode_configuration(response.configuration),
    )


def decode_response(encoded: wire.SwapAnswer) -> SwapResponse:
    """Return the response without its malformed parts."""
    return SwapResponse(
        bucket_hashes=tuple(encoded.bucket_hashes[:BUCKETS]),
        rows=_decode_rows(encoded.rows),
        wanted=_decode_summaries(encoded.wanted),
        configuration_version=encoded.configuration_version,
        configuration=decode_configuration(encoded),
    )


def _decode_rows(encoded: Iterable[wire.MemberRow]) -> tuple[MemberRow, ...]:
    decoded = map(decode_row, encoded[:MAX_DECODED_ROWS])
    return tuple(row for row in decoded if row)


def _encode_summaries(
    summaries: tuple[BucketSummary, ...],
) -> tuple[wire.BucketSummary, ...]:
    return tuple(
        wire.BucketSummary(
            bucket=summary.bucket,
            row_hashes=summary.row_hashes,
        )
        for summary in summaries
    )


def _decode_summaries(
    encoded: Iterable[wire.BucketSummary],
) -> tuple[BucketSummary, ...]:
    return tuple(
        BucketSummary(
            bucket=summary.bucket,
            row_hashes=tuple(summary.row_hashes[:MAX_HASHES_PER_BUCKET]),
        )
        for summary in encoded[:BUCKETS]
        if summary.bucket < BUCKETS
    )
