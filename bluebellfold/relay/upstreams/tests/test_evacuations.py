"""Test how an agent declines new flows while its zone is evacuated."""

import itertools

import pytest

from bluebellfold.relay.agents import (
    DECLINED_EVACUATED,
    Declined,
    ForwardedPacket,
    LoadReport,
    ReturnedPacket,
)
from bluebellfold.relay.agents.zone_states import REWRITE_SECONDS
from bluebellfold.relay.tests.harness import (
    encode_and_decode,
    evacuation_of,
    position_of,
    single,
    subscribe_of,
    versions_of,
)
from bluebellfold.relay.upstreams.tests.harness import (
    BALANCER,
    DATA,
    OTHER_BALANCER,
    agent_with_balancer,
    agent_with_flow,
    last_load,
    offer,
)
from bluebellfold.standins.packets import opening_packet

_ports = itertools.count(50_000)


def tell(agent, *, evacuated=True, revision=9, era=1, balancer=BALANCER):
    evacuation = evacuation_of(evacuated=evacuated, revision=revision, era=era)
    versions = versions_of(era=era, evacuation=evacuation)
    message = subscribe_of(versions=versions)
    agent.receive_message(balancer, encode_and_decode(message))


def accepts_flow(agent):
    """Return whether the agent accepts the flow of another client."""
    packet = opening_packet(client=('100.64.0.7', next(_ports)))
    offer(agent, packet)
    declined = agent.transport.pop_messages(Declined)
    if not declined:
        return packet in agent.transport.delivered
    assert single(declined).reason == DECLINED_EVACUATED
    assert packet not in agent.transport.delivered
    return False


def test_new_flow_is_declined_until_the_evacuation_ends():
    agent = agent_with_balancer()
    assert accepts_flow(agent)
    tell(agent)
    assert not accepts_flow(agent)
    tell(agent, evacuated=False, revision=10)
    assert accepts_flow(agent)


def test_any_balancer_may_tell_of_the_evacuation():
    # The watch of the balancer that offers the flow is cut.
    agent = agent_with_balancer()
    tell(agent, balancer=OTHER_BALANCER)
    assert not accepts_flow(agent)


@pytest.mark.parametrize('revision', [-1, 8, 9])
def test_state_that_is_not_newer_changes_nothing(revision):
    # A late renewal of a balancer whose watch is cut.
    agent = agent_with_balancer()
    tell(agent)
    tell(agent, evacuated=False, revision=revision, balancer=OTHER_BALANCER)
    assert not accepts_flow(agent)


def test_late_start_of_an_ended_evacuation_changes_nothing():
    agent = agent_with_balancer()
    tell(agent, evacuated=False, revision=10)
    tell(agent, revision=9, balancer=OTHER_BALANCER)
    assert accepts_flow(agent)


def test_change_is_reported_to_all_balancers_at_once():
    agent = agent_with_balancer()
    tell(agent, evacuated=False, revision=8, balancer=OTHER_BALANCER)
    agent.transport.sent.clear()
    tell(agent)
    reported = {
        address: message.load.versions.evacuation
        for address, message in agent.transport.sent
        if isinstance(message, LoadReport)
    }
    state = evacuation_of(revision=9)
    assert reported == {BALANCER: state, OTHER_BALANCER: state}


def test_newer_revision_is_kept_without_a_report():
    agent = agent_with_balancer()
    tell(agent)
    agent.transport.sent.clear()
    tell(agent, revision=10)
    assert not agent.transport.sent
    agent.advance(0.2)
    assert last_load(agent).versions.evacuation.position == position_of(10)


def test_agent_that_starts_during_an_evacuation_is_told_by_its_first_renewal():
    agent = agent_with_balancer()
    tell(agent)
    restarted = agent_with_balancer()
    tell(restarted)
    assert not accepts_flow(restarted)


def test_open_flow_stays_open():
    agent = agent_with_flow()
    tell(agent)
    agent.transport.delivered.clear()
    agent.receive_message(BALANCER, ForwardedPacket(packet=DATA))
    assert agent.transport.delivered == [DATA]
    assert not agent.transport.resets
    assert not agent.transport.pop_messages(ReturnedPacket)


def test_copy_of_an_accepted_opening_packet_still_passes():
    # The upstream holds the flow, so that a decline would be untrue.
    agent = agent_with_balancer()
    offer(agent)
    tell(agent)
    copy = opening_packet(attempt=1)
    offer(agent, copy)
    assert agent.transport.delivered[-1] == copy
    assert not agent.transport.pop_messages(Declined)


# Guards against an agent that goes on telling all balancers, also those that
# have just started, what was known before the store came back from a copy.
def test_state_of_a_later_era_holds_whatever_its_revision(caplog):
    agent = agent_with_balancer()
    tell(agent, evacuated=False, revision=20)
    tell(agent, revision=9, era=2)
    assert not accepts_flow(agent)
    assert last_load(agent).versions.evacuation == evacuation_of(era=2)
    begun = single([each for each in caplog.records if each.event == 'BBF0761'])
    assert (begun.era, begun.era_before, begun.source) == (2, 1, BALANCER[0])
    tell(agent, evacuated=False, revision=10, era=2)
    assert accepts_flow(agent)


def test_balancers_of_two_eras_tell_an_agent_in_turns():
    agent = agent_with_balancer()
    tell(agent, revision=9, era=2)
    for _ in range(3):
        tell(agent, evacuated=False, revision=20, balancer=OTHER_BALANCER)
        assert not accepts_flow(agent)
        tell(agent, revision=9, era=2)
    assert agent.relay.versions.agents == position_of(0, era=2)


def test_lost_evacuation_holds_until_the_writes_are_repeated():
    agent = agent_with_balancer()
    tell(agent, revision=20)
    tell(agent, evacuated=False, revision=8, era=2, balancer=OTHER_BALANCER)
    assert not accepts_flow(agent)
    agent.advance(REWRITE_SECONDS + 1)
    agent.announce(sequence=2)
    tell(agent, evacuated=False, revision=8, era=2)
    assert accepts_flow(agent)


def test_newest_list_of_agents_is_that_of_the_later_era():
    agent = agent_with_balancer()
    for agents, era in ((20, 1), (7, 2), (21, 1)):
        versions = versions_of(agents=agents, era=era)
        agent.receive_message(BALANCER, subscribe_of(versions=versions))
    assert agent.relay.versions.agents == position_of(7, era=2)
