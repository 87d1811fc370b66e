"""Record the decisions of the relay in logs and metrics."""

from bluebellfold.relay.collectors.journal import Journal
from bluebellfold.relay.collectors.metrics import (
    CONTENT_TYPE,
    LatencyHistogram,
    render_metrics,
)
from bluebellfold.relay.collectors.serving import ProcessServer

__all__ = (
    'CONTENT_TYPE',
    'Journal',
    'LatencyHistogram',
    'ProcessServer',
    'render_metrics',
)
