"""Select the exporter of metrics."""

import importlib
from typing import Protocol

from bluebellfold.collectors.outputs import OUTPUTS
from bluebellfold.collectors.samples import Sample, Source
from bluebellfold.collectors.settings import NO_EXPORTER, CollectorSettings

EXPORT_MODULE = 'bluebellfold.collectors.metrics_export'


class Metrics(Protocol):
    """Accept samples and export them."""

    def observe(self, sample: Sample) -> None:
        """Set the sample that the next interval exports."""

    def close(self) -> None:
        """Export the remaining metrics and stop."""


class NoMetrics:
    """Ignore all samples."""

    __slots__ = ()

    def observe(self, sample: Sample) -> None:
        """Ignore the sample."""

    def close(self) -> None:
        """Do nothing."""


def open_metrics(settings: CollectorSettings, source: Source) -> Metrics:
    """Return metrics with the exporter that the settings name."""
    if settings.metrics == NO_EXPORTER:
        return NoMetrics()
    output = OUTPUTS.find(settings.metrics)(
        settings,
        f'{source.process}.metrics.jsonl',
    )
    # The SDK uses much memory, so only a process that exports imports it.
    export_module = importlib.import_module(EXPORT_MODULE)
    return export_module.ExportedMetrics(
        source=source,
        output=output,
        interval_seconds=settings.metrics_seconds,
    )
