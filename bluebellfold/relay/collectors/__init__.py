"""Record the decisions of the relay in logs and metrics."""

from bluebellfold.relay.collectors.journal import Journal
from bluebellfold.relay.collectors.metrics import (
    CONTENT_TYPE,
    LatencyHistogram,
    render_metrics,
)
from bluebellfold.relay.collectors.status_server import StatusServer

__all__ = (
    'CONTENT_TYPE',
    'Journal',
    'LatencyHistogram',
    'StatusServer',
    'render_metrics',
)
