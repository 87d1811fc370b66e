"""Test which processes are said to differ from the majority."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import Endpoint, Tally
from bluebellfold.relay.collectors import LatencyHistogram, render_metrics
from bluebellfold.relay.operators.agreement import (
    find_majorities,
    judge_processes,
)
from bluebellfold.relay.operators.process_state import (
    ProcessState,
    parse_metrics,
    read_state,
)

HEALTHY = {
    'configuration_version': 17,
    'agents_listed': 136,
    'agents_checksum': 99,
    'evacuated_zones': 0,
    'configuration_from_peer': 0,
    'agents_from_peer': 0,
    'services_unserved': 0,
    'oldest_report_milliseconds': 150,
}


def balancer(**changes):
    return ProcessState(
        endpoint=Endpoint(host='10.0.0.1', port=9464),
        role='balancer',
        gauges={**HEALTHY, **changes},
    )


def agent(**gauges):
    return ProcessState(
        endpoint=Endpoint(host='10.0.0.2', port=9464),
        role='agent',
        gauges={'newest_configuration_version': 17, 'balancers': 4, **gauges},
    )


def judge(*states):
    return judge_processes(states, find_majorities(states))


def differing(judgement):
    return [majority.gauge for majority in judgement.differences]


def test_processes_of_one_mind_are_not_flagged():
    judgements = judge(balancer(), balancer(), agent(), agent())
    assert not any(one.is_flagged for one in judgements)


@pytest.mark.parametrize(
    ('gauge', 'level'),
    [
        ('configuration_version', 16),
        ('configuration_version', 18),
        ('agents_listed', 135),
        # The same number of other agents: other subsets, other home agents.
        ('agents_checksum', 98),
        ('evacuated_zones', 1),
    ],
)
def test_balancer_that_differs_is_named_with_the_gauge(gauge, level):
    states = [balancer(), balancer(), balancer(**{gauge: level})]
    first, _, last = judge(*states)
    assert not first.is_flagged
    assert differing(last) == [gauge]
    assert last.differences[0].level == HEALTHY[gauge]
    assert (last.differences[0].holders, last.differences[0].processes) == (
        2,
        3,
    )


def test_newer_state_counts_if_two_are_equally_common():
    # In the middle of a change the late processes are the remarkable ones.
    late, newer = judge(balancer(configuration_version=16), balancer())
    assert differing(late) == ['configuration_version']
    assert not newer.is_flagged


def test_agent_that_nobody_follows_is_neither_counted_nor_flagged():
    # One agent in 75 has no follower, and hears of no change.
    stale = {'newest_configuration_version': 3, 'balancers': 0}
    judgements = judge(agent(**stale), agent(**stale), agent())
    assert not any(one.is_flagged for one in judgements)
    late = judge(agent(), agent(), agent(newest_configuration_version=3))[-1]
    assert differing(late) == ['newest_configuration_version']


def test_agents_without_followers_alone_have_no_majority():
    assert not find_majorities([agent(balancers=0)])


def test_gauge_that_an_older_process_does_not_serve_is_passed_over():
    older = ProcessState(
        endpoint=balancer().endpoint,
        role='balancer',
        gauges={'configuration_version': 17},
    )
    assert not any(one.is_flagged for one in judge(older, balancer()))


@pytest.mark.parametrize(
    ('changes', 'warning'),
    [
        ({'configuration_version': -1}, 'no configuration'),
        ({'agents_listed': 0}, 'knows no agents'),
        ({'configuration_from_peer': 1}, 'configuration is a copy'),
        ({'agents_from_peer': 1}, 'list of agents is a copy'),
        ({'services_unserved': 1}, 'follows no agent'),
        ({'oldest_report_milliseconds': 701}, 'reports late'),
    ],
)
def test_state_that_is_wrong_even_if_all_share_it_is_flagged(changes, warning):
    judgement = judge(balancer(**changes))[0]
    assert not judgement.differences
    assert warning in ' '.join(judgement.warnings)


def test_report_as_old_as_a_live_agents_is_not_flagged():
    assert not judge(balancer(oldest_report_milliseconds=700))[0].is_flagged


def test_page_that_the_product_serves_is_read():
    tally = Tally()
    tally.add('flows-offered', 2)
    page = render_metrics(
        tally=tally,
        latencies=LatencyHistogram(),
        gauges={'configuration-version': -1, 'agents-checksum': 2**32 - 1},
    )
    state = read_state(balancer().endpoint, page.decode())
    assert state.role == 'balancer'
    assert state.gauges['configuration_version'] == -1
    assert state.gauges['agents_checksum'] == 2**32 - 1
    assert state.gauges['flows_offered_total'] == 2


@pytest.mark.parametrize('page', ['', '<html>', 'up 1\n', 'bluebellfold_x nan'])
def test_page_of_another_program_is_flagged(page):
    state = read_state(balancer().endpoint, page)
    assert judge(state)[0].warnings == ('serves no metrics of the relay',)


@given(st.text())
def test_any_text_is_a_page(text):
    parse_metrics(text)
    parse_metrics(f'bluebellfold_{text}')
