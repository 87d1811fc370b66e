"""Count decisions and log them at a limited rate."""

import logging
import re
from functools import cache
from typing import Any

from bluebellfold.collectors import log_event
from bluebellfold.core import Clock, Message, Tally
from bluebellfold.relay.collectors.metrics import LatencyHistogram

# An agent handles about 20 requests per second and a balancer about 60 new
# flows. Up to ten times as many are logged, and the rest is only counted.
MAX_LINES_PER_SECOND = 400.0
LINES_SUPPRESSED = 'BBF0108'


class Journal:
    """Log numbered events at a limited rate, and record metrics."""

    __slots__ = (
        '_clock',
        '_latencies',
        '_logger',
        '_refilled_at',
        '_suppressed',
        '_tally',
        '_tokens',
    )

    def __init__(self, *, logger: logging.Logger, clock: Clock) -> None:
        self._logger = logger
        self._clock = clock
        self._tally = Tally()
        self._latencies = LatencyHistogram()
        self._tokens = MAX_LINES_PER_SECOND
        self._refilled_at = clock.now()
        self._suppressed = 0

    @property
    def latencies(self) -> LatencyHistogram:
        """Return the histogram of the response times of upstreams."""
        return self._latencies

    @property
    def tally(self) -> Tally:
        """Return the counters."""
        return self._tally

    def count(self, name: str, times: int = 1) -> None:
        """Increase a counter."""
        self._tally.add(name, times)

    def count_sent(self, message: Message) -> None:
        """Count a datagram to another process of the system by its message."""
        self._tally.add(_sent_counter(type(message)))

    def observe(self, seconds: float) -> None:
        """Add the response time of a request to the histogram."""
        self._latencies.observe(seconds)

    def log(self, number: str, **fields: Any) -> None:
        """Log an event, or count it as suppressed above the rate limit."""
        if not self._acquire_token():
            self._suppressed += 1
            self._tally.add('log-lines-suppressed')
            return
        if self._suppressed:
            log_event(self._logger, LINES_SUPPRESSED, lines=self._suppressed)
            self._suppressed = 0
        log_event(self._logger, number, **fields)

    def _acquire_token(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(MAX_LINES_PER_SECOND, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@cache
def _sent_counter(message_type: type[Message]) -> str:
    """Return the counter of a message: ``sent-load-report`` and so on."""
    words = re.sub('(?<!^)(?=[A-Z])', '-', message_type.__name__)
    return f'sent-{words.lower()}'
