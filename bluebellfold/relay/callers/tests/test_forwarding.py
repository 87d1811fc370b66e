"""Test how a balancer forwards packets and looks up flows."""

from bluebellfold.relay.agents import (
    DOWN,
    AgentEntry,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowPresumedAbsent,
    FlowUncertain,
    ForwardedPacket,
    ReturnedPacket,
    encode_message,
)
from bluebellfold.relay.callers.tests.harness import (
    DATA,
    FIRST,
    SECOND,
    THIRD,
    balancer_with,
)
from bluebellfold.relay.tests.harness import (
    COUNTER,
    ZONE,
    Balancer,
    fleet_of,
    position_of,
    report_of,
    versions_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    client_packet,
    opening_packet,
)


def test_packets_of_an_established_flow_go_to_its_agent():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(DATA)
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (FIRST, ForwardedPacket(packet=DATA))
    ]


def test_unknown_flow_is_looked_up_at_all_agents_and_sent_to_its_owner():
    balancer = balancer_with(report_of(), report_of(), report_of())
    balancer.receive_packet(DATA)
    queried = [
        address for address, _ in balancer.transport.pop_messages(FlowLookup)
    ]
    assert sorted(queried) == [FIRST, SECOND, THIRD]
    balancer.receive_packet(DATA)
    assert not balancer.transport.pop_messages(FlowLookup), (
        'the query is repeated before its interval ends'
    )
    balancer.receive_message(THIRD, FlowFound(flow=DATA.flow))
    forwarded = balancer.transport.pop_messages(ForwardedPacket)
    assert forwarded == [
        (THIRD, ForwardedPacket(packet=DATA)) for _ in range(2)
    ]
    balancer.receive_packet(DATA)
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (THIRD, ForwardedPacket(packet=DATA))
    ]


def test_lookup_sends_a_few_bytes_to_each_agent():
    # A balancer on a 10 Mbit/s link that takes over a hundred flows would
    # saturate the link if it sent their packets to each of 61 agents.
    balancer = balancer_with(report_of(), report_of(), report_of())
    balancer.receive_packet(
        client_packet(flags=ACKNOWLEDGE, payload=b'x' * 1200)
    )
    sent = [encode_message(message) for _, message in balancer.transport.sent]
    assert sum(map(len, sent)) < 100


def test_upstream_of_an_uncertain_agent_is_probed():
    # The agent has restarted while its upstream kept running.
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    balancer.receive_message(SECOND, FlowUncertain(flow=DATA.flow))
    assert not balancer.transport.resets
    assert not balancer.transport.pop_messages(ForwardedPacket)
    balancer.advance(0.1)
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (SECOND, ForwardedPacket(packet=DATA))
    ]
    balancer.receive_message(SECOND, ReturnedPacket(packet=DATA))
    assert balancer.transport.resets == [DATA]


def test_no_upstream_is_probed_once_the_owner_has_answered():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(SECOND, FlowUncertain(flow=DATA.flow))
    balancer.receive_message(FIRST, FlowFound(flow=DATA.flow))
    balancer.transport.pop_messages(ForwardedPacket)
    balancer.advance(0.1)
    assert not balancer.transport.pop_messages(ForwardedPacket)


def test_flow_is_not_reset_while_the_agent_list_is_outdated():
    # The watch of the agent list has stalled, and an agent that was added
    # since may hold the flow.
    balancer = balancer_with(
        report_of(), report_of(versions=versions_of(agents=7))
    )
    balancer.receive_packet(DATA)
    for agent in (FIRST, SECOND):
        balancer.receive_message(agent, ReturnedPacket(packet=DATA))
    assert not balancer.transport.resets
    balancer.advance(0.4)
    assert balancer.relay.agents_outdated(balancer.now)
    balancer.list_agents((FIRST, SECOND, THIRD), revision=7)
    assert not balancer.relay.agents_outdated(balancer.now)
    balancer.receive_packet(DATA)
    assert THIRD in [
        address for address, _ in balancer.transport.pop_messages(FlowLookup)
    ]


# Guards against lists that count as outdated for good: the agent that was
# written last had left before this balancer started, and others still told of
# its revision.
def test_list_read_later_than_the_newest_known_agent_is_complete():
    balancer = balancer_with(
        report_of(), report_of(versions=versions_of(agents=7))
    )
    balancer.relay.update_agents(
        [AgentEntry(address=address) for address in (FIRST, SECOND)],
        balancer.now,
        position=position_of(5),
        as_of=position_of(9),
    )
    balancer.advance(0.4)
    assert not balancer.relay.agents_outdated(balancer.now)
    balancer.receive_packet(DATA)
    for agent in (FIRST, SECOND):
        balancer.receive_message(agent, ReturnedPacket(packet=DATA))
    assert balancer.transport.resets == [DATA]


# Guards against living flows that are reset while the list is read in pages: an
# agent listed itself after the page that it belongs to, and the list counted as
# complete as of the newest agent of a later page.
def test_list_is_complete_as_of_its_first_page():
    balancer = balancer_with(
        report_of(), report_of(versions=versions_of(agents=12))
    )
    balancer.list_agents((FIRST, SECOND), revision=12, as_of=10)
    deny_everywhere(balancer)
    balancer.advance(0.45)
    assert not balancer.transport.resets
    balancer.list_agents((FIRST, SECOND), revision=12, as_of=12)
    balancer.advance(0.45)
    assert balancer.transport.resets == [DATA]


# Guards against living flows that are reset while agents list themselves one by
# one: after each change the list is not read for a time, in which another
# balancer may already know a new agent and have offered it the flow.
def test_flow_is_not_reset_before_the_list_is_read_again():
    balancer = balancer_with(report_of(), report_of())
    balancer.list_agents((FIRST, SECOND), revision=7, next_read_seconds=0.6)
    balancer.advance(0.1)
    deny_everywhere(balancer)
    balancer.advance(0.3)
    assert not balancer.transport.resets
    balancer.list_agents(
        (FIRST, SECOND, THIRD), revision=8, next_read_seconds=0.6
    )
    balancer.advance(0.4)
    assert not balancer.transport.resets
    balancer.receive_message(THIRD, FlowFound(flow=DATA.flow))
    assert (THIRD, ForwardedPacket(packet=DATA)) in balancer.transport.sent


def test_lost_flow_is_reset_once_the_list_was_read_again():
    balancer = balancer_with(report_of(), report_of())
    balancer.list_agents((FIRST, SECOND), revision=7, next_read_seconds=0.6)
    balancer.advance(0.1)
    deny_everywhere(balancer)
    balancer.list_agents((FIRST, SECOND), revision=8, next_read_seconds=0.6)
    balancer.advance(0.45)
    assert balancer.transport.resets == [DATA]


def test_lost_flow_is_reset_if_the_list_does_not_change_any_more():
    balancer = balancer_with(report_of(), report_of())
    balancer.list_agents((FIRST, SECOND), revision=7, next_read_seconds=0.6)
    balancer.advance(0.1)
    deny_everywhere(balancer)
    balancer.advance(0.85)
    assert balancer.transport.resets == [DATA]


# Guards against a full list of each balancer for each agent that lists itself:
# the watch was behind by the time for which it waits on purpose.
def test_list_that_is_read_again_soon_is_not_outdated():
    balancer = balancer_with(report_of())
    balancer.list_agents((FIRST,), revision=6, next_read_seconds=0.6)
    report = report_of(sequence=2, versions=versions_of(agents=7))
    balancer.receive_message(FIRST, report)
    balancer.advance(0.5)
    assert not balancer.relay.agents_outdated(balancer.now)
    balancer.advance(0.15)
    assert balancer.relay.agents_outdated(balancer.now)


# Guards against a request that runs after its client was told of a lost flow:
# the packet still went to an uncertain agent that had just left the list.
def test_no_upstream_is_probed_after_the_reset():
    balancer = balancer_with(report_of(), report_of(), report_of())
    deny_everywhere(balancer)
    balancer.advance(0.37)
    balancer.receive_message(THIRD, FlowUncertain(flow=DATA.flow))
    deregister(balancer, THIRD, left=(FIRST, SECOND))
    balancer.advance(0.1)
    assert balancer.transport.resets == [DATA]
    assert not balancer.transport.pop_messages(ForwardedPacket)


def deregister(balancer, agent, *, left):
    """Report the upstream of an agent as down, and list the agents left."""
    balancer.receive_message(agent, report_of(sequence=9, state=DOWN))
    balancer.list_agents(left)


def deny_everywhere(balancer):
    balancer.receive_packet(DATA)
    for agent in (FIRST, SECOND):
        balancer.receive_message(agent, FlowNotFound(flow=DATA.flow))


# Guards against FLOW broken by a balancer that started without the store: it
# knew no agent, and took the denial of one for that of all.
def test_flow_is_not_reset_before_the_agents_are_listed():
    balancer = Balancer(agents=None)
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    assert not balancer.transport.resets


def test_flow_is_reset_once_all_agents_report_it_not_found():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    assert not balancer.transport.resets
    balancer.receive_message(SECOND, ReturnedPacket(packet=DATA))
    assert balancer.transport.resets == [DATA]


# Guards against FLOW broken by a denial that rests on start times alone.
def test_presumed_absence_at_a_few_agents_is_confirmed_by_their_upstreams():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    balancer.receive_message(SECOND, FlowPresumedAbsent(flow=DATA.flow))
    balancer.advance(0.1)
    assert not balancer.transport.resets
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (SECOND, ForwardedPacket(packet=DATA))
    ]
    balancer.receive_message(SECOND, ReturnedPacket(packet=DATA))
    assert balancer.transport.resets == [DATA]


def test_presumed_absence_is_confirmed_once_another_agent_has_denied_late():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(SECOND, FlowPresumedAbsent(flow=DATA.flow))
    balancer.advance(0.1)
    assert not balancer.transport.pop_messages(ForwardedPacket)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    balancer.advance(0.1)
    assert balancer.transport.pop_messages(ForwardedPacket)
    balancer.receive_message(SECOND, FlowFound(flow=DATA.flow))
    assert not balancer.transport.resets


# Load pattern: after a power loss of all VMs, clients send packets of thousands
# of lost flows, and every agent presumes only that it lacks them.
def test_flow_that_many_agents_presume_absent_is_reset_without_packets():
    agents = [(f'10.0.0.{number}', 8172) for number in range(1, 5)]
    balancer = Balancer(agents=agents)
    for address in agents:
        balancer.receive_message(address, report_of())
    balancer.transport.sent.clear()
    balancer.receive_packet(DATA)
    for address in agents:
        balancer.receive_message(address, FlowPresumedAbsent(flow=DATA.flow))
    assert balancer.transport.resets == [DATA]
    assert not balancer.transport.pop_messages(ForwardedPacket)


# Load pattern: all processes are killed, and the upstreams keep their flows.
# Guards against balancers that are overloaded by a packet of each flow to each
# upstream.
def test_upstreams_are_probed_first_where_the_flow_is_likely_held():
    entries = [
        AgentEntry(
            address=(f'10.0.0.{number}', 8172), service=service, zone=zone
        )
        for number, (service, zone) in enumerate(
            ((COUNTER, ZONE), (COUNTER, 'b'), ('press', ZONE), (COUNTER, ZONE))
        )
    ]
    balancer = Balancer(agents=entries)
    for entry in entries:
        balancer.receive_message(entry.address, report_of(zone=entry.zone))
    balancer.receive_packet(DATA)
    for entry in entries:
        balancer.receive_message(entry.address, FlowUncertain(flow=DATA.flow))
    stages = []
    for _ in range(4):
        balancer.advance(0.05)
        probed = balancer.transport.pop_messages(ForwardedPacket)
        stages.append([int(address[0][-1]) for address, _ in probed])
    assert [stage for stage in stages if stage] == [[0, 3], [1], [2]]


# Guards against a flow that isn't found: its client sends packets without a
# pause, and an upstream that stands still was probed again after each query.
def test_upstream_that_stands_still_holds_up_no_other_probe():
    entries = [
        AgentEntry(address=FIRST, service=COUNTER, zone=ZONE),
        AgentEntry(address=SECOND, service='press', zone=ZONE),
    ]
    balancer = Balancer(agents=entries)
    balancer.receive_packet(DATA)
    for _ in range(4):
        for entry in entries:
            answer = FlowUncertain(flow=DATA.flow)
            balancer.receive_message(entry.address, answer)
        balancer.advance(0.05)
    probed = balancer.transport.pop_messages(ForwardedPacket)
    assert [address for address, _ in probed[:2]] == [FIRST, SECOND]


def test_no_further_upstream_is_probed_once_the_owner_has_answered():
    entries = fleet_of(6)
    balancer = Balancer(agents=entries)
    balancer.receive_packet(DATA)
    for entry in entries:
        balancer.receive_message(entry.address, FlowUncertain(flow=DATA.flow))
    # The home agents are late first, and then all agents are uncertain.
    balancer.advance(0.1)
    assert len(balancer.transport.pop_messages(ForwardedPacket)) == 2
    balancer.receive_message(entries[0].address, FlowFound(flow=DATA.flow))
    balancer.transport.pop_messages(ForwardedPacket)
    balancer.advance(0.3)
    assert not balancer.transport.pop_messages(ForwardedPacket)


# Guards against flows of which clients learn only seconds after a power loss
# that they are lost: agents that started late were queried again with the next
# packet of the client.
def test_agent_without_an_answer_is_queried_again():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    balancer.transport.pop_messages(FlowLookup)
    balancer.advance(0.45)
    assert balancer.transport.pop_messages(FlowLookup) == [
        (
            SECOND,
            FlowLookup(flow=DATA.flow, acknowledged=DATA.acknowledged),
        )
    ]
    balancer.receive_message(SECOND, FlowNotFound(flow=DATA.flow))
    assert balancer.transport.resets == [DATA]


def test_agents_are_not_queried_again_after_the_lookup_timed_out():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.advance(2.1)
    balancer.transport.sent.clear()
    balancer.advance(1)
    assert not balancer.transport.pop_messages(FlowLookup)


def test_flow_is_reset_once_the_last_unanswering_agent_has_left_the_list():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowNotFound(flow=DATA.flow))
    deregister(balancer, SECOND, left=(FIRST,))
    assert not balancer.transport.resets
    balancer.advance(0.45)
    assert balancer.transport.resets == [DATA]


# Guards against open flows that are reset by a balancer which no agent can
# reach, or which starts seconds before the first agent: nobody has denied them.
def test_flow_is_not_reset_while_all_agents_are_silent():
    balancer = balancer_with(report_of(), report_of())
    balancer.advance(4)
    balancer.receive_packet(DATA)
    balancer.advance(1)
    assert not balancer.transport.resets
    for agent in (FIRST, SECOND):
        balancer.receive_message(agent, FlowNotFound(flow=DATA.flow))
    assert balancer.transport.resets == [DATA]


def test_all_returned_packets_are_forwarded_to_the_owner():
    # The cached owner has restarted and returns the packets that it receives.
    # A packet lost here is delayed until its client retransmits it.
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    more = client_packet(flags=ACKNOWLEDGE, sequence=4, payload=b'even more')
    balancer.receive_packet(DATA)
    balancer.receive_packet(more)
    balancer.transport.pop_messages(ForwardedPacket)
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    balancer.receive_message(FIRST, ReturnedPacket(packet=more))
    balancer.receive_message(SECOND, FlowFound(flow=DATA.flow))
    forwarded = [
        message.packet
        for _, message in balancer.transport.pop_messages(ForwardedPacket)
    ]
    assert forwarded == [DATA, more]


def test_packet_returned_by_a_probe_is_queued_once():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, FlowUncertain(flow=DATA.flow))
    balancer.advance(0.1)
    balancer.transport.pop_messages(ForwardedPacket)
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    balancer.receive_message(SECOND, FlowFound(flow=DATA.flow))
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (SECOND, ForwardedPacket(packet=DATA))
    ]


def test_flow_is_not_reset_while_an_agent_restarts():
    # An agent that restarts is unreachable for less than three seconds; the
    # flows of its upstream stay open.
    balancer = balancer_with(report_of(), report_of())
    balancer.advance(1.5)
    balancer.receive_message(FIRST, report_of(sequence=2))
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    assert not balancer.transport.resets


def test_flow_is_reset_when_the_only_unreachable_agent_is_presumed_dead():
    balancer = balancer_with(report_of(), report_of())
    balancer.advance(3.5)
    balancer.receive_message(FIRST, report_of(sequence=2))
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    assert balancer.transport.resets == [DATA]


def test_paused_balancer_resets_no_flow_before_agents_report():
    # After the pause the last report of every agent is older than a restart
    # takes, and the first returned packet arrives before the owner's report.
    balancer = balancer_with(report_of(), report_of())
    balancer.advance(0.1)
    balancer.clock.advance(4)
    balancer.receive_packet(DATA)
    balancer.receive_message(FIRST, report_of(sequence=2))
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    assert not balancer.transport.resets
    balancer.receive_message(SECOND, FlowFound(flow=DATA.flow))
    assert not balancer.transport.resets


def test_late_returned_packet_does_not_unassign_a_found_flow():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive_packet(DATA)
    balancer.receive_message(SECOND, FlowFound(flow=DATA.flow))
    balancer.receive_message(FIRST, ReturnedPacket(packet=DATA))
    balancer.transport.sent.clear()
    balancer.receive_packet(DATA)
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (SECOND, ForwardedPacket(packet=DATA))
    ]


# Guards against clients that get no answer until their deadline: while the
# cache named an agent that had left the list, all denials were ignored.
def test_flow_of_an_agent_that_has_left_is_reset_once_others_deny_it():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(DATA)
    assert balancer.transport.pop_messages(ForwardedPacket)
    balancer.advance(1)
    balancer.list_agents((SECOND,))
    balancer.advance(1)
    balancer.receive_packet(DATA)
    balancer.receive_message(SECOND, FlowNotFound(flow=DATA.flow))
    assert balancer.transport.resets == [DATA]


# Guards against resets of living flows: an agent that is listed but silent may
# hold the flow.
def test_flow_of_a_silent_agent_is_not_reset_when_others_deny_it():
    balancer = balancer_with(report_of(), report_of(in_flight=1))
    balancer.receive_packet(opening_packet())
    balancer.receive_packet(DATA)
    balancer.advance(3.5)
    balancer.receive_message(SECOND, report_of(sequence=2))
    balancer.receive_packet(DATA)
    balancer.receive_message(SECOND, FlowNotFound(flow=DATA.flow))
    assert not balancer.transport.resets
