"""Decide whether a request may be sent to the upstream again."""

from collections.abc import Sequence

from bluebellfold.core import Record, read_only
from bluebellfold.upstreams.messages import Request
from bluebellfold.upstreams.outcomes import (
    CONNECT_FAILED,
    CUT,
    SHED,
    Answered,
    NotRun,
    Outcome,
    Unknown,
)

# Limits retries to 10 % of the successes, so that they multiply the load of
# a flood by at most 1.1.
RETRIES_PER_SUCCESS = 0.1
# The largest budget, which is also the initial one.
MAX_SAVED_RETRIES = 10
# Attempts of one request, including the first.
MAX_ATTEMPTS = 3

_RETRIABLE_REASONS = frozenset((CONNECT_FAILED, SHED))


class Attempt(Record):
    """Describe an attempt that ended.

    ``number`` counts from 1. ``response_started`` is true if the client
    already has part of a response, ``body_replayable`` if the whole body can
    be sent again, and ``cancelled`` if the client cancelled the request.
    """

    __slots__ = (
        '_body_replayable',
        '_cancelled',
        '_number',
        '_outcome',
        '_request',
        '_response_started',
    )

    response_started: bool = read_only('_response_started')
    body_replayable: bool = read_only('_body_replayable')
    number: int = read_only('_number')
    outcome: Outcome = read_only('_outcome')
    request: Request = read_only('_request')
    cancelled: bool = read_only('_cancelled')

    def __init__(
        self,
        *,
        request: Request,
        outcome: Outcome,
        number: int,
        response_started: bool,
        body_replayable: bool,
        cancelled: bool = False,
    ) -> None:
        self._request = request
        self._outcome = outcome
        self._number = number
        self._response_started = response_started
        self._body_replayable = body_replayable
        self._cancelled = cancelled


class RetryBudget:
    """Limit retries to a fraction of the successes, by a token bucket."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens: float = MAX_SAVED_RETRIES

    def record_success(self) -> None:
        """Add a fraction of a retry to the budget."""
        self._tokens = min(
            MAX_SAVED_RETRIES,
            self._tokens + RETRIES_PER_SUCCESS,
        )

    def may_retry(self, attempt: Attempt, now: float) -> bool:
        """Return whether to retry now; if so, charge the budget."""
        if not is_retriable(attempt, now):
            return False
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def is_retriable(attempt: Attempt, now: float) -> bool:
    """Return whether a retry is safe, regardless of the budget.

    A request that this process refused is not retried here: the client
    learns of the refusal at once and can use another upstream.
    """
    if (
        attempt.cancelled
        or attempt.response_started
        or not attempt.body_replayable
    ):
        return False
    if attempt.number >= MAX_ATTEMPTS:
        return False
    if now >= attempt.request.deadline_at:
        return False
    return _may_be_repeated(attempt)


def _may_be_repeated(attempt: Attempt) -> bool:
    outcome = attempt.outcome
    if isinstance(outcome, Answered):
        return False
    if isinstance(outcome, NotRun):
        return outcome.reason in _RETRIABLE_REASONS
    if not isinstance(outcome, Unknown) or outcome.reason is not CUT:
        return False
    return attempt.request.kind.repeatable


def outcome_of_attempts(outcomes: Sequence[Outcome]) -> Outcome:
    """Return the outcome for the client after one or more attempts.

    A last attempt that did not run does not prove that earlier attempts did
    not run, so an earlier unknown outcome takes precedence.

    >>> cut = Unknown(reason=CUT)
    >>> outcome_of_attempts([cut, NotRun(reason=SHED)]) == cut
    True
    """
    last = outcomes[-1]
    if not isinstance(last, NotRun):
        return last
    unknown = (each for each in outcomes if isinstance(each, Unknown))
    return next(unknown, last)
