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
    liveness = Liveness(MEMBERS)
    liveness.sent(FIRST, 10)
    liveness.sent(FIRST, 10.4)
    assert liveness.avoided(10.4) == frozenset()
    assert liveness.avoided(11) == {FIRST}


def test_agent_that_responds_is_not_suspected():
    liveness = Liveness(MEMBERS)
    liveness.sent(FIRST, 10)
    liveness.heard(FIRST, 10.3)
    liveness.sent(FIRST, 10.5)
    assert liveness.avoided(11) == frozenset()


def test_idle_agent_is_not_suspected():
    assert Liveness(MEMBERS).avoided(1000) == frozenset()


def test_response_to_a_probe_ends_the_suspicion():
    liveness = Liveness(MEMBERS)
    liveness.sent(FIRST, 10)
    liveness.sent(SECOND, 10)
    assert set(liveness.probes_due(11)) == {FIRST, SECOND}
    liveness.heard(FIRST, 11.1)
    assert liveness.avoided(11.1) == {SECOND}


def test_new_incarnation_ends_the_suspicion():
    liveness = Liveness(MEMBERS)
    liveness.sent(FIRST, 10)
    assert liveness.avoided(11) == {FIRST}
    liveness.adopt(MEMBERS)
    assert liveness.avoided(11) == {FIRST}
    liveness.adopt((MEMBERS[0].replace(incarnation=2), *MEMBERS[1:]))
    assert liveness.avoided(11) == frozenset()


def test_agents_that_left_are_removed():
    liveness = Liveness(MEMBERS)
    liveness.sent(FIRST, 10)
    liveness.sent(SECOND, 10)
    assert liveness.avoided(11) == {FIRST, SECOND}
    liveness.adopt(MEMBERS[1:])
    liveness.sent(FIRST, 12)
    assert liveness.avoided(20) == {SECOND}


def test_probes_of_one_agent_back_off():
    liveness = Liveness(MEMBERS)
    liveness.sent(FIRST, 0)
    ticks = [tick / 10 for tick in range(10, 610)]
    probes = sum(len(liveness.probes_due(now)) for now in ticks)
    # The intervals are 0.25, 0.5, 1, 2 and 4 s, then 8 s each, in one minute.
    assert 10 <= probes <= 13


@settings(derandomize=True, deadline=None)
@given(gaps=st.lists(st.floats(0.01, 1), min_size=1, max_size=60))
def test_probes_stay_within_the_rate_limit(gaps):
    liveness = Liveness(MEMBERS)
    for endpoint in ENDPOINTS:
        liveness.sent(endpoint, 0)
    now = 1
    probes = len(liveness.probes_due(now))
    for gap in gaps:
        now += gap
        probes += len(liveness.probes_due(now))
    assert probes <= MAX_PROBE_BURST + (now - 1) * PROBES_PER_SECOND
