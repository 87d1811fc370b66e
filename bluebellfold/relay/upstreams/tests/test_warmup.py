"""Test the limit on the new flows of a cold upstream."""

from hypothesis import example, given
from hypothesis import strategies as st

from bluebellfold.core import NO_VERSION
from bluebellfold.relay.agents import (
    DECLINED_FULL,
    DECLINED_WARMING,
    NO_FLOW_LIMIT,
    Declined,
    LoadReport,
    Warmup,
)
from bluebellfold.relay.tests.harness import Agent, subscribe_of, versions_of
from bluebellfold.relay.upstreams.tests.harness import (
    ANSWER,
    BALANCER,
    last_load,
    offer,
)
from bluebellfold.relay.upstreams.warmup import (
    MAX_STARTS_PER_SECOND,
    WarmupLimit,
)
from bluebellfold.standins.packets import (
    ACKNOWLEDGE,
    OPEN,
    RESET,
    opening_packet,
    upstream_packet,
)

OTHER_BALANCER = ('10.1.0.2', 7720)
SLACK = 5
OVERSHOOT = 1.5
RATE = 10
# Floats add up to less than this over a run.
ROUNDING = 1e-6


def limit_of(now=0, *, rate=RATE, **bounds):
    bounds = {'slack': SLACK, 'overshoot': OVERSHOOT, **bounds}
    limit = WarmupLimit(now=now, **bounds)
    limit.learn_rate(rate, version=1, now=now)
    return limit


def take_all(limit, now):
    taken = 0
    while taken < NO_FLOW_LIMIT and limit.take(now):
        taken += 1
    return taken


class Offers:
    """Offer flows to a limit that restarts and changes its rate."""

    def __init__(self, rate):
        self.now = 0
        self.version = 1
        self.rates = [(0, rate)]
        self.accepted = []
        self.limit = limit_of(rate=rate)

    def wait(self, milliseconds):
        self.now += milliseconds / 1000

    def offer(self, count):
        for _ in range(count):
            if self.limit.take(self.now):
                self.accepted.append(self.now)

    def change_rate(self, rate):
        self.version += 1
        self.rates.append((self.now, rate))
        self.tell_rate()

    def tell_rate(self, _=None):
        _, rate = self.rates[-1]
        self.limit.learn_rate(rate, version=self.version, now=self.now)

    def restart(self, milliseconds):
        self.now += 1 / MAX_STARTS_PER_SECOND + milliseconds / 1000
        self.limit = WarmupLimit(now=self.now, slack=SLACK, overshoot=OVERSHOOT)

    def greatest_rate(self, start, end):
        """Return the greatest rate in force in a window."""
        before = [rate for at, rate in self.rates if at <= start]
        within = [rate for at, rate in self.rates if start < at <= end]
        return max(before[-1], *within, 0)


rates = st.floats(min_value=0.1, max_value=200)
steps = st.lists(
    st.one_of(
        st.tuples(st.just('wait'), st.integers(1, 700)),
        st.tuples(st.just('offer'), st.integers(1, 60)),
        st.tuples(st.just('change_rate'), rates),
        st.tuples(st.just('restart'), st.integers(1, 300)),
        st.tuples(st.just('tell_rate'), st.none()),
    ),
    max_size=60,
)


# A full bucket, and then as many restarts as a second has room for.
REPEATED_RESTARTS = (
    ('wait', 60_000),
    *(('offer', 60), ('restart', 1)),
    *(('offer', 60), ('restart', 1)),
    *(('offer', 60), ('restart', 1)),
    ('offer', 60),
)


@example(1, REPEATED_RESTARTS)
@example(10, REPEATED_RESTARTS)
@given(rates, steps)
def test_any_second_stays_within_the_bound(rate, chosen_steps):
    # Whatever balancers offer, also if the rate changes or the agent restarts.
    offers = Offers(rate)
    for step, argument in chosen_steps:
        getattr(offers, step)(argument)
    for start in offers.accepted:
        end = start + 1
        received = sum(start <= at < end for at in offers.accepted)
        bound = offers.greatest_rate(start, end) * OVERSHOOT + SLACK
        assert received <= bound + ROUNDING


def test_flows_pass_at_the_rate_after_a_burst():
    limit = limit_of()
    passed = sum(limit.take(tenth / 100) for tenth in range(1, 501))
    assert 49 <= passed <= 51


def test_idle_limit_saves_no_more_than_the_slack():
    assert take_all(limit_of(), 60) == SLACK


def test_without_a_slack_one_flow_at_most_is_saved():
    limit = limit_of(slack=None, overshoot=None)
    assert take_all(limit, 60) == 1


def test_rate_of_zero_sets_no_limit():
    limit = limit_of(rate=0)
    assert not limit.is_limited
    assert limit.flows_left(0) == NO_FLOW_LIMIT
    assert take_all(limit, 0) == NO_FLOW_LIMIT


def test_no_rate_and_no_slack_set_no_limit():
    assert take_all(WarmupLimit(now=0), 0) == NO_FLOW_LIMIT


def test_bucket_is_empty_when_the_rate_is_learnt():
    # What a predecessor of this agent accepted in the same second is unknown.
    limit = WarmupLimit(now=0, slack=SLACK, overshoot=OVERSHOOT)
    limit.learn_rate(RATE, version=1, now=30)
    assert not limit.take(30)
    assert limit.flows_left(30.25) == 2


def test_rate_of_an_older_configuration_is_ignored():
    limit = limit_of()
    limit.learn_rate(2, version=3, now=1)
    assert not limit.learn_rate(50, version=2, now=2)
    assert not limit.learn_rate(0, version=NO_VERSION, now=2)
    assert limit.flows_per_second == 2


def test_same_rate_in_a_newer_configuration_keeps_the_bucket():
    limit = limit_of()
    assert not limit.learn_rate(RATE, version=2, now=10)
    assert take_all(limit, 10) == SLACK


def cold_agent(*, rate=RATE, warmup_seconds: float = 30, **bounds):
    agent = Agent(
        announced=False, **{'slack': SLACK, 'overshoot': OVERSHOOT, **bounds}
    )
    agent.receive_message(BALANCER, subscribe_of(warmup_flows_per_second=rate))
    agent.announce(warmup_seconds=warmup_seconds)
    agent.transport.sent.clear()
    return agent


def offer_new(agent, count, *, first=0):
    """Offer flows of different clients, and return how many were accepted."""
    before = len(agent.transport.delivered)
    for number in range(first, first + count):
        offer(agent, opening_packet(client=('100.64.1.1', 1000 + number)))
    return len(agent.transport.delivered) - before


def decline_reasons(agent):
    return {each.reason for each in agent.transport.pop_messages(Declined)}


def test_agent_declines_flows_over_the_limit():
    agent = cold_agent()
    agent.clock.advance(0.25)
    assert offer_new(agent, 5) == 2
    assert decline_reasons(agent) == {DECLINED_WARMING}


def test_agent_reports_the_flows_that_it_still_accepts():
    agent = cold_agent()
    agent.clock.advance(0.45)
    offer_new(agent, 1)
    assert last_load(agent).warmup.flows_left == 3


def test_limit_ends_with_the_warm_up():
    agent = cold_agent(warmup_seconds=0.1)
    agent.clock.advance(0.2)
    assert offer_new(agent, 8) == 8
    assert last_load(agent).warmup is None


def test_without_a_rate_a_cold_upstream_is_not_limited():
    agent = cold_agent(rate=0)
    assert offer_new(agent, 20) == 5, 'as many as its slots allow'
    assert decline_reasons(agent) == {DECLINED_FULL}
    assert last_load(agent).warmup.flows_left == NO_FLOW_LIMIT


def test_copy_of_an_accepted_opening_packet_is_not_counted():
    agent = cold_agent()
    agent.clock.advance(0.15)
    offer(agent)
    offer(agent, opening_packet(attempt=1))
    assert len(agent.transport.delivered) == 2
    assert not decline_reasons(agent)


def test_flow_that_the_upstream_rejected_stays_counted():
    # It has reached the upstream.
    agent = cold_agent()
    agent.clock.advance(0.15)
    offer(agent)
    agent.receive_upstream_packet(upstream_packet(flags=RESET | ACKNOWLEDGE))
    assert not offer_new(agent, 1)


def test_full_upstream_does_not_use_up_its_limit():
    agent = cold_agent(rate=200)
    agent.clock.advance(1)
    assert offer_new(agent, 5) == 5
    agent.clock.advance(0.0225)
    offer(agent, opening_packet(client=('100.64.1.2', 1)))
    assert decline_reasons(agent) == {DECLINED_FULL}
    assert last_load(agent).warmup.flows_left == 4


def test_restarted_agent_accepts_few_flows_before_it_knows_the_rate():
    agent = Agent(announced=False, slack=SLACK, overshoot=OVERSHOOT)
    assert 1 <= offer_new(agent, 20) <= SLACK / MAX_STARTS_PER_SECOND
    agent.receive_message(BALANCER, subscribe_of(warmup_flows_per_second=RATE))
    assert not offer_new(agent, 20, first=20)
    agent.clock.advance(0.15)
    assert offer_new(agent, 20, first=40) == 1


def test_newest_configuration_decides_between_two_balancers():
    agent = cold_agent()
    agent.receive_message(
        OTHER_BALANCER,
        subscribe_of(
            versions=versions_of(configuration=2), warmup_flows_per_second=2
        ),
    )
    agent.receive_message(BALANCER, subscribe_of(warmup_flows_per_second=RATE))
    agent.clock.advance(1)
    assert offer_new(agent, 20) == 2


def test_balancer_without_a_configuration_does_not_lift_the_limit():
    agent = cold_agent()
    agent.receive_message(
        OTHER_BALANCER,
        subscribe_of(versions=versions_of(configuration=NO_VERSION)),
    )
    agent.clock.advance(0.15)
    assert offer_new(agent, 20) == 1


def test_upstream_that_restarted_unannounced_counts_as_cold():
    # Its port was closed; then it returned a packet of a lost flow, before its
    # first announcement.
    agent = cold_agent(warmup_seconds=0)
    agent.relay.handle_refusal(agent.now)
    agent.receive_upstream_packet(ANSWER)
    agent.clock.advance(0.15)
    assert offer_new(agent, 3) == 1
    agent.announce(sequence=2)
    assert offer_new(agent, 2, first=10) == 2


def test_unconfirmed_start_counts_as_cold():
    # The clock was set back in between, so that its start seems older.
    agent = cold_agent(warmup_seconds=0)
    agent.announce(name='i-2', born=5, warmup_seconds=30)
    agent.clock.advance(0.15)
    assert offer_new(agent, 3) == 1


def test_regained_limit_is_reported_without_an_offer():
    # Otherwise balancers that were told of no flows left would wait for longer
    # than the upstream needs.
    agent = cold_agent()
    agent.advance(0.25)
    assert last_load(agent).warmup == Warmup(flows_left=2)
    agent.advance(0.1)
    assert last_load(agent).warmup == Warmup(flows_left=3)
    assert not agent.transport.pop_messages(LoadReport)


def test_opening_flows_of_a_cold_upstream_are_answered():
    agent = cold_agent()
    agent.clock.advance(0.15)
    offer(agent)
    agent.receive_upstream_packet(
        upstream_packet(flags=OPEN | ACKNOWLEDGE, sequence=1)
    )
    assert len(agent.transport.to_clients) == 1
