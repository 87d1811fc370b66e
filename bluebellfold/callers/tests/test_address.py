"""Test AddressTask with UDP sockets on the loopback interface."""

import asyncio
import os

import pytest

from bluebellfold.agents import (
    ClientDatagram,
    EnvelopeCodec,
    ReplyDatagram,
    Token,
    TokenSealer,
)
from bluebellfold.callers import AddressChanged, AddressTask, GetCounts
from bluebellfold.collectors import NoTraces
from bluebellfold.core import (
    SERVING,
    SLOT,
    Count,
    Endpoint,
    Key,
    Kind,
    Member,
    MonotonicClock,
    Reply,
    Stop,
)

HOST = '127.0.0.1'
TOKEN_KEYS = (Key(number=1, secret=b't' * 16),)
OLD_TOKEN_KEYS = (Key(number=9, secret=b'o' * 16),)
ENVELOPE_KEYS = (Key(number=2, secret=b'e' * 16),)
ORDER = 3
FIRST_FLIGHT = b'\xc0\x00\x00\x00\x01\x08' + b'flow-key' + bytes(1186)


def kind(port: int = 0) -> Kind:
    return Kind(
        name='order',
        number=ORDER,
        service='counter',
        port=port,
        urgency=0,
        share=0.5,
        repeatable=False,
        holds=SLOT,
        queue_seconds=1,
        deadline_seconds=5,
        first_flights_per_second=1000,
    )


def member(endpoint: Endpoint) -> Member:
    return Member(
        name='counter-1',
        service=1,
        zone='wa-south-a',
        endpoint=endpoint,
        control_port=1,
        weight=1,
        state=SERVING,
        incarnation=1,
        sequence=1,
    )


class Peer(asyncio.DatagramProtocol):
    """Collect the datagrams of one socket."""

    def __init__(self) -> None:
        self.inbox: asyncio.Queue = asyncio.Queue()

    def datagram_received(self, datagram, source) -> None:
        self.inbox.put_nowait((datagram, source))

    async def receive(self):
        return await asyncio.wait_for(self.inbox.get(), 5)


async def open_peer():
    loop = asyncio.get_running_loop()
    return await loop.create_datagram_endpoint(
        Peer,
        local_addr=(HOST, 0),
    )


class AddressHarness:
    """Run an AddressTask between a client socket and an agent socket."""

    async def __aenter__(self):
        self.agent_transport, self.agent = await open_peer()
        self.client_transport, self.client = await open_peer()
        agent_address = self.agent_transport.get_extra_info('sockname')
        self.agent_endpoint = Endpoint(
            host=agent_address[0], port=agent_address[1]
        )
        self.task = AddressTask(
            host=HOST,
            change=AddressChanged(
                kind=kind(),
                service=1,
                members=(member(self.agent_endpoint),),
                candidates=2,
            ),
            token_keys=TOKEN_KEYS,
            envelope_keys=ENVELOPE_KEYS,
            traces=NoTraces(),
            clock=MonotonicClock(),
        )
        self.running = asyncio.ensure_future(self.task.run())
        await self.counts()
        self.address = self.task._client_socket.getsockname()
        return self

    async def __aexit__(self, *_exception) -> None:
        self.task.tell(Stop())
        await self.running
        self.agent_transport.close()
        self.client_transport.close()

    async def counts(self) -> tuple[Count, ...]:
        reply = Reply()
        self.task.tell(GetCounts(reply=reply))
        return await reply.wait()

    def send(self, datagram: bytes) -> None:
        self.client_transport.sendto(datagram, self.address)

    async def receive_at_agent(self) -> ClientDatagram:
        datagram, self.return_path = await self.agent.receive()
        return EnvelopeCodec(keys=ENVELOPE_KEYS).decode(datagram)


def short_header(token: bytes) -> bytes:
    return b'\x40' + token + os.urandom(40)


def seal_token(*, keys=TOKEN_KEYS, agent: Endpoint, address: int) -> bytes:
    return TokenSealer(keys=keys).seal(
        Token(agent=agent, address=address, service=1)
    )


def test_first_flight_reaches_primary_and_reply_reaches_client():
    async def scenario() -> None:
        async with AddressHarness() as harness:
            harness.send(FIRST_FLIGHT)
            message = await harness.receive_at_agent()
            assert message.payload == FIRST_FLIGHT
            assert message.candidates == (harness.agent_endpoint,)
            reply = ReplyDatagram(
                address=ORDER, client=message.client, payload=b'answer'
            )
            harness.agent_transport.sendto(
                EnvelopeCodec(keys=ENVELOPE_KEYS).encode(reply),
                harness.return_path,
            )
            assert (await harness.client.receive())[0] == b'answer'

    asyncio.run(scenario())


def test_token_routes_to_agent_missing_from_member_list():
    async def scenario() -> None:
        async with AddressHarness() as harness:
            harness.task.tell(
                AddressChanged(kind=kind(), service=1, members=(), candidates=2)
            )
            datagram = short_header(
                seal_token(agent=harness.agent_endpoint, address=ORDER)
            )
            harness.send(datagram)
            message = await harness.receive_at_agent()
            assert message.payload == datagram
            assert message.candidates == ()

    asyncio.run(scenario())


def test_flow_of_departed_agent_gets_stateless_reset():
    async def scenario() -> None:
        async with AddressHarness() as harness:
            harness.task.tell(
                AddressChanged(
                    kind=kind(),
                    service=1,
                    members=(),
                    candidates=2,
                    departed=frozenset((harness.agent_endpoint,)),
                )
            )
            await harness.counts()
            token = seal_token(agent=harness.agent_endpoint, address=ORDER)
            harness.send(short_header(token))
            packet = (await harness.client.receive())[0]
            reset = TokenSealer(keys=TOKEN_KEYS).reset_token(token)
            assert packet.endswith(reset)
            assert Count(name='agent-gone', times=1) in await harness.counts()

    asyncio.run(scenario())


def forge_token(agent: Endpoint) -> bytes:
    token = seal_token(agent=agent, address=ORDER)
    return token[:5] + bytes((token[5] ^ 1,)) + token[6:]


BAD_DATAGRAMS = {
    'too-short': lambda agent: b'x',
    'not-quic': lambda agent: b'\xc0\x00\x00\x00\x01\xff' + bytes(60),
    'unknown-key': lambda agent: short_header(
        seal_token(keys=OLD_TOKEN_KEYS, agent=agent, address=ORDER)
    ),
    'forged-token': lambda agent: short_header(forge_token(agent)),
    'wrong-address': lambda agent: short_header(
        seal_token(agent=agent, address=ORDER + 1)
    ),
    'not-a-token': lambda agent: FIRST_FLIGHT[:100],
    'short-flow-key': lambda agent: b'\xc0\x00\x00\x00\x01\x04' + bytes(1200),
}


@pytest.mark.parametrize('reason', BAD_DATAGRAMS)
def test_bad_datagram_is_dropped_and_counted(reason):
    async def scenario() -> None:
        async with AddressHarness() as harness:
            harness.send(BAD_DATAGRAMS[reason](harness.agent_endpoint))
            # Datagrams are read in order: once the valid one has arrived, the
            # bad one has been read.
            harness.send(FIRST_FLIGHT)
            message = await harness.receive_at_agent()
            assert message.payload == FIRST_FLIGHT
            assert Count(name=reason, times=1) in await harness.counts()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('datagram', 'reason'),
    [
        (b'x', 'truncated-envelope'),
        (bytes(60), 'wrong-mac'),
        (
            EnvelopeCodec(
                keys=(Key(number=2, secret=b'f' * 16),),
            ).encode(
                ReplyDatagram(
                    address=ORDER,
                    client=Endpoint(host=HOST, port=9),
                    payload=b'x',
                )
            ),
            'wrong-mac',
        ),
        (
            EnvelopeCodec(keys=ENVELOPE_KEYS).encode(
                ReplyDatagram(
                    address=ORDER + 1,
                    client=Endpoint(host=HOST, port=9),
                    payload=b'x',
                )
            ),
            'wrong-address',
        ),
    ],
)
def test_bad_envelope_is_dropped_and_counted(datagram, reason):
    async def scenario() -> None:
        async with AddressHarness() as harness:
            harness.send(FIRST_FLIGHT)
            message = await harness.receive_at_agent()
            valid_reply = ReplyDatagram(
                address=ORDER, client=message.client, payload=b'answer'
            )
            codec = EnvelopeCodec(keys=ENVELOPE_KEYS)
            harness.agent_transport.sendto(datagram, harness.return_path)
            harness.agent_transport.sendto(
                codec.encode(valid_reply), harness.return_path
            )
            assert (await harness.client.receive())[0] == b'answer'
            assert Count(name=reason, times=1) in await harness.counts()

    asyncio.run(scenario())
