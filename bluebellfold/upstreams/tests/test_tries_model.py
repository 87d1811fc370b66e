"""Test tries and outcomes together against an upstream that counts runs."""

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
    CALLER_CANCELLED,
    CONNECTION_ENDED,
    DEADLINE_PASSED,
    EXCHANGE_FAILED,
    REQUEST_MALFORMED,
)
from bluebellfold.upstreams.retries import MAX_ATTEMPTS, outcome_of_tries
from bluebellfold.upstreams.tests.owner import ORDER, request_of

DEADLINE_SECONDS = 5
ENDINGS = (
    CALLER_CANCELLED,
    CONNECTION_ENDED,
    DEADLINE_PASSED,
    EXCHANGE_FAILED,
    REQUEST_MALFORMED,
)


class Fate:
    """Fix what becomes of one attempt, as only the upstream knows it."""

    def __init__(self, *, sent, ran, ending, at):
        self.sent = sent
        self.ran = ran and sent
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
        return int(self.ran and self.ending != 'shed')


fates = st.lists(
    st.builds(
        Fate,
        sent=st.booleans(),
        ran=st.booleans(),
        ending=st.sampled_from((None, 'shed', *ENDINGS)),
        at=st.floats(0, DEADLINE_SECONDS * 2),
    ),
    min_size=MAX_ATTEMPTS + 1,
    max_size=MAX_ATTEMPTS + 1,
)


def try_with(fates, kind, budget, *, body_kept=True):
    """Return the outcome, how often the request ran, and the attempts."""
    request = request_of(kind, 'a', seconds=DEADLINE_SECONDS)
    runs = 0
    ends = []
    for number, fate in enumerate(fates, start=1):
        runs += fate.runs()
        attempt = Attempt(
            request=request,
            outcome=fate.outcome(),
            number=number,
            answer_begun=False,
            body_kept=body_kept,
        )
        ends.append(attempt.outcome)
        if not budget.may_retry(attempt, fate.at):
            return outcome_of_tries(ends), runs, number
    raise AssertionError('tried more often than allowed')


@settings(derandomize=True, deadline=None, max_examples=500)
@given(fates=fates, repeatable=st.booleans(), body_kept=st.booleans())
def test_outcome_is_true_and_work_runs_at_most_once(
    fates,
    repeatable,
    body_kept,
):
    kind = ORDER.replace(repeatable=repeatable)
    outcome, runs, attempts = try_with(
        fates,
        kind,
        RetryBudget(),
        body_kept=body_kept,
    )
    naive = fates[0].outcome()
    if not repeatable:
        assert runs <= 1
    if isinstance(outcome, NotRun):
        assert runs == 0
    if isinstance(outcome, Answered):
        assert runs >= 1
    if attempts > 1:
        # Never tried again where one try alone is told as answered.
        assert not isinstance(naive, Answered)
        assert body_kept
    if attempts > 1 and not repeatable:
        assert isinstance(naive, NotRun)


@settings(derandomize=True, deadline=None)
@given(many=st.lists(fates, min_size=30, max_size=30))
def test_tries_of_a_failing_upstream_stay_within_the_budget(many):
    budget = RetryBudget()
    attempts = 0
    answered = 0
    for each in many:
        outcome, _, tried = try_with(each, ORDER, budget)
        attempts += tried - 1
        if isinstance(outcome, Answered):
            answered += 1
            budget.record_success()
    assert attempts <= 10 + 0.1 * answered


def test_unknown_is_never_turned_into_not_run():
    for ending in ENDINGS:
        assert isinstance(ending.outcome(sent=True), Unknown)
        assert isinstance(ending.outcome(sent=False), NotRun)
