"""Test which start of an upstream counts as the current one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.agents import (
    DECLINED_DRAINING,
    DECLINED_OTHER_SERVICE,
    DOWN,
    DRAINING,
    READY,
    Declined,
)
from bluebellfold.relay.tests.harness import (
    ANNOUNCEMENT_SECONDS,
    UPSTREAM_START_MS,
    announcement_of,
    single,
)
from bluebellfold.relay.upstreams.start_order import StartOrder
from bluebellfold.relay.upstreams.tests.harness import (
    agent_with_balancer,
    offer,
)

EARLIER_MS = UPSTREAM_START_MS - 2400
LATER_MS = UPSTREAM_START_MS + 2400


def keep_announcing(agent, count, *, first=1, **changes):
    """Announce at the usual interval, and return what was applied."""
    applied = []
    for sequence in range(first, first + count):
        applied.append(agent.announce(sequence=sequence, **changes))
        agent.advance(ANNOUNCEMENT_SECONDS)
    return applied


# Guards against DRAIN broken after a clock step: the draining state of a start
# that seemed older was acknowledged and never applied.
@pytest.mark.parametrize('name', ['i-1', 'i-2'])
def test_upstream_restarted_on_an_earlier_clock_drains(name):
    agent = agent_with_balancer()
    agent.advance(0.4)
    keep_announcing(agent, 5, born=EARLIER_MS, name=name)
    assert agent.announce(born=EARLIER_MS, name=name, sequence=6, draining=True)
    offer(agent)
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_DRAINING


def test_announcement_is_not_acknowledged_until_it_is_applied():
    agent = agent_with_balancer()
    agent.advance(0.4)
    applied = keep_announcing(agent, 4, born=EARLIER_MS, draining=True)
    assert applied == [False, False, True, True]
    assert agent.relay.state(agent.now) == DRAINING


def test_start_on_an_earlier_clock_is_current_at_once_if_the_port_was_closed():
    agent = agent_with_balancer()
    agent.relay.handle_refusal(agent.now)
    assert agent.announce(born=EARLIER_MS, name='i-2')
    assert agent.relay.state(agent.now) == READY


def test_late_announcements_of_earlier_starts_do_not_undo_a_drain():
    agent = agent_with_balancer()
    agent.announce(born=LATER_MS, name='i-2')
    agent.announce(born=LATER_MS, name='i-2', sequence=2, draining=True)
    # One start was known before, the other is new to this agent.
    assert not agent.announce(sequence=7)
    assert not agent.announce(born=LATER_MS + 1, name='i-0', sequence=7)
    assert agent.relay.state(agent.now) == DRAINING


def test_late_announcements_that_were_held_up_together_do_not_confirm():
    agent = agent_with_balancer()
    agent.advance(1.7)
    for sequence in range(5, 9):
        assert not agent.announce(born=EARLIER_MS, sequence=sequence)
        agent.advance(0.1)
    assert agent.announce(sequence=2)


def test_start_that_a_late_announcement_replaced_returns():
    # A start on a clock that was ahead isn't known to this agent, and its late
    # announcement seems to be of a later start.
    agent = agent_with_balancer()
    assert agent.announce(born=LATER_MS, name='i-0', sequence=7)
    applied = keep_announcing(agent, 3, first=2)
    assert applied[-1]
    assert agent.announce(sequence=5, draining=True)


# Guards against ROUTE broken by a late announcement of the upstream that had
# the address before: the agent of the new one admitted flows of its service.
def test_late_announcement_of_another_service_is_not_applied():
    agent = agent_with_balancer(announced=False)
    assert not agent.announce(service='makeroom', name='i-0')
    offer(agent, service='makeroom')
    declined = single(agent.transport.pop_messages(Declined))
    assert declined.reason == DECLINED_OTHER_SERVICE
    assert agent.announce()
    assert not agent.announce(service='makeroom', name='i-0', sequence=9)
    assert agent.relay.state(agent.now) == READY


def test_late_deregistration_of_the_same_name_ends_no_later_start():
    agent = agent_with_balancer()
    agent.announce(born=LATER_MS)
    agent.relay.apply_deregistration('i-1', agent.now)
    assert agent.relay.state(agent.now) == DOWN
    applied = keep_announcing(agent, 4, first=2, born=LATER_MS)
    assert applied[-1]
    assert agent.relay.state(agent.now) == READY


def test_start_that_deregistered_is_no_candidate_any_longer():
    agent = agent_with_balancer()
    agent.advance(0.4)
    assert not agent.announce(born=EARLIER_MS, name='i-2')
    assert not agent.relay.apply_deregistration('i-2', agent.now)
    agent.advance(2)
    assert not agent.announce(born=EARLIER_MS, name='i-2', sequence=2)


def test_late_announcement_of_a_deregistered_start_is_ignored():
    agent = agent_with_balancer()
    agent.relay.apply_deregistration('i-1', agent.now)
    assert not agent.announce(sequence=2)
    assert agent.relay.state(agent.now) == DOWN


def test_late_deregistration_ends_no_start_that_a_new_agent_hears_later():
    agent = agent_with_balancer(announced=False)
    agent.relay.apply_deregistration('i-0', agent.now)
    assert agent.relay.state(agent.now) == DOWN
    agent.announce()
    assert agent.relay.state(agent.now) == READY


def test_two_restarts_within_one_interval_end_with_the_last_start():
    agent = agent_with_balancer()
    agent.advance(0.3)
    assert not agent.announce(born=EARLIER_MS, name='i-2')
    agent.advance(0.3)
    applied = keep_announcing(agent, 3, born=EARLIER_MS - 500, name='i-3')
    assert applied[-1]


def test_restart_under_the_same_name_and_start_time_is_detected():
    # Older upstreams don't send their start time.
    agent = agent_with_balancer(announced=False)
    keep_announcing(agent, 5, born=0)
    applied = keep_announcing(agent, 4, born=0)
    assert applied[-1]


@given(
    clock_steps=st.lists(
        st.integers(min_value=-5000, max_value=5000), min_size=1, max_size=4
    ),
    lifetimes=st.lists(
        st.floats(min_value=0.2, max_value=6), min_size=4, max_size=4
    ),
    late=st.lists(
        st.tuples(
            st.integers(min_value=0, max_value=3),
            st.floats(min_value=0, max_value=4),
        ),
        max_size=3,
    ),
)
def test_live_start_is_current_after_late_announcements_end(
    clock_steps, lifetimes, late
):
    """Draw starts on clocks that step, and late announcements of ended ones."""
    order = StartOrder(interval_seconds=1)
    now = float(100)
    starts = []
    for number, step_ms in enumerate(clock_steps):
        born = round(now * 1000) + step_ms
        starts.append((f'i-{number}', born))
        until = now + lifetimes[number]
        sequence = 1
        while now < until:
            order.judge(
                announcement_of(
                    name=f'i-{number}', born=born, sequence=sequence
                ),
                now,
            )
            sequence += 1
            now += 1
        # The next start begins while the last interval runs.
        now -= 0.6
    name, born = starts[-1]
    live_sequence = 100
    due = now
    for index, delay in sorted(late, key=lambda each: each[1]):
        while due < now + delay:
            order.judge(
                announcement_of(name=name, born=born, sequence=live_sequence),
                due,
            )
            live_sequence += 1
            due += 1
        ended_name, ended_born = starts[index % len(starts)]
        if ended_name != name:
            order.judge(
                announcement_of(name=ended_name, born=ended_born, sequence=50),
                now + delay,
            )
    verdicts = []
    for _ in range(4):
        verdicts.append(
            order.judge(
                announcement_of(name=name, born=born, sequence=live_sequence),
                due,
            )
        )
        live_sequence += 1
        due += 1
    assert verdicts[-1].accepted, 'within DrainMs of the last late one'
    assert order.announcement
    assert order.announcement.start == (name, born)
