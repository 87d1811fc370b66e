"""Keep the requests task's state of one request."""

from bluebellfold.core import Actor
from bluebellfold.upstreams.body_buffer import BodyBuffer
from bluebellfold.upstreams.exchange import BODY_PARTS_WINDOW, ExchangeTask
from bluebellfold.upstreams.messages import Request
from bluebellfold.upstreams.outcomes import Outcome
from bluebellfold.upstreams.retries import Attempt, outcome_of_attempts


class OpenRequest:
    """Keep the state of one request from its arrival to its end."""

    __slots__ = (
        'attempt_count',
        'body',
        'cancelled',
        'exchange',
        'earlier_outcomes',
        'owner',
        'request',
        'response_started',
    )

    def __init__(self, *, request: Request, owner: Actor) -> None:
        self.request = request
        self.owner = owner
        self.body = BodyBuffer(window=BODY_PARTS_WINDOW)
        self.exchange: ExchangeTask | None = None
        self.attempt_count = 0
        self.earlier_outcomes: list[Outcome] = []
        self.response_started = False
        self.cancelled = False

    def attempt(self, outcome: Outcome) -> Attempt:
        """Describe the attempt that ended with this outcome."""
        return Attempt(
            request=self.request,
            outcome=outcome,
            number=self.attempt_count,
            response_started=self.response_started,
            body_replayable=self.body.is_replayable,
            cancelled=self.cancelled,
        )

    def final_outcome(self, outcome: Outcome) -> Outcome:
        """Combine the last attempt's outcome with those of earlier ones."""
        return outcome_of_attempts([*self.earlier_outcomes, outcome])

    def send_parts(self) -> None:
        """Send the exchange the body parts that fit its window."""
        if self.exchange is None:
            return
        part = self.body.next_part()
        while part is not None:
            self.exchange.tell(part)
            part = self.body.next_part()
