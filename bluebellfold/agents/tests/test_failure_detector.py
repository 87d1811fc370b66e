"""Test when agents become suspected, are probed and recover."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.agents.failure_detector import (
    MAX_PROBE_BURST,
    PROBES_PER_SECOND,
    FailureDetector,
)
from bluebellfold.agents.tests.test_ranking import members

MEMBERS = members(30)
ENDPOINTS = tuple(one.endpoint for one in MEMBERS)
FIRST, SECOND = ENDPOINTS[:2]


def test_agent_without_a_response_is_suspected():
    detector = FailureDetector(MEMBERS)
    detector.record_sent(FIRST, 10)
    detector.record_sent(FIRST, 10.4)
    assert detector.suspected(10.4) == frozenset()
    assert detector.suspected(11) == {FIRST}


def test_agent_that_responds_is_not_suspected():
    detector = FailureDetector(MEMBERS)
    detector.record_sent(FIRST, 10)
    detector.record_received(FIRST, 10.3)
    detector.record_sent(FIRST, 10.5)
    assert detector.suspected(11) == frozenset()


def test_idle_agent_is_not_suspected():
    assert FailureDetector(MEMBERS).suspected(1000) == frozenset()


def test_response_to_a_probe_ends_the_suspicion():
    detector = FailureDetector(MEMBERS)
    detector.record_sent(FIRST, 10)
    detector.record_sent(SECOND, 10)
    assert set(detector.probes_due(11)) == {FIRST, SECOND}
    detector.record_received(FIRST, 11.1)
    assert detector.suspected(11.1) == {SECOND}


def test_new_incarnation_ends_the_suspicion():
    detector = FailureDetector(MEMBERS)
    detector.record_sent(FIRST, 10)
    assert detector.suspected(11) == {FIRST}
    detector.update_members(MEMBERS)
    assert detector.suspected(11) == {FIRST}
    detector.update_members((MEMBERS[0].replace(incarnation=2), *MEMBERS[1:]))
    assert detector.suspected(11) == frozenset()


def test_agents_that_left_are_removed():
    detector = FailureDetector(MEMBERS)
    detector.record_sent(FIRST, 10)
    detector.record_sent(SECOND, 10)
    assert detector.suspected(11) == {FIRST, SECOND}
    detector.update_members(MEMBERS[1:])
    detector.record_sent(FIRST, 12)
    assert detector.suspected(20) == {SECOND}


def test_probes_of_one_agent_back_off():
    detector = FailureDetector(MEMBERS)
    detector.record_sent(FIRST, 0)
    ticks = [tick / 10 for tick in range(10, 610)]
    probes = sum(len(detector.probes_due(now)) for now in ticks)
    # The intervals are 0.25, 0.5, 1, 2 and 4 s, then 8 s each, in one minute.
    assert 10 <= probes <= 13


@settings(derandomize=True, deadline=None)
@given(gaps=st.lists(st.floats(0.01, 1), min_size=1, max_size=60))
def test_probes_stay_within_the_rate_limit(gaps):
    detector = FailureDetector(MEMBERS)
    for endpoint in ENDPOINTS:
        detector.record_sent(endpoint, 0)
    now = 1
    probes = len(detector.probes_due(now))
    for gap in gaps:
        now += gap
        probes += len(detector.probes_due(now))
    assert probes <= MAX_PROBE_BURST + (now - 1) * PROBES_PER_SECOND
