"""Select the exporter of traces."""

import importlib
from typing import Protocol

from bluebellfold.collectors.outputs import OUTPUTS
from bluebellfold.collectors.samples import Source
from bluebellfold.collectors.settings import NO_EXPORTER, CollectorSettings
from bluebellfold.collectors.spans import Span

EXPORT_MODULE = 'bluebellfold.collectors.traces_export'


class Traces(Protocol):
    """Accept finished spans and export them."""

    def is_traced(self, flow: bytes) -> bool:
        """Return whether the flow is sampled."""

    def record(self, span: Span) -> None:
        """Export a span if its flow is sampled."""

    def close(self) -> None:
        """Export the remaining spans and stop."""


class NoTraces:
    """Ignore all spans."""

    __slots__ = ()

    def is_traced(self, flow: bytes) -> bool:
        """Return false."""
        return False

    def record(self, span: Span) -> None:
        """Ignore the span."""

    def close(self) -> None:
        """Do nothing."""


def open_traces(settings: CollectorSettings, source: Source) -> Traces:
    """Return traces with the exporter that the settings name."""
    if settings.traces == NO_EXPORTER:
        return NoTraces()
    output = OUTPUTS.find(settings.traces)(
        settings,
        f'{source.process}.traces.jsonl',
    )
    # The SDK uses much memory, so only a process that exports imports it.
    export_module = importlib.import_module(EXPORT_MODULE)
    return export_module.ExportedTraces(
        source=source,
        output=output,
        share=settings.traced_share,
    )
