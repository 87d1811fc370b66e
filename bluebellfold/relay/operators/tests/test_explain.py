"""Test that the cause of a failure is found in logs by an id."""

import json

import pytest

from bluebellfold.relay.operators.explain import NothingFoundError, explain

FLOW = '100.64.0.7:40001>198.18.0.1:443'


def line(time, event, **fields):
    written = {'time': time, 'event': event, 'process': 'p', 'flow': FLOW}
    return f'  12.5 node {json.dumps({**written, **fields})}\n'


OFFERED = line('1', 'BBF0701', agent='10.0.0.1', busy=2)
ACCEPTED = line('3', 'BBF0723', request='r-1')
CASES = (
    ([line('2', 'BBF0703', reason='no-route', version=4)], 'refused: no-route'),
    ([line('2', 'BBF0702', reason='all-full')], 'waited for an upstream'),
    ([OFFERED], 'offered to the agent at 10.0.0.1, which did not respond'),
    ([OFFERED, ACCEPTED], 'accepted it but sent no reply'),
    ([ACCEPTED, line('4', 'BBF0725')], 'lost the flow'),
    ([ACCEPTED, line('4', 'BBF0706', denied=7)], 'all 7 agents'),
    ([ACCEPTED, line('4', 'BBF0724', status=503, milliseconds=2)], 'failed'),
    ([ACCEPTED, line('4', 'BBF0724', status=200, milliseconds=9)], 'answered'),
)


@pytest.mark.parametrize(('lines', 'cause'), CASES)
def test_cause_of_a_flow_is_found(lines, cause):
    assert cause in explain(FLOW, lines).cause


def test_request_lists_the_decisions_about_its_flow_by_time():
    lines = [ACCEPTED, 'no json\n', '{"broken\n', OFFERED, '["a list"]\n']
    steps = explain('r-1', lines).steps
    assert len(steps) == 2
    assert 'BBF0701' in steps[0]
    assert 'busy=2' in steps[0]


def test_agent_that_opened_a_lost_flow_and_was_not_asked_is_named():
    # The balancer's list lacked the agent, which still holds the flow.
    opened = line('1', 'BBF0722', process='agent-3')
    denied = line('2', 'BBF0744', process='agent-4')
    lost = line('3', 'BBF0706', process='balancer-2', denied=1)
    cause = explain(FLOW, [opened, denied, lost]).cause
    assert 'agent-3 opened it and did not deny it' in cause
    assert 'the list of agents of balancer-2 lacked it' in cause


@pytest.mark.parametrize('event', ['BBF0744', 'BBF0725'])
def test_agent_that_denied_a_lost_flow_is_not_named(event):
    lines = [
        line('1', 'BBF0722'),
        line('2', event),
        line('3', 'BBF0706', process='balancer-2', denied=1),
    ]
    assert explain(FLOW, lines).cause.endswith('holds the flow')


def test_unknown_id_raises_an_error_with_a_remedy():
    with pytest.raises(NothingFoundError, match='logs of all balancers'):
        explain('r-2', [OFFERED])
