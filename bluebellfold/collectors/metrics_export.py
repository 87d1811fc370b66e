"""Export samples through the OpenTelemetry SDK."""

import os
from collections.abc import Iterable, Iterator

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    MetricsData,
    PeriodicExportingMetricReader,
)

from bluebellfold.collectors.outputs import Output
from bluebellfold.collectors.resource import create_resource
from bluebellfold.collectors.samples import Sample, Source
from bluebellfold.core import Count

METER_NAME = 'bluebellfold'
MS_PER_SECOND = 1000


class ExportedMetrics:
    """Hold the newest sample for the SDK's reader.

    The reader runs in its own thread, which sleeps between exports. It only
    reads a reference to an immutable sample, so no lock is needed.
    """

    __slots__ = ('_provider', '_sample')

    def __init__(
        self,
        *,
        source: Source,
        output: Output,
        interval_seconds: float,
    ) -> None:
        self._sample = Sample()
        reader = PeriodicExportingMetricReader(
            ConsoleMetricExporter(out=output, formatter=_format_line),
            export_interval_millis=interval_seconds * MS_PER_SECOND,
        )
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=create_resource(source),
            shutdown_on_exit=False,
        )
        self._create_instruments()

    def observe(self, sample: Sample) -> None:
        """Set the sample that the next interval exports."""
        self._sample = sample

    def close(self) -> None:
        """Export the remaining metrics and stop."""
        self._provider.shutdown()

    def _create_instruments(self) -> None:
        meter = self._provider.get_meter(METER_NAME)
        meter.create_observable_counter(
            'bluebellfold.requests',
            callbacks=[self._observe_requests],
            description='Requests by kind of work and outcome',
        )
        meter.create_observable_counter(
            'bluebellfold.drops',
            callbacks=[self._observe_drops],
            description='Refusals and drops by reason',
        )
        meter.create_observable_gauge(
            'bluebellfold.flows',
            callbacks=[self._observe_flows],
            description='Open flows',
        )
        meter.create_observable_gauge(
            'bluebellfold.load',
            callbacks=[self._observe_load],
            description='Parts in use of slots and connections',
            unit='1',
        )

    def _observe_requests(self, _: CallbackOptions) -> Iterator[Observation]:
        return _observe_counts(self._sample.requests, 'outcome')

    def _observe_drops(self, _: CallbackOptions) -> Iterator[Observation]:
        return _observe_counts(self._sample.drops, 'reason')

    def _observe_flows(self, _: CallbackOptions) -> Iterator[Observation]:
        yield Observation(self._sample.flows)

    def _observe_load(self, _: CallbackOptions) -> Iterator[Observation]:
        yield Observation(self._sample.slots, {'held': 'slots'})
        yield Observation(self._sample.connections, {'held': 'connections'})


def _observe_counts(
    counts: Iterable[Count],
    label: str,
) -> Iterator[Observation]:
    for count in counts:
        yield Observation(count.times, {label: count.name})


def _format_line(metrics: MetricsData) -> str:
    return metrics.to_json(indent=None) + os.linesep
