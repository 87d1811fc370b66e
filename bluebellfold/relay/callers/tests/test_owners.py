"""Test how a balancer forwards packets and looks up flows."""

from bluebellfold.relay.agents import (
    Carry,
    Denied,
    Held,
    MayHold,
    NotHeld,
    Seek,
    encode_message,
)
from bluebellfold.relay.callers.tests.scene import (
    DATA,
    FIRST,
    SECOND,
    THIRD,
    balancer_with,
)
from bluebellfold.relay.tests.scene import (
    report_of,
    versions_of,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    client_packet,
    opening_packet,
)


def test_packets_of_an_established_flow_go_to_its_agent():
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    balancer.receive(DATA)
    assert balancer.outlet.take(Carry) == [(FIRST, Carry(packet=DATA))]


def test_unknown_flow_is_looked_up_at_all_agents_and_sent_to_its_owner():
    balancer = balancer_with(report_of(), report_of(), report_of())
    balancer.receive(DATA)
    queried = [address for address, _ in balancer.outlet.take(Seek)]
    assert sorted(queried) == [FIRST, SECOND, THIRD]
    balancer.receive(DATA)
    assert not balancer.outlet.take(Seek), (
        'the query is repeated before its interval ends'
    )
    balancer.hear(THIRD, Held(flow=DATA.flow))
    forwarded = balancer.outlet.take(Carry)
    assert forwarded == [(THIRD, Carry(packet=DATA)) for _ in range(2)]
    balancer.receive(DATA)
    assert balancer.outlet.take(Carry) == [(THIRD, Carry(packet=DATA))]


def test_lookup_sends_a_few_bytes_to_each_agent():
    # A balancer on a 10 Mbit/s link that takes over a hundred flows would
    # saturate the link if it sent their packets to each of 61 agents.
    balancer = balancer_with(report_of(), report_of(), report_of())
    balancer.receive(client_packet(flags=ACKNOWLEDGE, payload=b'x' * 1200))
    sent = [encode_message(message) for _, message in balancer.outlet.told]
    assert sum(map(len, sent)) < 100


def test_upstream_of_an_uncertain_agent_is_probed():
    # The agent has restarted while its upstream kept running.
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(DATA)
    balancer.hear(FIRST, Denied(flow=DATA.flow))
    balancer.hear(SECOND, MayHold(flow=DATA.flow))
    assert not balancer.outlet.resets
    assert not balancer.outlet.take(Carry)
    balancer.wait(0.1)
    assert balancer.outlet.take(Carry) == [(SECOND, Carry(packet=DATA))]
    balancer.hear(SECOND, NotHeld(packet=DATA))
    assert balancer.outlet.resets == [DATA]


def test_no_upstream_is_probed_once_the_owner_has_answered():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(DATA)
    balancer.hear(SECOND, MayHold(flow=DATA.flow))
    balancer.hear(FIRST, Held(flow=DATA.flow))
    balancer.outlet.take(Carry)
    balancer.wait(0.1)
    assert not balancer.outlet.take(Carry)


def test_flow_is_not_reset_while_the_agent_list_is_outdated():
    # The watch of the agent list has stalled, and an agent that was added
    # since may hold the flow.
    balancer = balancer_with(
        report_of(), report_of(versions=versions_of(agents=7))
    )
    balancer.receive(DATA)
    for agent in (FIRST, SECOND):
        balancer.hear(agent, NotHeld(packet=DATA))
    assert not balancer.outlet.resets
    balancer.wait(0.4)
    assert balancer.relay.agents_outdated(balancer.now)
    balancer.relay.change_agents(
        (FIRST, SECOND, THIRD), balancer.now, revision=7
    )
    assert not balancer.relay.agents_outdated(balancer.now)
    balancer.receive(DATA)
    assert THIRD in [address for address, _ in balancer.outlet.take(Seek)]


def test_flow_is_reset_once_all_agents_report_it_not_found():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(DATA)
    balancer.hear(FIRST, NotHeld(packet=DATA))
    assert not balancer.outlet.resets
    balancer.hear(SECOND, NotHeld(packet=DATA))
    assert balancer.outlet.resets == [DATA]


def test_all_returned_packets_are_forwarded_to_the_owner():
    # The cached owner has restarted and returns the packets that it receives.
    # A packet lost here is delayed until its client retransmits it.
    balancer = balancer_with(report_of(), report_of(busy=1))
    balancer.receive(opening_packet())
    more = client_packet(flags=ACKNOWLEDGE, sequence=4, payload=b'even more')
    balancer.receive(DATA)
    balancer.receive(more)
    balancer.outlet.take(Carry)
    balancer.hear(FIRST, NotHeld(packet=DATA))
    balancer.hear(FIRST, NotHeld(packet=more))
    balancer.hear(SECOND, Held(flow=DATA.flow))
    forwarded = [message.packet for _, message in balancer.outlet.take(Carry)]
    assert forwarded == [DATA, more]


def test_packet_returned_by_a_probe_is_queued_once():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(DATA)
    balancer.hear(FIRST, MayHold(flow=DATA.flow))
    balancer.wait(0.1)
    balancer.outlet.take(Carry)
    balancer.hear(FIRST, NotHeld(packet=DATA))
    balancer.hear(SECOND, Held(flow=DATA.flow))
    assert balancer.outlet.take(Carry) == [(SECOND, Carry(packet=DATA))]


def test_flow_is_not_reset_while_an_agent_restarts():
    # An agent that restarts is unreachable for less than three seconds; the
    # flows of its upstream stay open.
    balancer = balancer_with(report_of(), report_of())
    balancer.wait(1.5)
    balancer.hear(FIRST, report_of(sequence=2))
    balancer.receive(DATA)
    balancer.hear(FIRST, NotHeld(packet=DATA))
    assert not balancer.outlet.resets


def test_flow_is_reset_when_the_only_unreachable_agent_is_presumed_dead():
    balancer = balancer_with(report_of(), report_of())
    balancer.wait(3.5)
    balancer.hear(FIRST, report_of(sequence=2))
    balancer.receive(DATA)
    balancer.hear(FIRST, NotHeld(packet=DATA))
    assert balancer.outlet.resets == [DATA]


def test_paused_balancer_resets_no_flow_before_agents_report():
    # After the pause the last report of every agent is older than a restart
    # takes, and the first returned packet arrives before the owner's report.
    balancer = balancer_with(report_of(), report_of())
    balancer.wait(0.1)
    balancer.clock.advance(4)
    balancer.receive(DATA)
    balancer.hear(FIRST, report_of(sequence=2))
    balancer.hear(FIRST, NotHeld(packet=DATA))
    assert not balancer.outlet.resets
    balancer.hear(SECOND, Held(flow=DATA.flow))
    assert not balancer.outlet.resets


def test_late_returned_packet_does_not_unassign_a_found_flow():
    balancer = balancer_with(report_of(), report_of())
    balancer.receive(DATA)
    balancer.hear(SECOND, Held(flow=DATA.flow))
    balancer.hear(FIRST, NotHeld(packet=DATA))
    balancer.outlet.told.clear()
    balancer.receive(DATA)
    assert balancer.outlet.take(Carry) == [(SECOND, Carry(packet=DATA))]
