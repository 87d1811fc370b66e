"""Test when agents become suspected, are probed and recover."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellfold.agents.liveness import (
    MAX_PROBE_BURST,
    PROBES_PER_SECOND,
    Liveness,
)
from bluebellfold.agents.tests.test_ranking import members

MEMBERS = members(30)
ENDPOINTS = tuple(one.endpoint for one in MEMBERS)
FIRST, SECOND = ENDPOINTS[:2]


def test_agent_without_a_response_is_suspected():
    detector = Liveness(MEMBERS)
    detector.sent(FIRST, 10)
    detector.sent(FIRST, 10.4)
    assert detector.avoided(10.4) == frozenset()
    assert detector.avoided(11) == {FIRST}


def test_agent_that_responds_is_not_suspected():
    detector = Liveness(MEMBERS)
    detector.sent(FIRST, 10)
    detector.heard(FIRST, 10.3)
    detector.sent(FIRST, 10.5)
    assert detector.avoided(11) == frozenset()


def test_idle_agent_is_not_suspected():
    assert Liveness(MEMBERS).avoided(1000) == frozenset()


def test_response_to_a_probe_ends_the_suspicion():
    detector = Liveness(MEMBERS)
    detector.sent(FIRST, 10)
    detector.sent(SECOND, 10)
    assert set(detector.probes_due(11)) == {FIRST, SECOND}
    detector.heard(FIRST, 11.1)
    assert detector.avoided(11.1) == {SECOND}


def test_new_incarnation_ends_the_suspicion():
    detector = Liveness(MEMBERS)
    detector.sent(FIRST, 10)
    assert detector.avoided(11) == {FIRST}
    detector.adopt(MEMBERS)
    assert detector.avoided(11) == {FIRST}
    detector.adopt((MEMBERS[0].replace(incarnation=2), *MEMBERS[1:]))
    assert detector.avoided(11) == frozenset()


def test_agents_that_left_are_removed():
    detector = Liveness(MEMBERS)
    detector.sent(FIRST, 10)
    detector.sent(SECOND, 10)
    assert detector.avoided(11) == {FIRST, SECOND}
    detector.adopt(MEMBERS[1:])
    detector.sent(FIRST, 12)
    assert detector.avoided(20) == {SECOND}


def test_probes_of_one_agent_back_off():
    detector = Liveness(MEMBERS)
    detector.sent(FIRST, 0)
    ticks = [tick / 10 for tick in range(10, 610)]
    probes = sum(len(detector.probes_due(now)) for now in ticks)
    # The intervals are 0.25, 0.5, 1, 2 and 4 s, then 8 s each, in one minute.
    assert 10 <= probes <= 13


@settings(derandomize=True, deadline=None)
@given(gaps=st.lists(st.floats(0.01, 1), min_size=1, max_size=60))
def test_probes_stay_within_the_rate_limit(gaps):
    detector = Liveness(MEMBERS)
    for endpoint in ENDPOINTS:
        detector.sent(endpoint, 0)
    now = 1
    probes = len(detector.probes_due(now))
    for gap in gaps:
        now += gap
        probes += len(detector.probes_due(now))
    assert probes <= MAX_PROBE_BURST + (now - 1) * PROBES_PER_SECOND
