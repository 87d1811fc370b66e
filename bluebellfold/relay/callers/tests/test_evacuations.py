"""Test how a balancer keeps new flows out of evacuated zones."""

import itertools

import pytest

from bluebellfold.core import NO_VERSION
from bluebellfold.relay.agents import (
    DECLINED_EVACUATED,
    DECLINED_UNANSWERED,
    NO_EVACUATION,
    SUBSET_SIZE,
    AgentEntry,
    Declined,
    ForwardedPacket,
    KnownEra,
    Offer,
    Subscribe,
)
from bluebellfold.relay.callers.evacuations import Evacuations
from bluebellfold.relay.tests.harness import (
    COUNTER,
    Balancer,
    encode_and_decode,
    evacuation_of,
    fleet_of,
    position_of,
    report_of,
    single,
    versions_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    client_packet,
    opening_packet,
)

PEER = '10.1.0.2'
IN_A = ('10.0.0.1', 8172)
IN_B = ('10.0.0.2', 8172)
ZONES = {IN_A: 'a', IN_B: 'b'}
# The client's first packet after the upstream's reply.
FIRST_DATA = client_packet(flags=ACKNOWLEDGE, sequence=1, payload=b'first')

_sequences = itertools.count(1)


def entry_of(address):
    return AgentEntry(address=address, service=COUNTER, zone=ZONES[address])


def report(balancer, address, evacuation=NO_EVACUATION):
    message = report_of(
        sequence=next(_sequences),
        zone=ZONES[address],
        versions=versions_of(evacuation=evacuation),
    )
    balancer.receive_message(address, encode_and_decode(message))


def balancer_with(*addresses, **options):
    """Return a balancer with agents of these addresses that have reported."""
    balancer = Balancer(
        agents=[entry_of(address) for address in addresses], **options
    )
    for address in addresses:
        report(balancer, address)
    # The renewal that is due at the start.
    balancer.advance(0.05)
    balancer.transport.sent.clear()
    return balancer


def evacuate(balancer, *zones, revision=10, era=1):
    balancer.relay.update_evacuations(
        frozenset(zones),
        balancer.now,
        position=position_of(revision, era=era),
    )


def open_flow(balancer, *, port=40_001, attempt=0):
    packet = opening_packet(client=('100.64.0.7', port), attempt=attempt)
    balancer.receive_packet(packet)
    return packet


def sent_to(balancer, message_type):
    popped = balancer.transport.pop_messages(message_type)
    return [address for address, _ in popped]


def refusals(balancer, caplog):
    """Return the reasons of the refusals, one for each reset."""
    reasons = [
        record.reason
        for record in caplog.records
        if getattr(record, 'event', '') == 'BBF0703'
    ]
    assert len(balancer.transport.resets) == len(reasons)
    return reasons


def copy_evacuations(balancer, *zones, revision=10):
    balancer.relay.update_evacuations(
        frozenset(zones),
        balancer.now,
        position=position_of(revision),
        peer=PEER,
    )


def test_copied_evacuation_keeps_new_flows_out_and_is_told_to_agents(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A, IN_B)
    copy_evacuations(balancer, 'a')
    for port in range(1000, 1006):
        open_flow(balancer, port=port)
    assert set(sent_to(balancer, Offer)) == {IN_B}
    balancer.advance(0.05)
    told = dict(balancer.transport.pop_messages(Subscribe))
    assert told[IN_A].versions.evacuation == evacuation_of(revision=10)
    logged = [r for r in caplog.records if r.event == 'BBF0746']
    assert single(logged).source == PEER


# Guards against a copy that undoes what the store or an agent has told, and
# against one whose order of arrival decides.
def test_copied_evacuations_never_revert_newer_state():
    balancer = balancer_with(IN_A, IN_B)
    report(balancer, IN_A, evacuation_of(evacuated=False, revision=12))
    copy_evacuations(balancer, 'a', 'b', revision=11)
    assert balancer.relay.evacuated_zones == {'b'}
    copy_evacuations(balancer, 'a', revision=9)
    assert balancer.relay.evacuated_zones == {'b'}
    evacuate(balancer, 'b', revision=13)
    copy_evacuations(balancer, 'a', revision=90)
    assert balancer.relay.evacuated_zones == {'b'}
    assert balancer.relay.sources.evacuations.is_store


def test_older_answer_of_the_store_does_not_end_a_copied_evacuation():
    balancer = balancer_with(IN_A, IN_B)
    copy_evacuations(balancer, 'a', revision=11)
    evacuate(balancer, revision=10)
    assert balancer.relay.evacuated_zones == {'a'}
    evacuate(balancer, revision=12)
    assert not balancer.relay.evacuated_zones


# Guards against refusals for an evacuation that has ended since another
# balancer read of it.
def test_no_flow_is_refused_by_copied_evacuations(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A)
    copy_evacuations(balancer, 'a')
    open_flow(balancer)
    assert balancer.relay.queued_flows == 1
    assert not balancer.transport.resets
    evacuate(balancer, 'a', revision=11)
    balancer.advance(0.05)
    assert refusals(balancer, caplog) == ['all-zones-evacuated']


def test_agent_of_an_unknown_zone_is_told_no_state():
    # Its entry names no zone. It took the state for that of its evacuated zone,
    # accepted flows, and told balancers that the evacuation had ended.
    balancer = Balancer(agents=[AgentEntry(address=IN_A)])
    balancer.transport.sent.clear()
    evacuate(balancer, 'a')
    balancer.advance(0.05)
    _, message = single(balancer.transport.pop_messages(Subscribe))
    assert message.versions.evacuation == NO_EVACUATION
    report(balancer, IN_A)
    balancer.advance(1)
    _, message = balancer.transport.pop_messages(Subscribe)[-1]
    assert message.versions.evacuation == evacuation_of(revision=10)


def test_new_flows_go_to_other_zones_only():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a')
    for port in range(1000, 1006):
        open_flow(balancer, port=port)
    assert set(sent_to(balancer, Offer)) == {IN_B}


def test_new_flows_return_when_the_evacuation_ends():
    balancer = balancer_with(IN_A)
    evacuate(balancer, 'a')
    open_flow(balancer, port=1000)
    evacuate(balancer, revision=11)
    open_flow(balancer, port=1001)
    assert sent_to(balancer, Offer) == [IN_A]


def test_repeated_opening_packet_does_not_follow_an_earlier_offer():
    # Its agent may not have heard of the evacuation yet, and open the flow.
    balancer = balancer_with(IN_A)
    open_flow(balancer)
    balancer.list_agents([entry_of(IN_A), entry_of(IN_B)])
    report(balancer, IN_B)
    evacuate(balancer, 'a')
    open_flow(balancer, attempt=1)
    assert sent_to(balancer, Offer) == [IN_A, IN_B]


def test_packets_of_open_flows_still_reach_an_evacuated_zone():
    balancer = balancer_with(IN_A)
    open_flow(balancer)
    balancer.receive_packet(FIRST_DATA)
    evacuate(balancer, 'a')
    balancer.receive_packet(FIRST_DATA)
    balancer.advance(2)
    assert sent_to(balancer, ForwardedPacket) == [IN_A, IN_A]
    assert not balancer.transport.resets


def test_flow_without_upstream_elsewhere_is_refused_at_once(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', 'b')
    open_flow(balancer)
    assert refusals(balancer, caplog) == ['all-zones-evacuated']
    assert not sent_to(balancer, Offer)


def test_queued_flow_is_refused_when_the_last_zone_is_evacuated(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A, IN_B)
    balancer.advance(1)
    open_flow(balancer)
    assert balancer.relay.queued_flows == 1, 'both agents are silent'
    evacuate(balancer, 'a')
    assert not balancer.transport.resets
    evacuate(balancer, 'a', 'b', revision=11)
    assert refusals(balancer, caplog) == ['all-zones-evacuated']
    assert not balancer.relay.queued_flows


def test_queued_flow_is_refused_when_the_agents_elsewhere_leave(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A, IN_B)
    balancer.advance(1)
    evacuate(balancer, 'a')
    open_flow(balancer)
    balancer.list_agents([entry_of(IN_A)])
    assert refusals(balancer, caplog) == ['all-zones-evacuated']


@pytest.mark.parametrize('agents', [(), (IN_B,), None])
def test_flow_waits_while_an_agent_elsewhere_may_come(agents):
    # No agent is listed, or one whose report is missing.
    entries = None if agents is None else map(entry_of, agents)
    balancer = Balancer(agents=entries)
    evacuate(balancer, 'a')
    open_flow(balancer)
    assert balancer.relay.queued_flows == 1
    assert not balancer.transport.resets


def test_agent_without_listed_zone_counts_where_it_reports_to_be(caplog):
    # Agents of an earlier release list their address only.
    caplog.set_level('INFO')
    balancer = Balancer(agents=[IN_A])
    evacuate(balancer, 'a')
    open_flow(balancer, port=1000)
    assert balancer.relay.queued_flows == 1
    report(balancer, IN_A)
    assert refusals(balancer, caplog) == ['all-zones-evacuated']


def test_flow_declined_by_the_last_zone_is_refused(caplog):
    # The list of evacuations is late, and the agents decline.
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A)
    packet = open_flow(balancer)
    report(balancer, IN_A, evacuation_of())
    assert not balancer.transport.resets, 'the agent may have accepted it'
    balancer.receive_message(
        IN_A, Declined(packet=packet, reason=DECLINED_EVACUATED)
    )
    assert refusals(balancer, caplog) == ['all-zones-evacuated']


def test_balancer_without_a_list_offers_until_agents_decline():
    balancer = balancer_with(IN_A, IN_B)
    packet = open_flow(balancer)
    first, _ = single(balancer.transport.pop_messages(Offer))
    balancer.receive_message(
        first, Declined(packet=packet, reason=DECLINED_EVACUATED)
    )
    second, _ = single(balancer.transport.pop_messages(Offer))
    assert {first, second} == {IN_A, IN_B}


def test_flow_that_an_agent_may_have_opened_is_not_reset():
    # Its agent accepted the flow, but the report of it was lost. The client,
    # which has its answer, repeats no opening packet.
    balancer = balancer_with(IN_A)
    open_flow(balancer)
    balancer.advance(0.05)
    evacuate(balancer, 'a')
    balancer.advance(2)
    assert not balancer.relay.queued_flows
    assert not balancer.transport.resets


def test_unanswered_flow_is_refused_on_its_next_opening_packet(caplog):
    # The repeat shows that the client has no answer.
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A)
    packet = open_flow(balancer)
    evacuate(balancer, 'a')
    balancer.receive_message(
        IN_A, Declined(packet=packet, reason=DECLINED_UNANSWERED)
    )
    assert not balancer.transport.resets
    open_flow(balancer, attempt=1)
    assert refusals(balancer, caplog) == ['all-zones-evacuated']


def test_change_is_sent_at_once_to_followed_agents():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a')
    balancer.advance(0.05)
    told = {
        address: message.versions.evacuation
        for address, message in balancer.transport.pop_messages(Subscribe)
    }
    assert told == {
        IN_A: evacuation_of(revision=10),
        IN_B: evacuation_of(evacuated=False, revision=10),
    }


def test_newer_revision_without_a_change_is_sent_with_the_next_renewal():
    # Otherwise each renewal of a watch would cost a message to each agent.
    balancer = balancer_with(IN_A)
    evacuate(balancer, revision=11)
    balancer.advance(0.05)
    assert not sent_to(balancer, Subscribe)
    balancer.advance(0.6)
    _, message = single(balancer.transport.pop_messages(Subscribe))
    assert message.versions.evacuation.position == position_of(11)


def test_newer_state_of_an_agent_is_adopted_and_the_list_read_again():
    # The store refuses this balancer, or its watch was cut without an error.
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, revision=8)
    report(balancer, IN_A, evacuation_of())
    open_flow(balancer)
    assert sent_to(balancer, Offer) == [IN_B]
    assert not balancer.relay.evacuations_outdated(balancer.now)
    balancer.advance(0.4)
    assert balancer.relay.evacuations_outdated(balancer.now)
    evacuate(balancer, 'a')
    assert not balancer.relay.evacuations_outdated(balancer.now)


def test_agent_that_only_knows_a_newer_revision_causes_no_list():
    # Otherwise balancers would make each other list for ever.
    balancer = balancer_with(IN_A)
    evacuate(balancer, 'a')
    report(balancer, IN_A, evacuation_of(revision=11))
    balancer.advance(0.4)
    assert not balancer.relay.evacuations_outdated(balancer.now)


@pytest.mark.parametrize('revision', [NO_VERSION, 9, 10])
def test_older_state_of_an_agent_changes_nothing(revision):
    balancer = balancer_with(IN_A)
    evacuate(balancer, 'a')
    report(balancer, IN_A, evacuation_of(evacuated=False, revision=revision))
    open_flow(balancer)
    balancer.advance(0.4)
    assert not sent_to(balancer, Offer)
    assert not balancer.relay.evacuations_outdated(balancer.now)


def test_older_list_changes_nothing():
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a', revision=10)
    evacuate(balancer, 'b', revision=9)
    assert balancer.relay.evacuated_zones == {'a'}


def test_list_that_is_older_for_one_zone_holds_for_the_others():
    # The list was read before the evacuation that an agent told.
    balancer = balancer_with(IN_A, IN_B)
    report(balancer, IN_A, evacuation_of(revision=12))
    evacuate(balancer, 'b', revision=11)
    assert balancer.relay.evacuated_zones == {'a', 'b'}
    evacuate(balancer, revision=13)
    assert not balancer.relay.evacuated_zones


def test_evacuation_ended_within_a_second_leaves_no_trace():
    # The agent has only heard of its start, from a balancer that is late.
    balancer = balancer_with(IN_A)
    evacuate(balancer, 'a', revision=10)
    evacuate(balancer, revision=11)
    report(balancer, IN_A, evacuation_of(revision=10))
    open_flow(balancer)
    assert sent_to(balancer, Offer) == [IN_A]


def test_evacuation_of_an_unknown_zone_changes_no_assignment(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A)
    evacuate(balancer, 'nowhere')
    open_flow(balancer)
    assert sent_to(balancer, Offer) == [IN_A]
    logged = [r for r in caplog.records if r.event == 'BBF0746']
    assert single(logged).agents == 0


def test_each_change_is_logged_once(caplog):
    caplog.set_level('INFO')
    balancer = balancer_with(IN_A, IN_B)
    evacuate(balancer, 'a')
    evacuate(balancer, 'a', revision=11)
    report(balancer, IN_A, evacuation_of(evacuated=False, revision=12))
    logged = [r for r in caplog.records if r.event == 'BBF0746']
    assert [(r.zone, r.evacuated, r.revision, r.source) for r in logged] == [
        ('a', True, 10, 'store'),
        ('a', False, 12, IN_A[0]),
    ]


def test_balancer_follows_enough_agents_elsewhere():
    # Half of the followed agents are in the balancer's own zone.
    balancer = Balancer(agents=fleet_of(40))
    balancer.transport.sent.clear()
    evacuate(balancer, 'a')
    balancer.advance(0.05)
    zone_by_address = {entry.address: entry.zone for entry in fleet_of(40)}
    zones = [
        zone_by_address[address]
        for address, message in balancer.transport.pop_messages(Subscribe)
        if not message.once
    ]
    assert sum(zone != 'a' for zone in zones) >= SUBSET_SIZE
    assert 'a' in zones, 'its agents must hear of the evacuation'


def test_agents_in_evacuated_zones_are_not_sampled():
    balancer = Balancer(agents=fleet_of(40))
    evacuate(balancer, 'a', 'b')
    balancer.transport.sent.clear()
    open_flow(balancer)
    zone_by_address = {entry.address: entry.zone for entry in fleet_of(40)}
    sampled = sent_to(balancer, Subscribe)
    assert {zone_by_address[address] for address in sampled} == {'c'}


def test_state_of_a_zone_is_unknown_before_any_list():
    assert Evacuations(known_era=KnownEra()).find('a') == NO_EVACUATION
