"""Write logs as JSON lines with numbered events."""

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from bluebellfold.collectors import catalogue  # noqa: F401
from bluebellfold.collectors.events import find_event
from bluebellfold.collectors.limiter import LineLimiter
from bluebellfold.collectors.settings import CollectorSettings
from bluebellfold.core import Clock

LINE_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'  # noqa: WPS323
FIELD_NAMES = (
    ('asctime', 'time'),
    ('levelname', 'level'),
    ('name', 'logger'),
)
# logging rejects extra fields with the names of record attributes.
RECORD_FIELDS = frozenset(
    (*logging.makeLogRecord({}).__dict__, 'message', 'asctime'),
)

# grpclib logs, at level INFO, each call that the peer cancels.
GRPC_LOGGER = 'grpclib'
DROP_EVENT = 'BBF0103'


class EventFormatter(JsonFormatter):
    """Add the process and the remedy of the event to each line."""

    def __init__(self, *, process: str) -> None:
        super().__init__(
            LINE_FORMAT,
            rename_fields=dict(FIELD_NAMES),
            static_fields={'process': process},
        )

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Return the fields of the line."""
        number = log_data.get('event')
        if number is not None:
            log_data.setdefault('remedy', find_event(number).remedy)
        return super().process_log_record(log_data)


class DropLog:
    """Log drops, at most one line a second for each reason."""

    __slots__ = ('_clock', '_limiter', '_logger')

    def __init__(self, *, logger: logging.Logger, clock: Clock) -> None:
        self._logger = logger
        self._clock = clock
        self._limiter = LineLimiter()

    def log_drop(self, reason: str, **fields: Any) -> None:
        """Log one drop, unless its reason was logged within the last second."""
        admission = self._limiter.admit(reason, now=self._clock.now())
        if not admission:
            return
        log_event(
            self._logger,
            DROP_EVENT,
            reason=reason,
            suppressed=admission.suppressed,
            **fields,
        )


def start_logging(
    settings: CollectorSettings,
    *,
    process: str,
    stream: TextIO | None = None,
) -> None:
    """Write the lines of all loggers to the stream, or to standard error."""
    stream_handler = logging.StreamHandler(stream or sys.stderr)
    stream_handler.setFormatter(EventFormatter(process=process))
    root = logging.getLogger()
    root.handlers = [stream_handler]
    root.setLevel(settings.log_level.upper())
    logging.getLogger(GRPC_LOGGER).setLevel(logging.WARNING)


def log_event(logger: logging.Logger, number: str, **fields: Any) -> None:
    """Log an event of the catalogue at its level, with extra fields."""
    event = find_event(number)
    extra = {_field_name(name): field for name, field in fields.items()}
    extra['event'] = number
    logger.log(event.level, event.meaning, extra=extra)


def _field_name(name: str) -> str:
    return f'{name}_' if name in RECORD_FIELDS else name
