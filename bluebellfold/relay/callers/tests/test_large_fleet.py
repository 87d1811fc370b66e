"""Test a balancer before more agents than it follows."""

import pytest

from bluebellfold.relay.agents import (
    SUBSET_SIZE,
    FlowFound,
    FlowLookup,
    FlowNotFound,
    FlowOwner,
    ForwardedPacket,
    Offer,
    ReturnedPacket,
    Subscribe,
)
from bluebellfold.relay.callers.tests.harness import DATA
from bluebellfold.relay.tests.harness import (
    Balancer,
    fleet_of,
    report_of,
    route_to,
    single,
    table_of,
)
from bluebellfold.standins.packets import (
    FINISH,
    client_packet,
    opening_packet,
)

AGENTS = 40
FLEET = tuple(fleet_of(AGENTS))
ADDRESSES = tuple(entry.address for entry in FLEET)


def balancer_of(fleet=FLEET):
    """Return a balancer whose followed agents have reported."""
    routes = table_of(route_to(), idle_seconds=60)
    balancer = Balancer(agents=fleet, routes=routes)
    for address in followed_by(balancer):
        balancer.receive_message(address, report_of())
    balancer.transport.sent.clear()
    return balancer


def followed_by(balancer):
    return {
        address
        for address, message in balancer.transport.sent
        if isinstance(message, Subscribe) and not message.once
    }


def sent_to(balancer, message_type):
    popped = balancer.transport.pop_messages(message_type)
    return [address for address, _ in popped]


def deny(balancer, *agents):
    for address in agents:
        balancer.receive_message(address, FlowNotFound(flow=DATA.flow))


def test_balancer_follows_a_subset_of_fixed_size():
    # 59 balancers before 136 agents exchanged 53,000 datagrams a second for
    # control, and fewer than 1,000 requests.
    balancer = Balancer(agents=FLEET)
    assert len(followed_by(balancer)) == SUBSET_SIZE
    small = Balancer(agents=FLEET[:SUBSET_SIZE])
    assert len(followed_by(small)) == SUBSET_SIZE


def test_datagrams_for_control_do_not_grow_with_the_fleet():
    sent = []
    for fleet in (FLEET[:10], FLEET):
        balancer = balancer_of(fleet)
        members = {view.address for view in agent_table_of(balancer).followed}
        for sequence in range(2, 52):
            for address in members:
                balancer.receive_message(address, report_of(sequence=sequence))
            balancer.advance(0.2)
        sent.append(len(balancer.transport.sent))
    assert sent[1] <= 1.3 * sent[0]


def test_dead_member_of_the_subset_is_replaced_until_it_returns():
    balancer = balancer_of()
    dead, *living = sorted(
        view.address for view in agent_table_of(balancer).followed
    )
    run_reporting(balancer, living, seconds=4)
    replaced = {view.address for view in agent_table_of(balancer).followed}
    assert dead not in replaced
    assert len(replaced) == SUBSET_SIZE
    balancer.receive_message(dead, report_of(sequence=900))
    run_reporting(balancer, living, seconds=1)
    assert dead in {view.address for view in agent_table_of(balancer).followed}


def run_reporting(balancer, agents, *, seconds):
    for step in range(round(seconds / 0.2)):
        for address in agents:
            sequence = round(balancer.now * 1000) + step
            balancer.receive_message(address, report_of(sequence=sequence))
        balancer.advance(0.2)


def test_idle_agent_outside_of_a_busy_subset_gets_the_flow():
    # A few balancers get most of the clients, and their subsets are full while
    # most upstreams idle.
    balancer = balancer_of()
    members = [view.address for view in agent_table_of(balancer).followed]
    for address in members:
        balancer.receive_message(address, report_of(sequence=2, in_flight=6))
    balancer.receive_packet(opening_packet())
    assert not sent_to(balancer, Offer)
    sampled = sent_to(balancer, Subscribe)
    assert sampled
    assert not set(sampled) & set(members)
    balancer.receive_message(sampled[0], report_of())
    assert sent_to(balancer, Offer) == [sampled[0]]


def test_sampling_is_limited_when_all_upstreams_are_full():
    balancer = balancer_of()
    for view in agent_table_of(balancer).followed:
        full = report_of(sequence=2, in_flight=6)
        balancer.receive_message(view.address, full)
    balancer.transport.sent.clear()
    for number in range(50):
        balancer.receive_packet(
            opening_packet(client=('10.9.0.2', 5000 + number))
        )
    assert len(sent_to(balancer, Subscribe)) <= 3


def test_number_of_balancers_is_estimated_from_the_followers():
    # 24 balancers that follow 8 of 40 agents each: 4.8 followers an agent.
    balancer = balancer_of()
    for number, view in enumerate(agent_table_of(balancer).followed):
        report = report_of(sequence=2, followers=4 + number % 2)
        balancer.receive_message(view.address, report)
    assert balancer.relay.estimate_balancers() in range(20, 26)
    assert Balancer().relay.estimate_balancers() == 0


def test_lookup_asks_the_homes_and_follows_their_hint():
    balancer = balancer_of()
    balancer.receive_packet(DATA)
    homes = sent_to(balancer, FlowLookup)
    assert len(homes) == 2
    owner = FLEET[7].address
    hint = FlowOwner(flow=DATA.flow, owner=owner)
    for home in homes:
        balancer.receive_message(home, hint)
    assert balancer.transport.pop_messages(ForwardedPacket) == [
        (owner, ForwardedPacket(packet=DATA))
    ]
    assert not sent_to(balancer, FlowLookup)


@pytest.mark.parametrize('answer', ['denied', 'silent'])
def test_all_agents_are_asked_when_the_homes_cannot_tell(answer):
    balancer = balancer_of()
    balancer.receive_packet(DATA)
    homes = sent_to(balancer, FlowLookup)
    if answer == 'denied':
        deny(balancer, *homes)
    else:
        balancer.advance(0.05)
    asked = set(sent_to(balancer, FlowLookup))
    assert asked >= set(ADDRESSES) - set(homes)
    balancer.receive_message(FLEET[9].address, FlowFound(flow=DATA.flow))
    assert sent_to(balancer, ForwardedPacket) == [FLEET[9].address]


def test_denials_of_the_homes_alone_reset_no_flow():
    # A home may have restarted, or have missed the datagram that names the
    # owner: it doesn't know, it only lacks the flow itself.
    balancer = balancer_of()
    balancer.receive_packet(DATA)
    deny(balancer, *sent_to(balancer, FlowLookup))
    assert not balancer.transport.resets
    deny(balancer, *ADDRESSES[:-1])
    assert not balancer.transport.resets
    deny(balancer, ADDRESSES[-1])
    assert balancer.transport.resets == [DATA]


def test_agent_that_is_not_followed_may_be_silent_and_hold_the_flow():
    # Nothing was heard from most agents for a long time, since nothing was
    # asked.
    balancer = balancer_of()
    members = [view.address for view in agent_table_of(balancer).followed]
    run_reporting(balancer, members, seconds=10)
    balancer.receive_packet(DATA)
    balancer.advance(0.05)
    silent = next(address for address in ADDRESSES if address not in members)
    deny(balancer, *(set(ADDRESSES) - {silent}))
    assert not balancer.transport.resets
    balancer.receive_message(silent, FlowFound(flow=DATA.flow))
    assert sent_to(balancer, ForwardedPacket) == [silent]


def test_silent_agent_is_probed_before_it_counts_as_dead():
    # One lost query or answer is no reason to reset a flow.
    balancer = balancer_of()
    members = [view.address for view in agent_table_of(balancer).followed]
    silent = next(address for address in ADDRESSES if address not in members)
    probes = 0
    for _ in range(20):
        run_reporting(balancer, members, seconds=0.2)
        balancer.receive_packet(DATA)
        deny(balancer, *(set(ADDRESSES) - {silent}))
        probes += sent_to(balancer, Subscribe).count(silent)
        if balancer.transport.resets:
            break
    assert balancer.transport.resets
    assert probes >= 5


def test_stale_hint_leads_to_a_search_among_all():
    balancer = balancer_of()
    balancer.receive_packet(DATA)
    home = sent_to(balancer, FlowLookup)[0]
    former = next(address for address in ADDRESSES if address != home)
    balancer.receive_message(home, FlowOwner(flow=DATA.flow, owner=former))
    balancer.transport.sent.clear()
    balancer.receive_message(former, ReturnedPacket(packet=DATA))
    assert len(sent_to(balancer, FlowLookup)) >= AGENTS - 1
    balancer.receive_message(home, FlowOwner(flow=DATA.flow, owner=former))
    assert not sent_to(balancer, ForwardedPacket), 'it has denied the flow'


def test_restarted_owner_that_is_a_home_of_its_flow_gets_the_packet():
    # It knows from balancers that it holds the flow, but not from its own
    # table. Its hint counted as a denial, and the open flow was reset.
    balancer = balancer_of()
    balancer.receive_packet(DATA)
    owner, other_home = sent_to(balancer, FlowLookup)
    deny(balancer, other_home)
    hint = FlowOwner(flow=DATA.flow, owner=owner)
    balancer.receive_message(owner, hint)
    deny(balancer, *(set(ADDRESSES) - {owner, other_home}))
    assert not balancer.transport.resets
    assert sent_to(balancer, ForwardedPacket) == [owner]


@pytest.mark.parametrize('denies', [True, False])
def test_dead_flow_is_reset_though_its_homes_name_its_former_owner(denies):
    # Its upstream has crashed. The homes remember the owner for 45 s, and
    # clients that get no reset wait until they give up.
    balancer = balancer_of()
    former = ADDRESSES[7]
    balancer.receive_packet(DATA)
    homes = sent_to(balancer, FlowLookup)
    hint = FlowOwner(flow=DATA.flow, owner=former, denies=denies)
    balancer.receive_message(homes[0], hint)
    balancer.receive_message(former, ReturnedPacket(packet=DATA))
    deny(balancer, *(set(ADDRESSES) - set(homes) - {former}))
    for home in homes:
        balancer.receive_message(home, hint)
    # A home that has restarted may hold the flow itself.
    assert bool(balancer.transport.resets) == denies


def open_flow(balancer):
    balancer.receive_packet(opening_packet())
    owner = single(sent_to(balancer, Offer))
    balancer.receive_packet(DATA)
    return owner


def test_owners_of_long_flows_are_told_to_their_homes():
    balancer = balancer_of()
    owner = open_flow(balancer)
    balancer.advance(0.5)
    assert not balancer.transport.pop_messages(FlowOwner)
    balancer.advance(2)
    told = balancer.transport.pop_messages(FlowOwner)
    assert len(told) == 2
    assert {message.owner for _, message in told} == {owner}
    members = [view.address for view in agent_table_of(balancer).followed]
    run_reporting(balancer, members, seconds=20)
    assert not balancer.transport.pop_messages(FlowOwner), 'no packet since'
    balancer.receive_packet(DATA)
    balancer.advance(2)
    assert len(balancer.transport.pop_messages(FlowOwner)) == 2


def test_short_flows_are_not_told_to_homes():
    balancer = balancer_of()
    open_flow(balancer)
    balancer.receive_packet(
        client_packet(flags=FINISH, acknowledged=DATA.acknowledged)
    )
    balancer.advance(3)
    assert not balancer.transport.pop_messages(FlowOwner)


def test_owner_that_is_not_followed_must_prove_that_it_is_alive():
    # Else packets of its flows would go to a dead agent for as long as the
    # list names it.
    balancer = balancer_of()
    members = [view.address for view in agent_table_of(balancer).followed]
    owner = next(address for address in ADDRESSES if address not in members)
    balancer.receive_packet(DATA)
    home = sent_to(balancer, FlowLookup)[0]
    balancer.receive_message(home, FlowOwner(flow=DATA.flow, owner=owner))
    looked_up = []
    for _ in range(30):
        run_reporting(balancer, members, seconds=0.2)
        balancer.receive_packet(DATA)
        looked_up += sent_to(balancer, FlowLookup)
    assert looked_up


def agent_table_of(balancer):
    return balancer.relay._agent_table
