"""Test the exchange of copies over loopback, with one failure each."""

import asyncio
import json
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bluebellfold.core import (
    InboxFullError,
    ManualClock,
    MonotonicClock,
    Stop,
)
from bluebellfold.core.http_client import ClientRequest, HttpClient
from bluebellfold.core.platform_errors import PlatformUnavailableError
from bluebellfold.core.site import Endpoint
from bluebellfold.platform import EVACUATIONS_KIND, Change, StoredObject
from bluebellfold.relay.balancers.copies import CopyActor
from bluebellfold.relay.balancers.copies import actor as actor_module
from bluebellfold.relay.balancers.copies import kinds
from bluebellfold.relay.balancers.copies.messages import TakeCopies
from bluebellfold.relay.store import (
    AGENTS_KIND,
    ConfirmObjects,
    DisconnectObjects,
    ReportObjects,
    UpdateAgents,
    UpdateEvacuations,
    UpdateRoutes,
    decode_agent,
)
from bluebellfold.relay.store.tests.test_agents import RecordingActor
from bluebellfold.relay.tests.harness import journal_of, single
from bluebellfold.relay.tests.harness import position_of
from bluebellfold.standins.packets import SERVICE
from bluebellfold.standins.relay_site import make_configuration

CONFIG = 'config'
KINDS = (CONFIG, AGENTS_KIND)
ALL_KINDS = (*KINDS, EVACUATIONS_KIND)
PORT = 28_731
OWN = '127.9.0.1'
SEEDS = ('127.9.0.2', '127.9.0.3')
AGENT = {'host': '10.0.0.1', 'port': 8172, 'service': 'counter', 'zone': 'a'}


class FixedSeed:
    """Serve a fixed response to any request, or none."""

    def __init__(self, response):
        self.response = response
        self.requests = 0
        self._held = []

    async def serve(self, reader, writer):
        self._held.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        if self.response is not None:
            writer.write(self.response)


def response_of(body, *, status=200):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def object_of(spec, *, name='main', revision=1):
    return {'name': name, 'revision': revision, 'spec': spec}


def body_of(
    *,
    version: Any = 1,
    revision=5,
    era=1,
    age_ms=0,
    agents=(AGENT,),
    zones=None,
):
    listed = [
        object_of(spec, name=str(index), revision=index + 1)
        for index, spec in enumerate(agents)
    ]
    configuration = make_configuration(version, SERVICE[1])
    shared = {'era': era, 'revision': revision, 'age_ms': age_ms}
    kinds = {
        CONFIG: {**shared, 'objects': [object_of(configuration)]},
        AGENTS_KIND: {**shared, 'objects': listed},
    }
    if zones is not None:
        objects = [object_of({}, name=zone) for zone in zones]
        kinds[EVACUATIONS_KIND] = {**shared, 'objects': objects}
    return json.dumps({'kinds': kinds}).encode()


def report_of(kind, *specs, revision=5, era=1, is_complete=True, unreadable=()):
    changes = tuple(
        Change(
            stored=StoredObject(
                name='main' if kind == CONFIG else str(index),
                revision=index + 1,
                spec=spec,
            ),
            deleted=spec is None,
        )
        for index, spec in enumerate(specs)
    )
    return ReportObjects(
        kind=kind,
        changes=changes,
        position=position_of(revision, era=era),
        is_complete=is_complete,
        unreadable=frozenset(unreadable),
    )


def confirmation_of(kind, *, revision, era=1):
    return ConfirmObjects(kind=kind, position=position_of(revision, era=era))


def copy_actor(main_actor, *, host=OWN, seeds=SEEDS, clock=None, kinds=KINDS):
    clock = clock or MonotonicClock()
    return CopyActor(
        endpoint=Endpoint(host=host, port=PORT),
        seeds=seeds,
        kinds=kinds,
        main_actor=main_actor,
        clock=clock,
        journal=journal_of(clock),
    )


@asynccontextmanager
async def running(*seeds, host=OWN, own_seeds=SEEDS):
    """Run an actor of copies in front of stand-ins of seeds, None if down."""
    servers = await asyncio.gather(
        *(
            asyncio.start_server(seed.serve, seed_host, PORT)
            for seed_host, seed in zip(SEEDS, seeds)
            if seed is not None
        )
    )
    main_actor = RecordingActor()
    actor = copy_actor(main_actor, host=host, seeds=own_seeds)
    task = asyncio.create_task(actor.run())
    while actor._server._server is None:
        await asyncio.sleep(0)
    try:
        yield actor, main_actor
    finally:
        await stop_all(actor, task, servers)


async def stop_all(actor, task, servers):
    actor.tell(Stop())
    await task
    for server in servers:
        server.close()


async def next_updates(main_actor, *, seconds=2):
    """Return the next update of the routes and of the agents."""
    async with asyncio.timeout(seconds):
        updates = [
            await main_actor.received.get(),
            await main_actor.received.get(),
        ]
    assert [type(update) for update in updates] == [UpdateRoutes, UpdateAgents]
    return updates


async def handled(actor):
    """Wait until an actor has handled all messages told so far."""
    async with asyncio.timeout(2):
        while not actor._inbox.empty():
            await asyncio.sleep(0.01)


async def read_copies(host=OWN):
    client = HttpClient(endpoint=Endpoint(host=host, port=PORT))
    try:
        response = await client.send_request(
            ClientRequest(method='GET', target='/copies'), timeout_seconds=2
        )
    finally:
        client.close()
    return json.loads(response.body)['kinds']


async def take_all(*bodies, clock=None, reports=()):
    """Return the updates of evacuations from bodies of copies, in order."""
    clock = clock or ManualClock(start=100)
    main_actor = RecordingActor()
    actor = copy_actor(main_actor, seeds=(), clock=clock, kinds=ALL_KINDS)
    for report in reports:
        actor.handle_message(report)
    for body in bodies:
        actor.handle_message(
            TakeCopies(peer=SEEDS[0], body=body, asked_at=clock.now())
        )
    updates = []
    while not main_actor.received.empty():
        updates.append(main_actor.received.get_nowait())
    return [each for each in updates if isinstance(each, UpdateEvacuations)]


def assert_no_update(main_actor):
    assert main_actor.received.empty()


def test_copy_of_a_seed_becomes_updates_with_their_source():
    async def scenario():
        seed = FixedSeed(response_of(body_of(version=7)))
        async with running(seed) as (_, main_actor):
            routes, agents = await next_updates(main_actor)
        assert (routes.routes.version, routes.peer) == (7, SEEDS[0])
        assert (agents.position, agents.peer) == (position_of(1), SEEDS[0])
        assert [entry.address[0] for entry in agents.entries] == ['10.0.0.1']

    asyncio.run(scenario())


# Guards against new flows in an evacuated zone from a balancer that starts
# without the store, until an agent tells it.
def test_evacuated_zones_are_taken_with_their_revision():
    # No zone can have the last name.
    body = body_of(revision=40, zones=('a', 'c', ' b'))
    update = single(asyncio.run(take_all(body)))
    assert update == UpdateEvacuations(
        zones=frozenset('ac'), position=position_of(40), peer=SEEDS[0]
    )


def test_end_of_all_evacuations_is_taken():
    bodies = [body_of(revision=40, zones='a'), body_of(revision=41, zones='')]
    updates = asyncio.run(take_all(*bodies))
    assert [update.zones for update in updates] == [{'a'}, set()]


# Guards against a balancer that starts without the store and keeps a copy from
# before the store lost its last writes.
def test_copy_of_a_later_era_is_taken():
    bodies = [
        body_of(revision=40, zones='a'),
        body_of(revision=30, era=2, zones='b'),
        body_of(revision=41, zones='c'),
    ]
    updates = asyncio.run(take_all(*bodies))
    assert [update.position for update in updates] == [
        position_of(40),
        position_of(30, era=2),
    ]


# Guards against an evacuation that ends, or begins again, by a copy that is
# behind another one, or that no store has confirmed for long.
@pytest.mark.parametrize(
    'later',
    [
        {'revision': 39, 'zones': 'b'},
        {'revision': 40, 'zones': 'b'},
        {'revision': 41, 'zones': 'b', 'age_ms': 30_001},
        {'revision': 41},
    ],
    ids=['older', 'known', 'expired', 'without the kind'],
)
def test_evacuated_zones_of_another_copy_are_not_taken(later):
    bodies = [body_of(revision=40, zones='a'), body_of(**later)]
    updates = asyncio.run(take_all(*bodies))
    assert [update.zones for update in updates] == [{'a'}]


def test_no_evacuated_zones_are_taken_once_the_store_has_answered():
    answer = report_of(EVACUATIONS_KIND, revision=30)
    body = body_of(revision=40, zones='a')
    assert not asyncio.run(take_all(body, reports=[answer]))


def test_evacuated_zones_are_served_as_of_their_last_confirmation():
    async def scenario():
        async with running(own_seeds=()) as (actor, _):
            actor.tell(report_of(EVACUATIONS_KIND, {}, revision=12))
            actor.tell(confirmation_of(EVACUATIONS_KIND, revision=15))
            await handled(actor)
            return await read_copies()

    assert asyncio.run(scenario()) == {
        EVACUATIONS_KIND: {
            'era': 1,
            'revision': 15,
            'age_ms': 0,
            'objects': [object_of({}, name='0')],
        }
    }


# Each is a failure of the first seed; the second one's copy has to serve.
BAD_SEEDS = {
    'down': None,
    'without state': response_of(b'{}', status=503),
    'not found': response_of(b'{}', status=404),
    'silent': FixedSeed(None),
    'no http': b'\xff\x00 nonsense\r\n\r\n',
    'no json': response_of(b'{"kinds":'),
    'cut off': response_of(body_of())[:-9],
    'odd agent': response_of(body_of(agents=(AGENT, {'host': 1}))),
    'odd configuration': response_of(body_of(version='x')),
    'no configuration': response_of(
        b'{"kinds":{"config":{"revision":9,"age_ms":0,"objects":[]}}}'
    ),
    'expired': response_of(body_of(age_ms=30_001)),
}


@pytest.mark.parametrize('bad', BAD_SEEDS.values(), ids=BAD_SEEDS.keys())
def test_failure_of_a_seed_leaves_the_next_one(bad):
    async def scenario():
        good = FixedSeed(response_of(body_of(version=7)))
        first = FixedSeed(bad) if isinstance(bad, bytes) else bad
        async with running(first, good) as (_, main_actor):
            routes, agents = await next_updates(main_actor)
            assert routes.peer == SEEDS[1]
            assert agents.peer == SEEDS[1]

    asyncio.run(scenario())


# Guards against a response that fills the memory of the balancer.
def test_oversized_response_is_not_read_to_its_end(monkeypatch, caplog):
    monkeypatch.setattr(actor_module, 'MAX_BODY_BYTES', 100)

    async def scenario():
        seed = FixedSeed(response_of(body_of()))
        async with running(seed) as (_, main_actor):
            await asyncio.sleep(0.6)
            assert seed.requests
            assert_no_update(main_actor)

    caplog.set_level('INFO')
    asyncio.run(scenario())
    problems = [
        line.problem for line in caplog.records if line.event == 'BBF0754'
    ]
    assert 'the response has more than 100 bytes' in problems


# Guards against a flood of lines and requests while all seeds are down.
def test_with_all_seeds_down_a_problem_is_logged_once(caplog):
    async def scenario():
        async with running() as (actor, main_actor):
            await asyncio.sleep(1.8)
            assert_no_update(main_actor)
            return actor._journal.tally.times('copies-asked')

    caplog.set_level('INFO')
    asked = asyncio.run(scenario())
    lines = [line for line in caplog.records if line.event == 'BBF0754']
    assert 3 <= asked <= 8
    assert len(lines) == len(SEEDS)


def test_older_copy_of_the_next_seed_is_ignored():
    async def scenario():
        newer = FixedSeed(response_of(body_of(version=9, revision=50)))
        older = FixedSeed(response_of(body_of(version=8, revision=40)))
        async with running(newer, older) as (actor, main_actor):
            await next_updates(main_actor)
            async with asyncio.timeout(2):
                while not older.requests:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert_no_update(main_actor)
            held = actor._copies.find(CONFIG)
            assert held
            assert held.position == position_of(50)

    asyncio.run(scenario())


# Guards against a start that decodes 28,000 agents, for 0.2 s, each time that a
# seed has nothing new.
def test_copy_that_is_held_already_is_not_decoded_again(monkeypatch):
    decoded = []

    def decode(spec):
        decoded.append(spec)
        return decode_agent(spec)

    monkeypatch.setattr(kinds, 'decode_agent', decode)

    async def scenario():
        clock = ManualClock(start=100)
        main_actor = RecordingActor()
        actor = copy_actor(main_actor, seeds=(), clock=clock)
        for age_ms, revision in ((5000, 90), (0, 90), (0, 80)):
            body = body_of(revision=revision, age_ms=age_ms)
            actor.handle_message(
                TakeCopies(peer=SEEDS[0], body=body, asked_at=clock.now())
            )
        assert main_actor.told == len(KINDS)
        assert actor.gauges()[f'copy-age-seconds-{AGENTS_KIND}'] == 0

    asyncio.run(scenario())
    assert len(decoded) == 1


class BusyActor(RecordingActor):
    """Refuse messages while it is busy, as an actor with a full inbox does."""

    is_busy = True

    def tell(self, message):
        if self.is_busy:
            raise InboxFullError(problem='full', remedy='wait')
        super().tell(message)


# Guards against a copy that counts as held although its update was lost: it was
# never told again, and the balancer had no state until the store answered.
def test_copy_whose_update_was_not_accepted_is_taken_again():
    async def scenario():
        clock = ManualClock(start=100)
        main_actor = BusyActor()
        actor = copy_actor(main_actor, seeds=(), clock=clock)
        copies = TakeCopies(peer=SEEDS[0], body=body_of(), asked_at=clock.now())
        with pytest.raises(InboxFullError):
            actor.handle_message(copies)
        main_actor.is_busy = False
        actor.handle_message(copies)
        assert main_actor.told == len(KINDS)

    asyncio.run(scenario())


def test_newer_copy_of_the_next_seed_replaces_the_first():
    async def scenario():
        older = FixedSeed(response_of(body_of(version=8, revision=40)))
        newer = FixedSeed(response_of(body_of(version=9, revision=50)))
        async with running(older, newer) as (_, main_actor):
            first, _ = await next_updates(main_actor)
            second, _ = await next_updates(main_actor)
            assert first.routes.version == 8
            assert second.routes.version == 9

    asyncio.run(scenario())


# Guards against requests to other balancers when the store works as usual.
def test_no_seed_is_asked_once_the_store_has_answered():
    async def scenario():
        seed = FixedSeed(response_of(body_of()))
        async with running(seed) as (actor, main_actor):
            actor.tell(report_of(CONFIG, make_configuration(1)))
            actor.tell(report_of(AGENTS_KIND))
            await asyncio.sleep(0.8)
            assert not seed.requests
            assert_no_update(main_actor)

    asyncio.run(scenario())


# Guards against a copy that arrives after the store's answer and undoes it.
def test_store_that_answers_in_between_goes_before_the_copy(caplog):
    async def scenario():
        clock = ManualClock(start=100)
        main_actor = RecordingActor()
        actor = copy_actor(main_actor, seeds=(), clock=clock)
        late = TakeCopies(
            peer=SEEDS[0], body=body_of(revision=90), asked_at=clock.now()
        )
        actor.handle_message(late)
        await next_updates(main_actor)
        actor.handle_message(report_of(CONFIG, make_configuration(1)))
        actor.handle_message(report_of(AGENTS_KIND, revision=60))
        actor.handle_message(late)
        assert_no_update(main_actor)
        held = actor._copies.find(AGENTS_KIND)
        assert held
        assert (held.peer, held.position) == ('', position_of(60))

    caplog.set_level('INFO')
    asyncio.run(scenario())
    replaced = [line for line in caplog.records if line.event == 'BBF0755']
    assert [(line.kind, line.peer) for line in replaced] == [
        (CONFIG, SEEDS[0]),
        (AGENTS_KIND, SEEDS[0]),
    ]


def test_only_the_kind_that_the_store_has_not_answered_is_taken():
    async def scenario():
        seed = FixedSeed(response_of(body_of(revision=90)))
        async with running(seed) as (actor, main_actor):
            actor.tell(report_of(CONFIG, make_configuration(1)))
            async with asyncio.timeout(2):
                update = await main_actor.received.get()
            assert isinstance(update, UpdateAgents)
            await asyncio.sleep(0.1)
            assert_no_update(main_actor)

    asyncio.run(scenario())


# Guards against a balancer that serves no copies, or no flows, because its port
# was taken for a moment.
def test_port_that_was_taken_is_bound_later():
    async def scenario():
        other = await asyncio.start_server(FixedSeed(None).serve, OWN, PORT)
        main_actor = RecordingActor()
        actor = copy_actor(main_actor, seeds=())
        task = asyncio.create_task(actor.run())
        await asyncio.sleep(0.1)
        other.close()
        async with asyncio.timeout(5):
            while actor._server._server is None:
                await asyncio.sleep(0.05)
        with pytest.raises(PlatformUnavailableError, match='503'):
            await read_copies()
        await stop_all(actor, task, ())

    asyncio.run(scenario())


def test_balancer_without_state_says_so_at_once():
    async def scenario():
        async with running(own_seeds=()):
            with pytest.raises(PlatformUnavailableError, match='503'):
                await read_copies()

    asyncio.run(scenario())


def test_objects_are_served_as_stored():
    async def scenario():
        async with running(own_seeds=()) as (actor, _):
            configuration = make_configuration(3, 80)
            actor.tell(report_of(CONFIG, configuration, revision=11))
            actor.tell(report_of(AGENTS_KIND, AGENT, AGENT, revision=12))
            changes = report_of(
                AGENTS_KIND, None, {**AGENT, 'zone': 'b'}, is_complete=False
            )
            actor.tell(changes)
            actor.tell(confirmation_of(AGENTS_KIND, revision=14))
            await handled(actor)
            return await read_copies()

    kinds = asyncio.run(scenario())
    assert kinds[CONFIG]['revision'] == 11
    assert kinds[CONFIG]['objects'][0]['spec'] == make_configuration(3, 80)
    assert kinds[AGENTS_KIND] == {
        'era': 1,
        'revision': 14,
        'age_ms': 0,
        'objects': [object_of({**AGENT, 'zone': 'b'}, name='1', revision=2)],
    }


# Guards against an agent that is missing after a restart within one response.
def test_object_that_is_deleted_and_written_again_is_served():
    async def scenario():
        async with running(own_seeds=()) as (actor, _):
            actor.tell(report_of(AGENTS_KIND, AGENT))
            again = report_of(AGENTS_KIND, AGENT, is_complete=False)
            gone = report_of(AGENTS_KIND, None, is_complete=False)
            both = (*gone.changes, *again.changes)
            actor.tell(again.replace(changes=both))
            await handled(actor)
            return await read_copies()

    kinds = asyncio.run(scenario())
    assert len(kinds[AGENTS_KIND]['objects']) == 1


def test_unreadable_object_stays_as_it_was_in_the_copy():
    async def scenario():
        async with running(own_seeds=()) as (actor, _):
            actor.tell(report_of(AGENTS_KIND, AGENT))
            actor.tell(report_of(AGENTS_KIND, unreadable=('0', 'other')))
            await handled(actor)
            return await read_copies()

    kinds = asyncio.run(scenario())
    assert [entry['spec'] for entry in kinds[AGENTS_KIND]['objects']] == [AGENT]


# Guards against an age that starts anew with each balancer that passes it on.
def test_copy_is_passed_on_with_its_age():
    async def scenario():
        seed = FixedSeed(response_of(body_of(age_ms=9000)))
        async with running(seed) as (_, main_actor):
            await next_updates(main_actor)
            await asyncio.sleep(0.2)
            return await read_copies()

    ages = [kind['age_ms'] for kind in asyncio.run(scenario()).values()]
    assert len(ages) == len(KINDS)
    assert all(9200 <= age < 11_000 for age in ages)


def test_age_counts_from_the_end_of_the_connection_to_the_store():
    clock = ManualClock(start=100)

    async def scenario():
        actor = copy_actor(RecordingActor(), seeds=(), clock=clock)
        actor.handle_message(report_of(CONFIG, make_configuration(1)))
        clock.advance(50)
        actor.handle_message(DisconnectObjects(kind=CONFIG, was_silent=False))
        clock.advance(4)
        return actor.gauges()

    gauges = asyncio.run(scenario())
    assert gauges == {f'copy-age-seconds-{CONFIG}': 4}


# Guards against seeds whose memory and time many starting balancers take up.
def test_number_of_connections_is_bounded():
    async def scenario():
        async with running(own_seeds=()) as (actor, _):
            actor.tell(report_of(CONFIG, make_configuration(1)))
            await handled(actor)
            idle = await asyncio.gather(
                *(
                    asyncio.open_connection(OWN, PORT)
                    for _ in range(actor_module.MAX_CONNECTIONS)
                )
            )
            with pytest.raises(PlatformUnavailableError):
                await read_copies()
            # An idle connection is closed, so that the next balancer is served.
            async with asyncio.timeout(3):
                assert await idle[0][0].read() == b''
            assert await read_copies()
            for _, writer in idle:
                writer.close()

    asyncio.run(scenario())


def test_own_host_is_not_asked():
    async def scenario():
        async with running(own_seeds=(OWN,)) as (actor, _):
            await asyncio.sleep(0.6)
            assert not actor._journal.tally.times('copies-asked')

    asyncio.run(scenario())
