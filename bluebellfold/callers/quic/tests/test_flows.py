"""Test how the flows task handles its flows and their requests."""

from bluebellfold.agents import BalancerLeaving, Token, TokenSealer
from bluebellfold.callers.quic.flow import HANDSHAKE_TIMEOUT_SECONDS
from bluebellfold.callers.quic.flows import (
    DRAIN_IDLE_SECONDS,
    HANDSHAKE_ABANDONED,
    WRONG_SERVICE,
)
from bluebellfold.callers.quic.messages import DrainFlows
from bluebellfold.callers.quic.tests.flow_harness import (
    AGENT,
    BALANCER,
    FEED,
    OLD_KEYS,
    SERVICE,
    Client,
)
from bluebellfold.callers.quic.tests.flows_task_harness import (
    FlowsTaskHarness,
    count_of,
    in_loop,
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
async def test_an_incomplete_handshake_is_dropped_without_a_close():
    harness = FlowsTaskHarness()
    harness.deliver(Client().send(now=0)[0])
    assert (await harness.counts()).flows == 1
    harness.clock.advance(HANDSHAKE_TIMEOUT_SECONDS)
    harness.envelopes.sent.clear()
    harness.handle_timers()
    counts = await harness.counts()
    assert not counts.flows
    assert count_of(counts, HANDSHAKE_ABANDONED.name) == 1
    assert not harness.envelopes.sent


@in_loop
async def test_the_handshake_timeout_does_not_end_an_established_flow():
    harness = FlowsTaskHarness()
    harness.connect()
    harness.clock.advance(HANDSHAKE_TIMEOUT_SECONDS)
    harness.handle_timers()
    assert (await harness.counts()).flows == 1


@in_loop
async def test_interleaved_responses_reach_their_own_requests():
    harness = FlowsTaskHarness()
    clients = [harness.connect() for _ in range(2)]
    streams = [
        (client, client.request(b'a')) for client in clients for _ in '12'
    ]
    harness.exchange_all()
    keys = [submit.request.key for submit in harness.requests.of_type(Submit)]
    for key in reversed(keys):
        harness.task.handle_message(
            ResponseHead(key=key, status=200, fields=())
        )
    for key in keys:
        harness.task.handle_message(
            ResponseBody(key=key, payload=b'for %d' % key)
        )
    for key in reversed(keys):
        harness.task.handle_message(
            ResponseEnd(key=key, outcome=Answered(status=200))
        )
    harness.exchange_all()
    for key, (client, stream_id) in zip(keys, streams, strict=True):
        assert client.bodies[stream_id] == b'for %d' % key
        assert stream_id in client.complete
    assert not (await harness.counts()).requests


@in_loop
async def test_the_stream_of_an_incomplete_response_is_reset():
    harness = FlowsTaskHarness()
    client = harness.connect()
    stream_id = client.request(b'order')
    harness.exchange_all()
    key = harness.requests.of_type(Submit)[0].request.key
    harness.task.handle_message(ResponseHead(key=key, status=200, fields=()))
    harness.task.handle_message(ResponseBody(key=key, payload=b'half'))
    harness.task.handle_message(
        ResponseEnd(key=key, outcome=Unknown(reason=LOST))
    )
    harness.exchange_all()
    assert stream_id in client.reset
    assert stream_id not in client.complete


@in_loop
async def test_messages_after_the_end_of_a_request_are_ignored():
    harness = FlowsTaskHarness()
    client = harness.connect()
    stream_id = client.request(b'order')
    harness.exchange_all()
    key = harness.requests.of_type(Submit)[0].request.key
    harness.task.handle_message(ResponseHead(key=key, status=200, fields=()))
    harness.task.handle_message(
        ResponseEnd(key=key, outcome=Answered(status=200))
    )
    harness.task.handle_message(ResponseBody(key=key, payload=b'late'))
    harness.exchange_all()
    assert stream_id in client.complete
    assert not client.bodies.get(stream_id)


@in_loop
async def test_a_flow_that_ends_cancels_only_its_own_requests():
    harness = FlowsTaskHarness()
    leaving, staying = harness.connect(), harness.connect()
    for client in (leaving, leaving, staying):
        client.request(b'order')
        harness.exchange_all()
    keys = [submit.request.key for submit in harness.requests.of_type(Submit)]
    leaving.quic.close()
    harness.exchange_all()
    harness.run_next_timer()
    cancelled = [
        cancel.key for cancel in harness.requests.of_type(CancelRequest)
    ]
    assert cancelled == keys[:2]
    counts = await harness.counts()
    assert (counts.flows, counts.requests) == (1, 1)
    assert count_of(counts, 'flows-ended') == 1


@in_loop
async def test_a_token_of_another_service_is_dropped():
    harness = FlowsTaskHarness()
    token = Token(agent=AGENT, address=FEED.number, service=SERVICE + 1)
    connection_id = TokenSealer(keys=OLD_KEYS).seal(token)
    harness.deliver(b'\x40' + connection_id + bytes(60))
    assert count_of(await harness.counts(), WRONG_SERVICE.name) == 1
    assert not harness.envelopes.sent


@in_loop
async def test_replies_go_through_all_balancers_that_have_not_left():
    harness = FlowsTaskHarness()
    client = harness.connect()
    harness.via = OTHER_BALANCER
    client.request(b'order')
    harness.exchange_all()
    harness.via = BALANCER
    assert _reply_targets_of_requests(harness, client) == {
        BALANCER,
        OTHER_BALANCER,
    }
    harness.receive(BalancerLeaving(), OTHER_BALANCER)
    assert _reply_targets_of_requests(harness, client) == {BALANCER}


@in_loop
async def test_a_drain_finishes_when_the_last_flow_ends():
    harness = FlowsTaskHarness()
    client = harness.connect()
    drained = Reply()
    harness.task.handle_message(
        DrainFlows(deadline_seconds=LONG_SECONDS, reply=drained)
    )
    harness.exchange_all()
    client.quic.close()
    harness.exchange_all()
    harness.run_next_timer()
    assert not (await drained.wait()).flows


@in_loop
async def test_a_drain_closes_idle_flows():
    harness = FlowsTaskHarness()
    idle, busy = harness.connect(), harness.connect()
    busy.request(b'order')
    harness.exchange_all()
    drained = Reply()
    harness.task.handle_message(
        DrainFlows(deadline_seconds=LONG_SECONDS, reply=drained)
    )
    harness.exchange_all()
    harness.clock.advance(DRAIN_IDLE_SECONDS)
    harness.task._close_idle_flows()
    harness.exchange_all()
    idle.quic.handle_timer(idle.quic.get_timer())
    idle.read_events()
    assert idle.termination is not None
    assert not idle.termination.error_code
    assert busy.termination is None


@in_loop
async def test_a_drain_replies_at_its_deadline_with_what_is_open():
    harness = FlowsTaskHarness()
    clients = [harness.connect() for _ in range(3)]
    clients[0].request(b'order')
    harness.exchange_all()
    drained = Reply()
    harness.task.handle_message(
        DrainFlows(deadline_seconds=SHORT_SECONDS, reply=drained)
    )
    left = await drained.wait()
    assert (left.flows, left.requests) == (len(clients), 1)


@in_loop
async def test_flows_are_closed_before_a_drain_replies_at_its_deadline():
    # After the reply the agent announces that it has left, and balancers
    # reset its remaining flows.
    harness = FlowsTaskHarness()
    clients = [harness.connect() for _ in range(3)]
    drained = Reply()
    harness.task.handle_message(
        DrainFlows(deadline_seconds=SHORT_SECONDS, reply=drained)
    )
    await drained.wait()
    _assert_closed_without_error(harness, clients)


@in_loop
async def test_closing_the_task_closes_flows_without_error():
    harness = FlowsTaskHarness()
    clients = [harness.connect() for _ in range(3)]
    await harness.task.close()
    _assert_closed_without_error(harness, clients)


def _assert_closed_without_error(
    harness: FlowsTaskHarness, clients: list[Client]
) -> None:
    harness.exchange_all()
    for client in clients:
        client.quic.handle_timer(client.quic.get_timer())
        client.read_events()
        assert client.termination is not None
        assert not client.termination.error_code


def _reply_targets_of_requests(
    harness: FlowsTaskHarness, client: Client
) -> set[Endpoint]:
    harness.reply_targets.clear()
    for _ in range(4):
        client.request(b'order')
        harness.exchange_all()
    return set(harness.reply_targets)
