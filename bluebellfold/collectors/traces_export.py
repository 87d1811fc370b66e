"""Export spans through the OpenTelemetry SDK."""

import os
import secrets

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.trace import SpanContext, TraceFlags

from bluebellfold.collectors.outputs import Output
from bluebellfold.collectors.resource import create_resource
from bluebellfold.collectors.samples import Source
from bluebellfold.collectors.spans import (
    SPAN_ID_BYTES,
    Span,
    is_traced,
    owner_span_id,
    parent_span_id,
    trace_id_of,
)

NANOSECONDS = 1_000_000_000


class ExportedTraces:
    """Convert spans and queue them for the SDK's exporter.

    The queue is bounded: the SDK drops spans when it is full, so that traffic
    is never delayed.
    """

    __slots__ = ('_processor', '_resource', '_share')

    def __init__(
        self,
        *,
        source: Source,
        output: Output,
        share: float,
    ) -> None:
        self._resource = create_resource(source)
        self._share = share
        self._processor = BatchSpanProcessor(
            ConsoleSpanExporter(out=output, formatter=_format_line),
        )

    def is_traced(self, flow: bytes) -> bool:
        """Return whether the flow is sampled."""
        return is_traced(flow, self._share)

    def record(self, span: Span) -> None:
        """Export a span if its flow is sampled."""
        if self.is_traced(span.flow):
            self._processor.on_end(self._create_span(span))

    def close(self) -> None:
        """Export the remaining spans and stop."""
        self._processor.shutdown()

    def _create_span(self, span: Span) -> ReadableSpan:
        parent = parent_span_id(span)
        return ReadableSpan(
            name=span.name,
            context=_create_context(span, _span_id(span)),
            parent=None if parent is None else _create_context(span, parent),
            resource=self._resource,
            attributes={
                attribute.name: attribute.attribute_value
                for attribute in span.attributes
            },
            start_time=int(span.started_at * NANOSECONDS),
            end_time=int(span.ended_at * NANOSECONDS),
        )


def _span_id(span: Span) -> int:
    if span.owner:
        return owner_span_id(span.flow, span.request)
    return int.from_bytes(secrets.token_bytes(SPAN_ID_BYTES)) or 1


def _create_context(span: Span, span_id: int) -> SpanContext:
    return SpanContext(
        trace_id=trace_id_of(span.flow),
        span_id=span_id,
        is_remote=False,
        trace_flags=TraceFlags(TraceFlags.SAMPLED),
    )


def _format_line(span: ReadableSpan) -> str:
    return span.to_json(indent=None) + os.linesep
