"""Test retries and outcomes against a model that counts runs."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.upstreams import (
    Answered,
    Attempt,
    NotRun,
    RetryBudget,
    Unknown,
)
from bluebellfold.upstreams import outcomes as reasons
from bluebellfold.upstreams.endings import (
    CLIENT_CANCELLED,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    EXCHANGE_FAILED,
    REQUEST_MALFORMED,
)
from bluebellfold.upstreams.retries import MAX_ATTEMPTS, outcome_of_attempts
from bluebellfold.upstreams.tests.owner import ORDER, request_of

DEADLINE_SECONDS = 5
ENDINGS = (
    CLIENT_CANCELLED,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    EXCHANGE_FAILED,
    REQUEST_MALFORMED,
)


class AttemptCourse:
    """Fix the course of one attempt, including whether it ran."""

    def __init__(self, *, sent, executed, ending, at):
        self.sent = sent
        self.executed = executed and sent
        self.ending = ending
        self.at = at

    def outcome(self):
        if self.ending is None:
            return Answered(status=200)
        if self.ending == 'shed':
            return NotRun(reason=reasons.SHED)
        return self.ending.outcome(sent=self.sent)

    def runs(self):
        if self.ending is None:
            return 1
        return int(self.executed and self.ending != 'shed')


courses = st.lists(
    st.builds(
        AttemptCourse,
        sent=st.booleans(),
        executed=st.booleans(),
        ending=st.sampled_from((None, 'shed', *ENDINGS)),
        at=st.floats(0, DEADLINE_SECONDS * 2),
    ),
    min_size=MAX_ATTEMPTS + 1,
    max_size=MAX_ATTEMPTS + 1,
)


def run_attempts(courses, kind, budget, *, body_kept=True):
    """Return the outcome, the number of runs and of attempts."""
    request = request_of(kind, 'a', seconds=DEADLINE_SECONDS)
    runs = 0
    outcomes = []
    for number, course in enumerate(courses, start=1):
        runs += course.runs()
        attempt = Attempt(
            request=request,
            outcome=course.outcome(),
            number=number,
            response_started=False,
            body_replayable=body_kept,
        )
        outcomes.append(attempt.outcome)
        if not budget.may_retry(attempt, course.at):
            return outcome_of_attempts(outcomes), runs, number
    raise AssertionError('more attempts than MAX_ATTEMPTS')


@settings(derandomize=True, deadline=None, max_examples=500)
@given(courses=courses, repeatable=st.booleans(), body_kept=st.booleans())
def test_outcome_is_correct_and_request_runs_at_most_once(
    courses,
    repeatable,
    body_kept,
):
    kind = ORDER.replace(repeatable=repeatable)
    outcome, runs, attempts = run_attempts(
        courses,
        kind,
        RetryBudget(),
        body_kept=body_kept,
    )
    first_outcome = courses[0].outcome()
    if not repeatable:
        assert runs <= 1
    if isinstance(outcome, NotRun):
        assert runs == 0
    if isinstance(outcome, Answered):
        assert runs >= 1
    if attempts > 1:
        # An attempt whose outcome is Answered is never retried.
        assert not isinstance(first_outcome, Answered)
        assert body_kept
    if attempts > 1 and not repeatable:
        assert isinstance(first_outcome, NotRun)


@settings(derandomize=True, deadline=None)
@given(many=st.lists(courses, min_size=30, max_size=30))
def test_retries_of_a_failing_upstream_stay_within_the_budget(many):
    budget = RetryBudget()
    attempts = 0
    answered = 0
    for each in many:
        outcome, _, attempt_count = run_attempts(each, ORDER, budget)
        attempts += attempt_count - 1
        if isinstance(outcome, Answered):
            answered += 1
            budget.record_success()
    assert attempts <= 10 + 0.1 * answered


def test_sent_request_ends_as_unknown_and_unsent_as_not_run():
    for ending in ENDINGS:
        assert isinstance(ending.outcome(sent=True), Unknown)
        assert isinstance(ending.outcome(sent=False), NotRun)
