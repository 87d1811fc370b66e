"""Aggregate the outcomes of the requests and streams of a run."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from bluebellfold.callers.load.messages import (
    ANSWERED,
    NOT_RUN,
    RequestEnded,
)
from bluebellfold.callers.load.plan import LoadPlan, Window
from bluebellfold.core import Count, Tally

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
_MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECONDS_PER_MS = 1000
UNNAMED = 'unnamed'


class Latencies:
    """Keep a histogram of durations.

    >>> latencies = Latencies()
    >>> latencies.record(0.25)
    >>> round(latencies.percentile_ms(50))
    250
    """

    __slots__ = ('_histogram',)

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            LOWEST_MICROSECONDS,
            HIGHEST_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )

    @property
    def count(self) -> int:
        """Return the number of recorded durations."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Record a duration."""
        microseconds = max(
            LOWEST_MICROSECONDS, int(seconds * _MICROSECONDS_PER_SECOND)
        )
        self._histogram.record_value(microseconds)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile from 0 to 100, in milliseconds."""
        microseconds = self._histogram.get_value_at_percentile(percentile)
        return microseconds / _MICROSECONDS_PER_MS


class KindMeasurements:
    """Hold the measurements of one kind of work in one window."""

    __slots__ = (
        '_answered',
        '_kind',
        '_lags',
        '_outcomes',
        '_refused',
        '_upstreams',
        '_window',
    )

    def __init__(self, *, kind: str, window: Window) -> None:
        self._kind = kind
        self._window = window
        self._answered = Latencies()
        self._refused = Latencies()
        self._lags = Latencies()
        self._outcomes = Tally()
        self._upstreams = Tally()

    @property
    def kind(self) -> str:
        """Return the name of the kind."""
        return self._kind

    @property
    def window(self) -> Window:
        """Return the window that the requests were sent in."""
        return self._window

    @property
    def answered(self) -> Latencies:
        """Return the latencies of the answered requests."""
        return self._answered

    @property
    def refused(self) -> Latencies:
        """Return the latencies of the refusals."""
        return self._refused

    @property
    def lags(self) -> Latencies:
        """Return how late the load generator sent the requests."""
        return self._lags

    @property
    def outcomes(self) -> tuple[Count, ...]:
        """Return the number of requests per outcome and reason."""
        return self._outcomes.counts()

    @property
    def upstreams(self) -> tuple[Count, ...]:
        """Return the number of requests that each upstream answered."""
        return self._upstreams.counts()

    @property
    def goodput(self) -> float:
        """Return the answered requests per second."""
        return self._answered.count / self._window.seconds

    def record(self, ended: RequestEnded) -> None:
        """Record the outcome of a request."""
        self._lags.record(ended.lag_seconds)
        self._outcomes.add(f'{ended.outcome}.{ended.reason}')
        if ended.outcome == ANSWERED:
            self._answered.record(ended.seconds)
            self._upstreams.add(ended.upstream or UNNAMED)
        elif ended.outcome == NOT_RUN:
            self._refused.record(ended.seconds)


class StreamMeasurements:
    """Hold the measurements of the streams of one kind."""

    __slots__ = ('_broken', '_kind', '_opened', '_planned')

    def __init__(self, *, kind: str, planned: int) -> None:
        self._kind = kind
        self._planned = planned
        self._opened = Tally()
        self._broken = Tally()

    @property
    def kind(self) -> str:
        """Return the name of the kind."""
        return self._kind

    @property
    def planned(self) -> int:
        """Return the number of streams that the plan holds open."""
        return self._planned

    @property
    def broken(self) -> tuple[Count, ...]:
        """Return the number of broken streams per reason."""
        return self._broken.counts()

    @property
    def upstreams(self) -> tuple[Count, ...]:
        """Return the number of streams that each upstream served."""
        return self._opened.counts()

    @property
    def held(self) -> int:
        """Return the number of streams that opened and did not break."""
        return total(self.upstreams) - total(self.broken)

    def record_opened(self, upstream: str) -> None:
        """Count a stream that an upstream serves."""
        self._opened.add(upstream or UNNAMED)

    def record_broken(self, reason: str) -> None:
        """Count a stream that broke."""
        self._broken.add(reason)


class Measurements:
    """Hold all measurements of one run."""

    __slots__ = ('_plan', '_refused_ids', '_requests', '_streams')

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._requests = tuple(
            KindMeasurements(kind=kind.name, window=window)
            for window in plan.windows
            for kind in plan.kinds
            if not kind.streams
        )
        self._streams = {
            kind.name: StreamMeasurements(kind=kind.name, planned=kind.streams)
            for kind in plan.kinds
            if kind.streams
        }
        self._refused_ids: list[str] = []

    @property
    def plan(self) -> LoadPlan:
        """Return the plan of the run."""
        return self._plan

    @property
    def requests(self) -> tuple[KindMeasurements, ...]:
        """Return the measurements of each kind in each window."""
        return self._requests

    @property
    def streams(self) -> tuple[StreamMeasurements, ...]:
        """Return the measurements of the streams of each kind."""
        return tuple(self._streams.values())

    @property
    def refused_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests with the outcome ``not-run``."""
        return tuple(self._refused_ids)

    def record(self, ended: RequestEnded) -> None:
        """Record the outcome of a request."""
        if ended.outcome == NOT_RUN:
            self._refused_ids.append(ended.request_id)
        for measurements in self._requests:
            if measurements.kind != ended.kind:
                continue
            if measurements.window.contains(ended.sent_at):
                measurements.record(ended)

    def streams_of(self, kind: str) -> StreamMeasurements:
        """Return the measurements of the streams of one kind."""
        return self._streams[kind]

    def by_zone(self, upstreams: Iterable[Count]) -> tuple[Count, ...]:
        """Return the counts of upstreams, summed by availability zone."""
        zones = {
            upstream.name: upstream.zone
            for upstream in self._plan.upstream_zones
        }
        tally = Tally()
        for count in upstreams:
            tally.add(zones.get(count.name, UNNAMED), count.times)
        return tally.counts()


def total(counts: Iterable[Count]) -> int:
    """Return the sum of counts."""
    return sum(count.times for count in counts)


def max_over_mean(counts: tuple[Count, ...]) -> float:
    """Return the ratio of the largest count to the mean, or 0 for no counts.

    >>> max_over_mean((Count(name='a', times=3), Count(name='b', times=1)))
    1.5
    """
    if not counts:
        return 0
    mean = total(counts) / len(counts)
    return max(count.times for count in counts) / mean
