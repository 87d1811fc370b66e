"""Test which attempts are retried."""

import pytest

from bluebellfold.upstreams import (
    Answered,
    Attempt,
    NotRun,
    RetryBudget,
    Unknown,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.retries import MAX_SAVED_RETRIES
from bluebellfold.upstreams.tests.owner import FEED, ORDER, request_of

CONNECT_FAILED = NotRun(reason=reasons.CONNECT_FAILED)
CUT = Unknown(reason=reasons.CUT)
CANCELLED = Unknown(reason=reasons.CANCELLED)


def attempt_of(kind=ORDER, outcome=CONNECT_FAILED, **fields) -> Attempt:
    attempt = Attempt(
        request=request_of(kind, 'a'),
        outcome=outcome,
        number=1,
        response_started=False,
        body_replayable=True,
    )
    return attempt.replace(**fields)


@pytest.mark.parametrize(
    ('attempt', 'expected'),
    [
        (attempt_of(), True),
        (attempt_of(outcome=NotRun(reason=reasons.SHED)), True),
        (attempt_of(outcome=NotRun(reason=reasons.QUEUE_TOO_LONG)), False),
        (attempt_of(outcome=CUT), False),
        (attempt_of(FEED, outcome=CUT), True),
        (attempt_of(FEED, outcome=CANCELLED), False),
        (attempt_of(FEED, outcome=CUT, response_started=True), False),
        (attempt_of(FEED, outcome=CUT, body_replayable=False), False),
        (attempt_of(FEED, outcome=CUT, number=3), False),
        (attempt_of(FEED, outcome=CUT, cancelled=True), False),
        (attempt_of(FEED, outcome=CANCELLED), False),
        (attempt_of(FEED, outcome=Unknown(reason=reasons.LATE)), False),
        (attempt_of(FEED, outcome=Answered(status=500)), False),
    ],
)
def test_only_safe_attempts_are_retried(attempt, expected):
    assert RetryBudget().may_retry(attempt, now=1) is expected


def test_no_retry_after_the_deadline():
    assert not RetryBudget().may_retry(attempt_of(), now=31)


def test_budget_limits_retries_to_a_fraction_of_successes():
    budget = RetryBudget()
    spent = sum(budget.may_retry(attempt_of(), now=1) for _ in range(50))
    assert spent == MAX_SAVED_RETRIES
    for _ in range(100):
        budget.record_success()
    spent = sum(budget.may_retry(attempt_of(), now=1) for _ in range(50))
    assert spent in {9, 10}
