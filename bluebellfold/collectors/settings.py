"""Define the settings of logs, metrics and traces."""

from bluebellfold.core import Record, read_only

NO_EXPORTER = 'none'


class CollectorSettings(Record):
    """Hold the log level and the settings of the exporters.

    ``metrics_seconds`` is the interval between exports of metrics,
    ``traced_share`` the fraction of flows that are traced, from 0 to 1.
    ``directory`` is where the exporters write files.
    """

    __slots__ = (
        '_directory',
        '_log_level',
        '_metrics',
        '_metrics_seconds',
        '_traced_share',
        '_traces',
    )

    directory: str = read_only('_directory')
    log_level: str = read_only('_log_level')
    metrics: str = read_only('_metrics')
    metrics_seconds: float = read_only('_metrics_seconds')
    traced_share: float = read_only('_traced_share')
    traces: str = read_only('_traces')

    def __init__(
        self,
        *,
        log_level: str = 'info',
        metrics: str = NO_EXPORTER,
        metrics_seconds: float = 10,
        traces: str = NO_EXPORTER,
        traced_share: float = 1,
        directory: str = 'out',
    ) -> None:
        self._log_level = log_level
        self._metrics = metrics
        self._metrics_seconds = metrics_seconds
        self._traces = traces
        self._traced_share = traced_share
        self._directory = directory
