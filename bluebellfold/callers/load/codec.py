"""Encode the measurements of a run as JSON and as a table."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from bluebellfold.callers.load.measurements import (
    KindMeasurements,
    Latencies,
    Measurements,
    StreamMeasurements,
    max_over_mean,
)
from bluebellfold.core import Count

MEDIAN = 50.0
P99 = 99.0
MAXIMUM = 100.0
TABLE_COLUMNS = (
    'window',
    'kind',
    'goodput/s',
    'p50 ms',
    'p99 ms',
    'refused',
    'p99 ms',
    'max ms',
    'outcomes',
)
TABLE_HEADING = '{:10s} {:13s} {:>9s} {:>8s} {:>8s} {:>7s} {:>8s} {:>8s}  {}'
TABLE_ROW = '{:10s} {:13s} {:9.1f} {:8.1f} {:8.1f} {:7d} {:8.1f} {:8.1f}  {}'
_DECIMALS = 3


def encode_measurements(measurements: Measurements) -> str:
    """Return the measurements as a JSON object."""
    return json.dumps(
        {
            'seed': measurements.plan.seed,
            'seconds': measurements.plan.seconds,
            'requests': [
                _encode_requests(measurements, requests)
                for requests in measurements.requests
            ],
            'streams': [
                _encode_streams(measurements, streams)
                for streams in measurements.streams
            ],
            'refused_ids': measurements.refused_ids,
        },
        indent=1,
    )


def format_measurements(measurements: Measurements) -> Iterator[str]:
    """Yield the lines of a human-readable table."""
    yield TABLE_HEADING.format(*TABLE_COLUMNS)
    for requests in measurements.requests:
        yield _format_requests(requests)
    for streams in measurements.streams:
        imbalance = max_over_mean(streams.upstreams)
        yield (
            f'streams {streams.kind}: {streams.held} of {streams.planned} held,'
            + f' max over mean {imbalance:.3f}'
        )


def _format_requests(requests: KindMeasurements) -> str:
    answered = requests.answered
    refused = requests.refused
    outcomes = ', '.join(
        f'{count.name} {count.times}' for count in requests.outcomes
    )
    return TABLE_ROW.format(
        requests.window.name,
        requests.kind,
        requests.goodput,
        answered.percentile_ms(MEDIAN),
        answered.percentile_ms(P99),
        refused.count,
        refused.percentile_ms(P99),
        refused.percentile_ms(MAXIMUM),
        outcomes,
    )


def _encode_requests(
    measurements: Measurements, requests: KindMeasurements
) -> dict[str, Any]:
    return {
        'window': requests.window.name,
        'kind': requests.kind,
        'goodput_per_second': round(requests.goodput, _DECIMALS),
        'outcomes': _encode_counts(requests.outcomes),
        'answered_ms': _encode_latencies(requests.answered),
        'refused_ms': _encode_latencies(requests.refused),
        'load_lag_ms': _encode_latencies(requests.lags),
        **_encode_shares(measurements, requests.upstreams),
    }


def _encode_streams(
    measurements: Measurements, streams: StreamMeasurements
) -> dict[str, Any]:
    return {
        'kind': streams.kind,
        'wanted': streams.planned,
        'held': streams.held,
        'broken': _encode_counts(streams.broken),
        **_encode_shares(measurements, streams.upstreams),
    }


def _encode_shares(
    measurements: Measurements,
    upstreams: tuple[Count, ...],
) -> dict[str, Any]:
    zones = measurements.by_zone(upstreams)
    return {
        'by_upstream': _encode_counts(upstreams),
        'by_zone': _encode_counts(zones),
        'max_over_mean_upstreams': round(max_over_mean(upstreams), _DECIMALS),
        'max_over_mean_zones': round(max_over_mean(zones), _DECIMALS),
    }


def _encode_latencies(latencies: Latencies) -> dict[str, float]:
    return {
        'count': latencies.count,
        'p50': latencies.percentile_ms(MEDIAN),
        'p99': latencies.percentile_ms(P99),
        'max': latencies.percentile_ms(MAXIMUM),
    }


def _encode_counts(counts: Iterable[Count]) -> dict[str, int]:
    return {count.name: count.times for count in counts}
