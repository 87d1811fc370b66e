"""Write logs, and export metrics and traces."""

from bluebellfold.collectors.event_page import render_event_page
from bluebellfold.collectors.events import EVENTS, Event
from bluebellfold.collectors.limiter import Admitted, LineLimiter
from bluebellfold.collectors.line_writer import LineWriter
from bluebellfold.collectors.logs import DropLog, log_event, start_logging
from bluebellfold.collectors.metrics import Metrics, NoMetrics, open_metrics
from bluebellfold.collectors.samples import Sample, Source
from bluebellfold.collectors.settings import NO_EXPORTER, CollectorSettings
from bluebellfold.collectors.spans import (
    WHOLE_FLOW,
    Attribute,
    Span,
    owner_span_id,
    trace_id_of,
)
from bluebellfold.collectors.traces import NoTraces, Traces, open_traces

__all__ = (
    'Admitted',
    'Attribute',
    'CollectorSettings',
    'DropLog',
    'EVENTS',
    'Event',
    'Span',
    'LineLimiter',
    'LineWriter',
    'Metrics',
    'NO_EXPORTER',
    'NoMetrics',
    'NoTraces',
    'Sample',
    'Source',
    'Traces',
    'WHOLE_FLOW',
    'log_event',
    'open_metrics',
    'open_traces',
    'owner_span_id',
    'start_logging',
    'trace_id_of',
    'render_event_page',
)
