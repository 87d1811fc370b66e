"""Test that the invariant checker reports violations."""

import pytest

from bluebellfold.soak.invariants import InvariantChecker

FLOW = {'upstream': 'upstream-1', 'agent': '127.1.2.1'}


def test_duplicate_execution_is_a_violation():
    checker = InvariantChecker()
    checker.record_execution(b'request 1.', 'upstream-1')
    assert not checker.violations
    checker.record_execution(b'request 1.', 'upstream-2')
    assert len(checker.violations) == 1


@pytest.mark.parametrize(
    ('opened_at', 'violations'),
    [((0, 0.1, 0.9, 1.1), 0), ((0, 0.1, 0.2, 0.9, 1.1), 1)],
)
def test_second_over_the_bound_of_a_cold_upstream_is_a_violation(
    opened_at, violations
):
    checker = InvariantChecker()
    checker.record_warmup('upstream-1', list(opened_at), bound=3)
    assert len(checker.violations) == violations


@pytest.mark.parametrize(
    'response',
    [b'upstream-2:request 1.', b'upstream-1:request 2.', b'upstream'],
)
def test_response_from_another_request_or_upstream_is_a_violation(response):
    checker = InvariantChecker()
    checker.record_response(
        b'upstream-1:request 1.', b'request 1.', 'upstream-1'
    )
    assert not checker.violations
    checker.record_response(response, b'request 1.', 'upstream-1')
    assert len(checker.violations) == 1


def test_reset_of_open_flow_is_a_violation():
    checker = InvariantChecker()
    checker.record_reset('flow', is_open=False, at=1, **FLOW)
    assert not checker.violations
    checker.record_reset('flow', is_open=True, at=1, **FLOW)
    assert len(checker.violations) == 1


def test_reset_is_allowed_while_agent_is_disturbed():
    checker = InvariantChecker()
    checker.record_disturbance(FLOW['agent'], started_at=1, ended_at=2)
    checker.record_reset('flow', is_open=True, at=5.9, **FLOW)
    assert not checker.violations
    checker.record_reset('flow', is_open=True, at=6.1, **FLOW)
    assert len(checker.violations) == 1


def test_route_not_as_configured_is_a_violation():
    checker = InvariantChecker()
    checker.record_probe('127.1.1.0', is_open=True, expected=True, at=9)
    assert not checker.violations
    checker.record_probe('127.1.1.0', is_open=True, expected=False, at=9)
    assert len(checker.violations) == 1


def test_process_stop_timeout_is_a_violation():
    checker = InvariantChecker()
    checker.record_exit('agent', 0)
    assert not checker.violations
    checker.record_exit('agent', None)
    assert len(checker.violations) == 1


def test_flow_opened_late_in_drain_is_a_violation():
    checker = InvariantChecker()
    checker.record_drain('upstream-1', opened=0)
    assert not checker.violations
    checker.record_drain('upstream-1', opened=1)
    assert len(checker.violations) == 1


def test_refusal_of_a_flow_that_an_upstream_accepted_is_a_violation():
    checker = InvariantChecker()
    checker.record_refusal('flow', accepted_at='', at=1)
    assert not checker.violations
    checker.record_refusal('flow', accepted_at='upstream-1', at=1)
    assert len(checker.violations) == 1
    assert checker.failed == 2


@pytest.mark.parametrize(
    ('opened_at', 'violations'),
    [((4.9, 9.1), 0), ((4.9, 5.1, 8.9), 1)],
)
def test_new_flow_in_an_evacuated_zone_is_a_violation(opened_at, violations):
    checker = InvariantChecker()
    openings = [('upstream-1', at) for at in opened_at]
    checker.record_evacuation('a', openings, in_force_at=5, ended_at=9)
    assert len(checker.violations) == violations


@pytest.mark.parametrize(
    ('served', 'opened', 'violations'),
    [(0, 3, 0), (0, 4, 1), (4, 8, 0), (3, 8, 1)],
)
def test_burst_that_starves_other_routes_is_a_violation(
    served, opened, violations
):
    checker = InvariantChecker()
    checker.record_burst(served=served, opened=opened, at=9)
    assert len(checker.violations) == violations


def test_disturbances_of_a_component_are_in_the_order_of_their_start():
    checker = InvariantChecker()
    for component, started_at in (('store', 5), ('agent', 1), ('store', 2)):
        checker.record_disturbance(component, started_at=started_at, ended_at=9)
    times = [each.started_at for each in checker.disturbances('store')]
    assert times == [2, 5]
