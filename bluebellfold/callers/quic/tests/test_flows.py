"""Test what the flows task does with its flows and their requests."""

from bluebellfold.agents import BalancerLeaving, Token, TokenSealer
from bluebellfold.callers.quic.flow import HANDSHAKE_SECONDS
from bluebellfold.callers.quic.flows import (
    HANDSHAKE_ABANDONED,
    QUIET_SECONDS,
    WRONG_SERVICE,
)
from bluebellfold.callers.quic.messages import DrainFlows
from bluebellfold.callers.quic.tests.bench import Bench, in_loop, times
from bluebellfold.callers.quic.tests.pairs import (
    AGENT,
    BALANCER,
    FEED,
    OLD_KEYS,
    SERVICE,
    Caller,
)
from bluebellfold.core import Endpoint, Reply, Sentinel
from bluebellfold.upstreams import (
    Answered,
    CancelRequest,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    Submit,
    Unknown,
)

OTHER_BALANCER = Endpoint(host='127.0.0.9', port=4001)
LONG_SECONDS = 30.0
SHORT_SECONDS = 0.01
LOST = Sentinel(name='lost', reason='the connection was lost')


@in_loop
async def test_a_half_open_handshake_is_let_go_without_a_word():
    bench = Bench()
    bench.deliver(Caller().send(now=0)[0])
    assert (await bench.counts()).flows == 1
    bench.clock.advance(HANDSHAKE_SECONDS)
    bench.envelopes.sent.clear()
    bench.wake()
    counts = await bench.counts()
    assert not counts.flows
    assert times(counts, HANDSHAKE_ABANDONED.name) == 1
    assert not bench.envelopes.sent


@in_loop
async def test_an_established_flow_outlives_the_bound_on_handshakes():
    bench = Bench()
    bench.connect()
    bench.clock.advance(HANDSHAKE_SECONDS)
    bench.wake()
    assert (await bench.counts()).flows == 1


@in_loop
async def test_crossed_answers_come_to_their_own_requests():
    bench = Bench()
    callers = [bench.connect() for _ in range(2)]
    streams = [
        (caller, caller.request(b'a')) for caller in callers for _ in '12'
    ]
    bench.settle()
    keys = [told.request.key for told in bench.requests.of(Submit)]
    for key in reversed(keys):
        bench.task.react(ResponseHead(key=key, status=200, fields=()))
    for key in keys:
        bench.task.react(ResponseBody(key=key, payload=b'for %d' % key))
    for key in reversed(keys):
        bench.task.react(ResponseEnd(key=key, outcome=Answered(status=200)))
    bench.settle()
    for key, (caller, stream_id) in zip(keys, streams, strict=True):
        assert caller.bodies[stream_id] == b'for %d' % key
        assert stream_id in caller.whole
    assert not (await bench.counts()).requests


@in_loop
async def test_an_answer_that_is_not_whole_is_cut_at_the_caller():
    bench = Bench()
    caller = bench.connect()
    stream_id = caller.request(b'order')
    bench.settle()
    key = bench.requests.of(Submit)[0].request.key
    bench.task.react(ResponseHead(key=key, status=200, fields=()))
    bench.task.react(ResponseBody(key=key, payload=b'half'))
    bench.task.react(ResponseEnd(key=key, outcome=Unknown(reason=LOST)))
    bench.settle()
    assert stream_id in caller.cut
    assert stream_id not in caller.whole


@in_loop
async def test_late_words_on_a_request_that_ended_are_ignored():
    bench = Bench()
    caller = bench.connect()
    stream_id = caller.request(b'order')
    bench.settle()
    key = bench.requests.of(Submit)[0].request.key
    bench.task.react(ResponseHead(key=key, status=200, fields=()))
    bench.task.react(ResponseEnd(key=key, outcome=Answered(status=200)))
    bench.task.react(ResponseBody(key=key, payload=b'late'))
    bench.settle()
    assert stream_id in caller.whole
    assert not caller.bodies.get(stream_id)


@in_loop
async def test_a_flow_that_ends_gives_up_its_own_requests_only():
    bench = Bench()
    leaving, staying = bench.connect(), bench.connect()
    for caller in (leaving, leaving, staying):
        caller.request(b'order')
        bench.settle()
    keys = [told.request.key for told in bench.requests.of(Submit)]
    leaving.quic.close()
    bench.settle()
    bench.wait_for_timer()
    given_up = [told.key for told in bench.requests.of(CancelRequest)]
    assert given_up == keys[:2]
    counts = await bench.counts()
    assert (counts.flows, counts.requests) == (1, 1)
    assert times(counts, 'flows-ended') == 1


@in_loop
async def test_a_token_of_another_service_is_dropped():
    bench = Bench()
    token = Token(agent=AGENT, address=FEED.number, service=SERVICE + 1)
    connection_id = TokenSealer(keys=OLD_KEYS).seal(token)
    bench.deliver(b'\x40' + connection_id + bytes(60))
    assert times(await bench.counts(), WRONG_SERVICE.name) == 1
    assert not bench.envelopes.sent


@in_loop
async def test_answers_go_through_all_balancers_that_have_not_left():
    bench = Bench()
    caller = bench.connect()
    bench.via = OTHER_BALANCER
    caller.request(b'order')
    bench.settle()
    bench.via = BALANCER
    assert _used_by_orders(bench, caller) == {BALANCER, OTHER_BALANCER}
    bench.receive(BalancerLeaving(), OTHER_BALANCER)
    assert _used_by_orders(bench, caller) == {BALANCER}


@in_loop
async def test_a_drain_is_done_when_the_last_flow_ends():
    bench = Bench()
    caller = bench.connect()
    drained = Reply()
    bench.task.react(DrainFlows(deadline_seconds=LONG_SECONDS, reply=drained))
    bench.settle()
    caller.quic.close()
    bench.settle()
    bench.wait_for_timer()
    assert not (await drained.wait()).flows


@in_loop
async def test_a_drain_closes_flows_whose_callers_ask_no_more():
    bench = Bench()
    idle, busy = bench.connect(), bench.connect()
    busy.request(b'order')
    bench.settle()
    drained = Reply()
    bench.task.react(DrainFlows(deadline_seconds=LONG_SECONDS, reply=drained))
    bench.settle()
    bench.clock.advance(QUIET_SECONDS)
    bench.task._close_idle()
    bench.settle()
    idle.quic.handle_timer(idle.quic.get_timer())
    idle.take_events()
    assert idle.ended is not None
    assert not idle.ended.error_code
    assert busy.ended is None


@in_loop
async def test_a_drain_tells_at_its_deadline_what_is_open():
    bench = Bench()
    callers = [bench.connect() for _ in range(3)]
    callers[0].request(b'order')
    bench.settle()
    drained = Reply()
    bench.task.react(DrainFlows(deadline_seconds=SHORT_SECONDS, reply=drained))
    left = await drained.wait()
    assert (left.flows, left.requests) == (len(callers), 1)


@in_loop
async def test_callers_are_told_of_the_close_before_a_drain_is_done():
    # Once the drain is done the agent tells that it has left, and balancers
    # reset the flows that they still meet.
    bench = Bench()
    callers = [bench.connect() for _ in range(3)]
    drained = Reply()
    bench.task.react(DrainFlows(deadline_seconds=SHORT_SECONDS, reply=drained))
    await drained.wait()
    _assert_closed_in_good_order(bench, callers)


@in_loop
async def test_flows_are_closed_in_good_order():
    bench = Bench()
    callers = [bench.connect() for _ in range(3)]
    await bench.task.close()
    _assert_closed_in_good_order(bench, callers)


def _assert_closed_in_good_order(bench: Bench, callers: list[Caller]) -> None:
    bench.settle()
    for caller in callers:
        caller.quic.handle_timer(caller.quic.get_timer())
        caller.take_events()
        assert caller.ended is not None
        assert not caller.ended.error_code


def _used_by_orders(bench: Bench, caller: Caller) -> set[Endpoint]:
    bench.used.clear()
    for _ in range(4):
        caller.request(b'order')
        bench.settle()
    return set(bench.used)
