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


class SimulatedAttempt:
    """Describe one attempt, and whether the upstream ran the request."""

    def __init__(self, *, sent, ran, ending, ended_at):
        self.sent = sent
        self.ran = ran and sent
        self.ending = ending
        self.ended_at = ended_at

    def outcome(self):
        if self.ending is None:
            return Answered(status=200)
        if self.ending == 'shed':
            return NotRun(reason=reasons.SHED)
        return self.ending.outcome(sent=self.sent)

    def runs(self):
        if self.ending is None:
            return 1
        return int(self.ran and self.ending != 'shed')


simulated_attempts = st.lists(
    st.builds(
        SimulatedAttempt,
        sent=st.booleans(),
        ran=st.booleans(),
        ending=st.sampled_from((None, 'shed', *ENDINGS)),
        ended_at=st.floats(0, DEADLINE_SECONDS * 2),
    ),
    min_size=MAX_ATTEMPTS + 1,
    max_size=MAX_ATTEMPTS + 1,
)


def run_attempts(simulated_attempts, kind, budget, *, body_replayable=True):
    """Return the outcome, the number of runs and of attempts."""
    request = request_of(kind, 'a', seconds=DEADLINE_SECONDS)
    runs = 0
    outcomes = []
    for number, simulated in enumerate(simulated_attempts, start=1):
        runs += simulated.runs()
        attempt = Attempt(
            request=request,
            outcome=simulated.outcome(),
            number=number,
            response_started=False,
            body_replayable=body_replayable,
        )
        outcomes.append(attempt.outcome)
        if not budget.may_retry(attempt, simulated.ended_at):
            return outcome_of_attempts(outcomes), runs, number
    raise AssertionError('more attempts than MAX_ATTEMPTS')


@settings(derandomize=True, deadline=None, max_examples=500)
@given(
    simulated_attempts=simulated_attempts,
    repeatable=st.booleans(),
    body_replayable=st.booleans(),
)
def test_outcome_is_correct_and_request_runs_at_most_once(
    simulated_attempts,
    repeatable,
    body_replayable,
):
    kind = ORDER.replace(repeatable=repeatable)
    outcome, runs, attempts = run_attempts(
        simulated_attempts,
        kind,
        RetryBudget(),
        body_replayable=body_replayable,
    )
    first_outcome = simulated_attempts[0].outcome()
    if not repeatable:
        assert runs <= 1
    if isinstance(outcome, NotRun):
        assert runs == 0
    if isinstance(outcome, Answered):
        assert runs >= 1
    if attempts > 1:
        # An attempt whose outcome is Answered is never retried.
        assert not isinstance(first_outcome, Answered)
        assert body_replayable
    if attempts > 1 and not repeatable:
        assert isinstance(first_outcome, NotRun)


@settings(derandomize=True, deadline=None)
@given(many=st.lists(simulated_attempts, min_size=30, max_size=30))
def test_retries_of_a_failing_upstream_stay_within_the_budget(many):
    budget = RetryBudget()
    retries = 0
    answered = 0
    for each in many:
        outcome, _, attempt_count = run_attempts(each, ORDER, budget)
        retries += attempt_count - 1
        if isinstance(outcome, Answered):
            answered += 1
            budget.record_success()
    assert retries <= 10 + 0.1 * answered


def test_interrupted_request_is_unknown_if_sent_else_not_run():
    for ending in ENDINGS:
        assert isinstance(ending.outcome(sent=True), Unknown)
        assert isinstance(ending.outcome(sent=False), NotRun)
