"""Judge what clients and upstreams of the model have seen."""

from hdrh.histogram import HdrHistogram

from bluebellfold.core import Record, read_only

SHORTEST_MILLISECONDS = 1
LONGEST_MILLISECONDS = 60_000
DIGITS = 2
# Percentiles that are shown.
MEDIAN = 50
TAIL = 99
MILLISECONDS = 1000
# An answer within this is in aim, as most routes of the users' days have it.
AIM_SECONDS = 0.4
# A later answer is worth half of one in aim: about what the platform pays.
LATE_WORTH = 0.5


class Figures(Record):
    """Sum up a run: shares of the requests asked, latencies in ms."""

    __slots__ = ('_asked', '_in_aim', '_late', '_p50', '_p99', '_worst')

    asked: int = read_only('_asked')
    in_aim: float = read_only('_in_aim')
    late: float = read_only('_late')
    p50: float = read_only('_p50')
    p99: float = read_only('_p99')
    worst: float = read_only('_worst')

    def __init__(
        self,
        *,
        asked: int,
        in_aim: float,
        late: float,
        p50: float,
        p99: float,
        worst: float,
    ) -> None:
        self._asked = asked
        self._in_aim = in_aim
        self._late = late
        self._p50 = p50
        self._p99 = p99
        # The worth of the second whose requests were served worst.
        self._worst = worst

    @property
    def worth(self) -> float:
        """Return the worth of all requests, 1 if all were in aim."""
        return self.in_aim + LATE_WORTH * self.late


class Ledger:
    """Count outcomes by the second in which requests were asked."""

    __slots__ = ('_asked', '_histogram', '_in_aim', '_late', 'broken')

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS, DIGITS
        )
        self._asked: dict[int, int] = {}
        self._in_aim: dict[int, int] = {}
        self._late: dict[int, int] = {}
        self.broken: list[str] = []

    def ask(self, moment: float) -> None:
        """Count a request."""
        second = int(moment)
        self._asked[second] = self._asked.get(second, 0) + 1

    def serve(self, asked_at: float, moment: float) -> None:
        """Count the answer of a request."""
        seconds = moment - asked_at
        counts = self._in_aim if seconds <= AIM_SECONDS else self._late
        second = int(asked_at)
        counts[second] = counts.get(second, 0) + 1
        milliseconds = round(seconds * MILLISECONDS)
        self._histogram.record_value(max(SHORTEST_MILLISECONDS, milliseconds))

    def breach(self, rule: str, moment: float, what: str) -> None:
        """Note a broken promise."""
        self.broken.append(f'{moment:.3f} {rule}: {what}')

    def sum_up(self) -> Figures:
        """Return the figures of the run."""
        asked = sum(self._asked.values())
        return Figures(
            asked=asked,
            in_aim=sum(self._in_aim.values()) / max(asked, 1),
            late=sum(self._late.values()) / max(asked, 1),
            p50=self._histogram.get_value_at_percentile(MEDIAN),
            p99=self._histogram.get_value_at_percentile(TAIL),
            worst=min(map(self._worth_of, self._asked), default=1),
        )

    def _worth_of(self, second: int) -> float:
        earned = self._in_aim.get(second, 0)
        earned += LATE_WORTH * self._late.get(second, 0)
        return earned / self._asked[second]
