"""Test what an agent sends when it hands a flow on, with real sockets."""

import asyncio

from bluebellfold.agents import (
    ClientDatagram,
    EnvelopeCodec,
    FlowAssigner,
    LoadReport,
    ProbeReply,
)
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flows import FlowsTask
from bluebellfold.callers.quic.messages import ServiceChanged
from bluebellfold.callers.quic.opening import FlowOpener
from bluebellfold.callers.tests.test_address import (
    ENVELOPE_KEYS,
    FIRST_FLIGHT,
    HOST,
    ORDER,
    TOKEN_KEYS,
    kind,
    member,
    open_peer,
)
from bluebellfold.collectors import NoTraces
from bluebellfold.core import (
    Actor,
    Endpoint,
    MonotonicClock,
    Service,
    Stop,
)

CODEC = EnvelopeCodec(keys=ENVELOPE_KEYS)
SERVICE = Service(
    name='counter', number=1, upstreams=2, slots=3, connections=2000
)


def endpoint_of(transport) -> Endpoint:
    host, port = transport.get_extra_info('sockname')
    return Endpoint(host=host, port=port)


def flows_task(home: Endpoint, other: Endpoint) -> FlowsTask:
    members = (member(home), member(other))
    placer = FlowAssigner(member=members[0], service=SERVICE)
    placer.update_service(SERVICE, members)
    placer.drain()
    return FlowsTask(
        envelopes=EnvelopeSocket(endpoint=home, keys=ENVELOPE_KEYS),
        opener=FlowOpener(endpoint=home, quic=None, token_keys=TOKEN_KEYS),
        placer=placer,
        service=ServiceChanged(
            service=SERVICE, kinds=(kind(),), members=members
        ),
        requests=Actor(name='requests'),
        traces=NoTraces(),
        clock=MonotonicClock(),
    )


async def receive(peer):
    while True:
        datagram, _source = await peer.receive()
        message = CODEC.decode(datagram)
        if not isinstance(message, LoadReport):
            return message


async def hand_one_flow_on():
    balancer_transport, balancer = await open_peer()
    other_transport, other = await open_peer()
    spare_transport, _spare = await open_peer()
    home = endpoint_of(spare_transport)
    spare_transport.close()
    await asyncio.sleep(0)
    task = flows_task(home, endpoint_of(other_transport))
    running = asyncio.ensure_future(task.run())
    await asyncio.sleep(0)
    first_flight = ClientDatagram(
        address=ORDER,
        client=Endpoint(host=HOST, port=50_000),
        payload=FIRST_FLIGHT,
    )
    balancer_transport.sendto(
        CODEC.encode(first_flight), (home.host, home.port)
    )
    messages = (await receive(other), await receive(balancer))
    task.tell(Stop())
    await running
    balancer_transport.close()
    other_transport.close()
    return messages


def test_a_home_that_hands_a_flow_on_tells_the_balancer_that_it_lives():
    handed_on, answer = asyncio.run(hand_one_flow_on())
    assert handed_on.hops == 1
    assert answer == ProbeReply()
