"""Check the outcomes reported for traces of attempts."""

import json
from pathlib import Path

import pytest

from bluebellfold.core import SLOT, Kind
from bluebellfold.upstreams import (
    Answered,
    Attempt,
    NotRun,
    Request,
    RetryBudget,
    outcome_name,
)
from bluebellfold.upstreams.endings import (
    CLIENT_CANCELLED,
    CONNECTION_LOST,
    DEADLINE_PASSED,
)
from bluebellfold.upstreams.outcomes import SHED
from bluebellfold.upstreams.retries import outcome_of_attempts

TRACES = Path(__file__).parent / 'traces' / 'outcomes_of_tries.json'
ENDINGS = {
    'cancelled': CLIENT_CANCELLED,
    'cut': CONNECTION_LOST,
    'late': DEADLINE_PASSED,
}
UPSTREAM_OUTCOMES = {
    'answered': Answered(status=200),
    'shed': NotRun(reason=SHED),
}
DEADLINE_SECONDS = 5.0


def build_request(trace):
    kind = Kind(
        name='order',
        number=1,
        service='counter',
        port=7001,
        urgency=0,
        share=1,
        repeatable=trace['repeatable'],
        holds=SLOT,
        queue_seconds=1,
        deadline_seconds=DEADLINE_SECONDS,
        first_flights_per_second=1000,
    )
    return Request(
        key='a',
        kind=kind,
        method='POST',
        path='/order',
        fields=(),
        arrived_at=0,
        deadline_at=DEADLINE_SECONDS,
    )


def build_outcome(attempt_record):
    upstream_outcome = UPSTREAM_OUTCOMES.get(attempt_record['ending'])
    return upstream_outcome or ENDINGS[attempt_record['ending']].outcome(
        sent=attempt_record['sent']
    )


@pytest.mark.parametrize(
    'trace',
    json.loads(TRACES.read_text()),
    ids=lambda trace: trace['title'],
)
def test_outcome_matches_trace(trace):
    budget = RetryBudget()
    outcomes = []
    may_retry = True
    for number, attempt_record in enumerate(trace['tries'], start=1):
        assert may_retry, 'the trace has more attempts than are allowed'
        outcomes.append(build_outcome(attempt_record))
        attempt = Attempt(
            request=build_request(trace),
            outcome=outcomes[-1],
            number=number,
            response_started=False,
            body_replayable=True,
            cancelled=attempt_record.get('withdrawn', False),
        )
        may_retry = budget.may_retry(attempt, attempt_record['at'])
    assert not may_retry
    reported = outcome_of_attempts(outcomes)
    assert outcome_name(reported) == trace['told']
    if not isinstance(reported, Answered):
        assert reported.reason.name == trace['reason']
