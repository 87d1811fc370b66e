"""Render counters, gauges and latencies in the Prometheus text format."""

from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

from bluebellfold.core import Tally

# Requests take from less than a millisecond to tens of seconds. Two significant
# digits are precise enough for latencies.
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2
MS_PER_SECOND = 1000
# Upper bounds of the buckets in milliseconds, each about twice the previous.
BUCKET_BOUNDS_MS = (5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400)
CONTENT_TYPE = 'text/plain; version=0.0.4'
PREFIX = 'bluebellfold'
LATENCY_METRIC = f'{PREFIX}_upstream_latency_milliseconds'


class LatencyHistogram:
    """Count requests by the response time of the upstream."""

    __slots__ = ('_histogram', '_sum')

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self._sum = float(0)

    def observe(self, seconds: float) -> None:
        """Add the response time of one request."""
        milliseconds = seconds * MS_PER_SECOND
        self._sum += milliseconds
        clamped = min(
            max(MIN_LATENCY_MS, round(milliseconds)),
            MAX_LATENCY_MS,
        )
        self._histogram.record_value(clamped)

    def lines(self) -> list[str]:
        """Return the buckets, sum and count as lines of the text format."""
        total = self._histogram.get_total_count()
        lines = [f'# TYPE {LATENCY_METRIC} histogram']
        for bound in BUCKET_BOUNDS_MS:
            cumulative = self._count_up_to(bound)
            lines.append(_bucket_line(str(bound), cumulative))
        lines.append(_bucket_line('+Inf', total))
        lines.append(f'{LATENCY_METRIC}_sum {round(self._sum)}')
        lines.append(f'{LATENCY_METRIC}_count {total}')
        return lines

    def _count_up_to(self, milliseconds: int) -> int:
        return sum(
            step.count_added_in_this_iter_step
            for step in self._histogram.get_recorded_iterator()
            if step.value_iterated_to <= milliseconds
        )


def render_metrics(
    *,
    tally: Tally,
    latencies: LatencyHistogram,
    gauges: Mapping[str, float],
) -> bytes:
    """Render all metrics as the body of an HTTP response.

    >>> tally = Tally()
    >>> tally.add('flows-offered', 2)
    >>> histogram = LatencyHistogram()
    >>> body = render_metrics(tally=tally, latencies=histogram, gauges={})
    >>> body.decode().splitlines()[1]
    'bluebellfold_flows_offered_total 2'
    """
    lines: list[str] = []
    for count in tally.counts():
        name = f'{PREFIX}_{_metric_name(count.name)}_total'
        lines.extend((f'# TYPE {name} counter', f'{name} {count.times}'))
    for gauge, level in sorted(gauges.items()):
        name = f'{PREFIX}_{_metric_name(gauge)}'
        lines.extend((f'# TYPE {name} gauge', f'{name} {round(level)}'))
    lines.extend(latencies.lines())
    return '\n'.join((*lines, '')).encode()


def _metric_name(name: str) -> str:
    return name.replace('-', '_')


def _bucket_line(bound: str, count: int) -> str:
    return ''.join((LATENCY_METRIC, '_bucket{le="', bound, '"} ', str(count)))
