"""Record the outcomes of requests and violations of invariants."""

from hdrh.histogram import HdrHistogram

from bluebellfold.core import Record, read_only

MIN_LATENCY_MILLISECONDS = 1
MAX_LATENCY_MILLISECONDS = 60_000
SIGNIFICANT_DIGITS = 2
# Percentiles of the latency that are reported.
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99
MS_PER_SECOND = 1000
# Target latency of most routes on the platform.
TARGET_LATENCY_SECONDS = 0.4
# Score of a response after the target latency. A response on time scores 1; the
# platform pays about half for a late one.
LATE_SCORE = 0.5


class RunStatistics(Record):
    """Hold the statistics of a run.

    ``on_time`` and ``late`` are shares of the requests; ``p50`` and ``p99`` are
    latencies in milliseconds; ``worst_second_score`` is the lowest score of the
    requests that were issued within one second.
    """

    __slots__ = (
        '_late',
        '_on_time',
        '_p50',
        '_p99',
        '_requests',
        '_worst_second_score',
    )

    requests: int = read_only('_requests')
    on_time: float = read_only('_on_time')
    late: float = read_only('_late')
    p50: float = read_only('_p50')
    p99: float = read_only('_p99')
    worst_second_score: float = read_only('_worst_second_score')

    def __init__(
        self,
        *,
        requests: int,
        on_time: float,
        late: float,
        p50: float,
        p99: float,
        worst_second_score: float,
    ) -> None:
        self._requests = requests
        self._on_time = on_time
        self._late = late
        self._p50 = p50
        self._p99 = p99
        self._worst_second_score = worst_second_score

    @property
    def score(self) -> float:
        """Return the mean score of the requests: 1 if all were on time."""
        return self.on_time + LATE_SCORE * self.late


class OutcomeRecorder:
    """Count outcomes by the second in which requests were issued."""

    __slots__ = ('_histogram', '_late', '_on_time', '_requests', 'violations')

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            MIN_LATENCY_MILLISECONDS,
            MAX_LATENCY_MILLISECONDS,
            SIGNIFICANT_DIGITS,
        )
        self._requests: dict[int, int] = {}
        self._on_time: dict[int, int] = {}
        self._late: dict[int, int] = {}
        self.violations: list[str] = []

    def record_request(self, now: float) -> None:
        """Count a new request."""
        second = int(now)
        self._requests[second] = self._requests.get(second, 0) + 1

    def record_response(self, issued_at: float, now: float) -> None:
        """Count the response to a request with its latency."""
        latency = now - issued_at
        counts = (
            self._on_time if latency <= TARGET_LATENCY_SECONDS else self._late
        )
        second = int(issued_at)
        counts[second] = counts.get(second, 0) + 1
        milliseconds = round(latency * MS_PER_SECOND)
        self._histogram.record_value(
            max(MIN_LATENCY_MILLISECONDS, milliseconds)
        )

    def record_violation(self, invariant: str, now: float, detail: str) -> None:
        """Record the violation of an invariant."""
        self.violations.append(f'{now:.3f} {invariant}: {detail}')

    def statistics(self) -> RunStatistics:
        """Return the statistics of the run."""
        requests = sum(self._requests.values())
        return RunStatistics(
            requests=requests,
            on_time=sum(self._on_time.values()) / max(requests, 1),
            late=sum(self._late.values()) / max(requests, 1),
            p50=self._histogram.get_value_at_percentile(MEDIAN_PERCENTILE),
            p99=self._histogram.get_value_at_percentile(TAIL_PERCENTILE),
            worst_second_score=min(
                map(self._score_of, self._requests), default=1
            ),
        )

    def _score_of(self, second: int) -> float:
        score = self._on_time.get(second, 0)
        score += LATE_SCORE * self._late.get(second, 0)
        return score / self._requests[second]
