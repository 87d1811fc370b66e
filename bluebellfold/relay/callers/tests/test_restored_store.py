"""Test what a balancer knows after the store came back from a copy."""

from bluebellfold.relay.agents import Offer, Subscribe
from bluebellfold.relay.agents.zone_states import REWRITE_SECONDS
from bluebellfold.relay.callers.agent_list import NEVER, AgentListVersion
from bluebellfold.relay.callers.tests.harness import FIRST, SECOND
from bluebellfold.relay.callers.tests.test_evacuations import (
    IN_A,
    IN_B,
    balancer_with,
    evacuate,
    open_flow,
    report,
    sent_to,
)
from bluebellfold.relay.tests.harness import (
    Balancer,
    evacuation_of,
    position_of,
    report_of,
    single,
    versions_of,
)

# The list that the store had before, and the one of its copy.
BEFORE = {'revision': 20, 'era': 1}
COPY = {'revision': 8, 'era': 2}


def logged(caplog, event):
    return [each for each in caplog.records if each.event == event]


# Guards against review/13: an evacuation whose revision was below the one known
# from before the store's return had no effect.
def test_evacuation_after_the_return_keeps_new_flows_out():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, **BEFORE)
    evacuate(balancer, **COPY)
    evacuate(balancer, 'a', revision=9, era=2)
    for port in range(1000, 1006):
        open_flow(balancer, port=port)
    assert set(sent_to(balancer, Offer)) == {IN_B}


# Guards against a zone that stays empty because the end of its evacuation has
# a lower revision than its begin.
def test_evacuation_from_before_ends_after_the_return():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', **BEFORE)
    evacuate(balancer, 'a', **COPY)
    evacuate(balancer, revision=9, era=2)
    assert not balancer.relay.evacuated_zones


def test_evacuation_that_the_copy_lacks_holds_until_it_is_written_again():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', **BEFORE)
    evacuate(balancer, **COPY)
    balancer.advance(1)
    assert balancer.relay.evacuated_zones == {'a'}
    evacuate(balancer, 'a', revision=9, era=2)
    assert balancer.relay.evacuated_zones == {'a'}
    evacuate(balancer, revision=10, era=2)
    assert not balancer.relay.evacuated_zones


# Guards against a zone that stays empty for good: the evacuation was written
# again and ended while this balancer didn't reach the store.
def test_evacuation_that_is_not_written_again_ends_after_a_while():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', **BEFORE)
    evacuate(balancer, **COPY)
    balancer.advance(REWRITE_SECONDS - 1)
    evacuate(balancer, **COPY)
    assert balancer.relay.evacuated_zones == {'a'}
    balancer.advance(2)
    # The position of a calm store stays the same.
    evacuate(balancer, **COPY)
    assert not balancer.relay.evacuated_zones


def test_evacuation_that_had_ended_comes_back_only_while_the_store_shows_it():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', revision=10)
    evacuate(balancer, **BEFORE)
    evacuate(balancer, 'a', **COPY)
    assert balancer.relay.evacuated_zones == {'a'}
    evacuate(balancer, revision=9, era=2)
    report(balancer, IN_A, evacuation_of(revision=10))
    assert not balancer.relay.evacuated_zones


# Guards against a stop-gap that forgets what is known whenever a lower revision
# is read: a late answer has one too.
def test_late_lists_of_either_era_change_nothing(caplog):
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', revision=9, era=2)
    evacuate(balancer, 'b', revision=8, era=2)
    evacuate(balancer, 'b', **BEFORE)
    assert balancer.relay.evacuated_zones == {'a'}
    older = logged(caplog, 'BBF0762')
    assert [(one.era, one.revision) for one in older] == [(2, 8), (1, 20)]


def test_report_of_the_earlier_era_changes_nothing():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, revision=9, era=1)
    evacuate(balancer, 'a', revision=9, era=2)
    evacuate(balancer, revision=10, era=2)
    # An agent that a cut off balancer keeps telling of the past.
    report(balancer, IN_A, evacuation_of(era=1, revision=90))
    assert not balancer.relay.evacuated_zones


def test_report_of_the_later_era_is_adopted_and_the_list_read_again(caplog):
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, **BEFORE)
    report(balancer, IN_A, evacuation_of(era=2, revision=9))
    assert balancer.relay.evacuated_zones == {'a'}
    balancer.advance(0.4)
    assert balancer.relay.evacuations_outdated(balancer.now)
    begun = single(logged(caplog, 'BBF0761'))
    assert (begun.era, begun.era_before, begun.source) == (2, 1, IN_A[0])
    evacuate(balancer, 'a', revision=9, era=2)
    assert not balancer.relay.evacuations_outdated(balancer.now)


# Guards against flows to a zone whose evacuation the copy lacks, through a
# balancer that has known nothing else.
def test_balancer_that_starts_in_the_gap_learns_the_lost_evacuation():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, **COPY)
    report(balancer, IN_A, evacuation_of(era=1, revision=20))
    assert balancer.relay.evacuated_zones == {'a'}
    evacuate(balancer, revision=9, era=2)
    assert balancer.relay.evacuated_zones == {'a'}


def test_agents_are_told_the_era_with_the_state_of_their_zone():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', **COPY)
    balancer.advance(0.05)
    told = dict(balancer.transport.pop_messages(Subscribe))
    assert told[IN_A].versions.evacuation == evacuation_of(era=2, revision=8)


def test_store_that_lost_nothing_begins_no_era(caplog):
    balancer = balancer_with(IN_A, IN_B)
    for revision in (10, 10, 11):
        evacuate(balancer, 'a', revision=revision)
    report(balancer, IN_A, evacuation_of(revision=11))
    balancer.advance(1)
    assert not logged(caplog, 'BBF0761')
    assert not balancer.relay.evacuations_outdated(balancer.now)


# Guards against flows that are neither found nor ended: another balancer's
# number from before was greater than that of each new list, which was read
# again every second.
def test_list_of_the_later_era_is_complete_despite_greater_old_numbers():
    balancer = Balancer(agents=(FIRST, SECOND))
    told = report_of(versions=versions_of(agents=20))
    balancer.receive_message(FIRST, told)
    balancer.list_agents((FIRST, SECOND), revision=7, as_of=8, era=2)
    balancer.advance(0.4)
    assert not balancer.relay.agents_outdated(balancer.now)


def test_list_of_the_earlier_era_is_incomplete_despite_its_greater_number():
    known = AgentListVersion()
    known.replace(position=position_of(19), as_of=position_of(20), now=1)
    assert known.complete_at(2) == 2
    known.observe(position_of(7, era=2), now=2)
    assert known.complete_at(2) is NEVER
    assert known.is_outdated(2.4)
    known.replace(
        position=position_of(7, era=2), as_of=position_of(8, era=2), now=3
    )
    known.observe(position_of(19), now=3)
    assert known.complete_at(4) == 4
    assert not known.is_outdated(4)
