"""Test exchange tasks with real calls over the loopback interface."""

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import pytest
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from bluebellfold.balancers import (
    Announce,
    ConfigurationReceived,
    ExchangeService,
    ExchangeTask,
    GetMembers,
    MembersChanged,
    MergeMembers,
    PublishConfiguration,
    Subscribe,
)
from bluebellfold.balancers import control_pb2 as wire
from bluebellfold.balancers.control_grpc import ExchangeStub
from bluebellfold.balancers.tests.samples import (
    build_member,
    build_process,
    build_site,
)
from bluebellfold.core import (
    DRAINING,
    LEFT,
    Actor,
    Configuration,
    MonotonicClock,
    Registry,
    Reply,
    Stop,
)

LONGEST_WAIT_SECONDS = 20


class RecordingSubscriber(Actor):
    reactions = Registry(name='reactions of the recording subscriber')

    def __init__(self):
        super().__init__(name='listener')
        self.rows = {}
        self.configurations = []
        self._changed = asyncio.Event()

    async def wait_until(self, condition):
        async with asyncio.timeout(LONGEST_WAIT_SECONDS):
            while not condition(self):
                self._changed.clear()
                await self._changed.wait()

    @reactions.add(MembersChanged)
    def _record_members(self, message):
        self.rows.update({row.name: row for row in message.changed})
        self._changed.set()

    @reactions.add(ConfigurationReceived)
    def _record_configuration(self, message):
        self.configurations.append(message.configuration)
        self._changed.set()


async def wait_until_all(condition, pairs):
    await asyncio.gather(*(pair[1].wait_until(condition) for pair in pairs))


def has_rows(*rows):
    wanted = {row.name: row for row in rows}
    return lambda subscriber: subscriber.rows == wanted


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


async def stop(server, actors, running):
    server.close()
    await server.wait_closed()
    for actor in actors:
        actor.tell(Stop())
    await asyncio.gather(*running)


@asynccontextmanager
async def serve(port, site):
    subscriber = RecordingSubscriber()
    task = ExchangeTask(
        site=site,
        process=build_process(port),
        rng=Random(port),
        clock=MonotonicClock(),
        subscribers=(subscriber,),
        configuration_sink=subscriber,
    )
    server = Server([ExchangeService(task=task, site=site.name)])
    await server.start('127.0.0.1', port)
    running = [asyncio.ensure_future(a.run()) for a in (subscriber, task)]
    try:
        yield task, subscriber
    finally:
        await stop(server, (task, subscriber), running)


@asynccontextmanager
async def serve_all(*ports, site):
    async with AsyncExitStack() as stack:
        served = [stack.enter_async_context(serve(p, site)) for p in ports]
        yield await asyncio.gather(*served)


@asynccontextmanager
async def serve_unresponsive(port):
    """Accept connections and never read from them."""
    with socket.socket() as unresponsive:
        unresponsive.bind(('127.0.0.1', port))
        unresponsive.listen()
        yield


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 3 * LONGEST_WAIT_SECONDS))


def test_rows_reach_all_peers_despite_an_unresponsive_and_a_late_one():
    async def scenario():
        ports = [free_port() for _ in range(6)]
        site = build_site(*ports)
        rows = [build_member(name=f'm{n}', control_port=n) for n in ports[:4]]
        async with (
            serve_unresponsive(ports[5]),
            serve_all(*ports[:4], site=site) as four,
        ):
            for (task, _), row in zip(four, rows, strict=True):
                task.tell(Announce(member=row))
            await wait_until_all(has_rows(*rows), four)
            rows[0] = rows[0].replace(state=DRAINING, sequence=1)
            rows[1] = rows[1].replace(state=LEFT, sequence=1)
            four[0][0].tell(Announce(member=rows[0]))
            four[1][0].tell(Announce(member=rows[1]))
            async with serve(ports[4], site) as late:
                await wait_until_all(has_rows(*rows), (late, *four))

    run(scenario())


def test_restarted_process_recovers_members_and_configuration():
    newest = Configuration(version=7, operation='o', text='[site]')

    async def scenario():
        ports = [free_port(), free_port()]
        site = build_site(*ports)
        rows = [build_member(name=f'm{n}') for n in range(600)]
        async with serve(ports[0], site) as (task, subscriber):
            task.tell(MergeMembers(members=tuple(rows)))
            task.tell(PublishConfiguration(configuration=newest))
            async with serve(ports[1], site) as first:
                await wait_until_all(has_rows(*rows), [first])
            async with serve(ports[1], site) as restarted:
                await wait_until_all(has_rows(*rows), [restarted])
                await wait_until_all(lambda it: it.configurations, [restarted])
                assert restarted[1].configurations == [newest]
            assert not subscriber.configurations

    run(scenario())


def test_newest_configuration_reaches_all_peers_and_is_kept():
    newest = Configuration(version=7, operation='o', text='[site]')

    async def scenario():
        ports = [free_port() for _ in range(3)]
        site = build_site(*ports)
        async with serve_all(*ports, site=site) as three:
            three[0][0].tell(PublishConfiguration(configuration=newest))
            await wait_until_all(lambda it: it.configurations, three[1:])
            old = newest.replace(version=6)
            three[1][0].tell(PublishConfiguration(configuration=old))
            await three[1][1].wait_until(lambda it: len(it.configurations) == 2)
            for _, subscriber in three[1:]:
                assert set(subscriber.configurations) == {newest}

    run(scenario())


def test_announcement_reply_gives_the_number_of_peers_reached():
    async def scenario():
        ports = [free_port() for _ in range(4)]
        site = build_site(*ports)
        async with serve_all(*ports[:3], site=site) as three:
            reply = Reply()
            row = build_member()
            three[0][0].tell(Announce(member=row, reply=reply))
            assert await reply.wait() == 2
            members_reply = Reply()
            three[1][0].tell(GetMembers(reply=members_reply))
            assert await members_reply.wait() == (row,)

    run(scenario())


def test_new_subscriber_receives_the_current_members():
    async def scenario():
        port = free_port()
        async with serve(port, build_site(port)) as (task, _):
            task.tell(MergeMembers(members=(build_member(),)))
            new_subscriber = RecordingSubscriber()
            running = asyncio.ensure_future(new_subscriber.run())
            task.tell(
                Subscribe(
                    message_type=MembersChanged, subscriber=new_subscriber
                )
            )
            await new_subscriber.wait_until(has_rows(build_member()))
            new_subscriber.tell(Stop())
            await running

    run(scenario())


def test_call_from_another_site_is_refused():
    async def scenario():
        port = free_port()
        async with serve(port, build_site(port)):
            async with Channel('127.0.0.1', port) as channel:
                with pytest.raises(GRPCError, match='remedy'):
                    await ExchangeStub(channel).Swap(
                        wire.SwapRequest(site='klatka'),
                    )

    run(scenario())
