"""Replay traces of tries against what their callers must be told."""

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
OWN_OUTCOMES = {'answered': Answered(status=200), 'shed': NotRun(reason=SHED)}
DEADLINE_SECONDS = 5.0


def request_of(trace):
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


def outcome_of(step):
    own = OWN_OUTCOMES.get(step['ending'])
    return own or ENDINGS[step['ending']].outcome(sent=step['sent'])


@pytest.mark.parametrize(
    'trace',
    json.loads(TRACES.read_text()),
    ids=lambda trace: trace['title'],
)
def test_trace_ends_as_stated(trace):
    budget = RetryBudget()
    outcomes = []
    goes_on = True
    for number, step in enumerate(trace['tries'], start=1):
        assert goes_on, 'the trace has more tries than are made'
        outcomes.append(outcome_of(step))
        attempt = Attempt(
            request=request_of(trace),
            outcome=outcomes[-1],
            number=number,
            response_started=False,
            body_replayable=True,
            cancelled=step.get('withdrawn', False),
        )
        goes_on = budget.may_retry(attempt, step['at'])
    assert not goes_on
    told = outcome_of_attempts(outcomes)
    assert outcome_name(told) == trace['told']
    if not isinstance(told, Answered):
        assert told.reason.name == trace['reason']
