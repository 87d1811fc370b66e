"""Test what an agent sends when it forwards a flow, with real sockets."""

import asyncio

from bluebellfold.agents import (
    ClientDatagram,
    EnvelopeCodec,
    FlowAssigner,
    LoadReport,
    ProbeReply,
)
from bluebellfold.callers.quic.envelopes import EnvelopeSocket
from bluebellfold.callers.quic.flow_opener import FlowOpener
from bluebellfold.callers.quic.flows import FlowsTask
from bluebellfold.callers.quic.messages import ServiceChanged
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


def flows_task(primary: Endpoint, other: Endpoint) -> FlowsTask:
    members = (member(primary), member(other))
    assigner = FlowAssigner(member=members[0], service=SERVICE)
    assigner.update_service(SERVICE, members)
    assigner.drain()
    return FlowsTask(
        envelopes=EnvelopeSocket(endpoint=primary, keys=ENVELOPE_KEYS),
        opener=FlowOpener(endpoint=primary, quic=None, token_keys=TOKEN_KEYS),
        assigner=assigner,
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


async def forward_one_flow():
    balancer_transport, balancer = await open_peer()
    other_transport, other = await open_peer()
    spare_transport, _spare = await open_peer()
    primary = endpoint_of(spare_transport)
    spare_transport.close()
    await asyncio.sleep(0)
    task = flows_task(primary, endpoint_of(other_transport))
    running = asyncio.ensure_future(task.run())
    await asyncio.sleep(0)
    first_flight = ClientDatagram(
        address=ORDER,
        client=Endpoint(host=HOST, port=50_000),
        payload=FIRST_FLIGHT,
    )
    balancer_transport.sendto(
        CODEC.encode(first_flight), (primary.host, primary.port)
    )
    messages = (await receive(other), await receive(balancer))
    task.tell(Stop())
    await running
    balancer_transport.close()
    other_transport.close()
    return messages


def test_a_primary_that_forwards_a_flow_sends_a_probe_reply_to_the_balancer():
    forwarded, reply = asyncio.run(forward_one_flow())
    assert forwarded.hops == 1
    assert reply == ProbeReply()
