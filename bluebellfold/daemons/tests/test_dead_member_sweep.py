"""Test that a sweep removes only unreachable members."""

import asyncio

from bluebellfold.agents import Suspicion
from bluebellfold.balancers.dead_members import PRESUMED_DEAD_SECONDS
from bluebellfold.core import Actor, ManualClock, Registry, Stop
from bluebellfold.daemons.dead_member_sweep import (
    DeadMemberSweep,
    GetSuspicionReport,
    SuspicionReport,
)
from bluebellfold.operators import load_site
from bluebellfold.operators.tests.fakes import (
    FakeProcess,
    make_report,
    member_at,
    run_control_server,
)
from bluebellfold.operators.tests.test_settings import BASE, OVERLAY
from bluebellfold.store import RemoveMembers


class FakePeer(Actor):
    """Stand in for the balancer and the remover."""

    reactions = Registry(name='reactions of the peer')

    def __init__(self, suspicion_report):
        super().__init__(name='neighbour')
        self.suspicion_report = suspicion_report
        self.removals = asyncio.Queue()

    @reactions.add(GetSuspicionReport)
    def _handle_get_suspicion_report(self, message):
        message.reply.put(self.suspicion_report)

    @reactions.add(RemoveMembers)
    def _handle_remove_members(self, message):
        self.removals.put_nowait(message)


def build_members(endpoint):
    # No process listens on ports 1 to 5.
    closed_ports = (1, 2, 3, 4, 5)
    others = [
        member_at(endpoint.replace(port=port), name=f'port-{port}').replace(
            endpoint=endpoint.replace(port=port),
        )
        for port in closed_ports
    ]
    live = member_at(endpoint, name='lives')
    return (*others[:2], live, *others[2:])


async def sweep_once(members, suspected):
    suspicions = tuple(
        Suspicion(endpoint=member.endpoint, since=0) for member in suspected
    )
    peer = FakePeer(SuspicionReport(members=members, suspicions=suspicions))
    running = asyncio.ensure_future(peer.run())
    task = DeadMemberSweep(
        balancer=peer,
        remover=peer,
        site=load_site(BASE, OVERLAY).site,
        clock=ManualClock(start=PRESUMED_DEAD_SECONDS),
    )
    await task.sweep()
    peer.tell(Stop())
    await running
    return [peer.removals.get_nowait() for _ in range(peer.removals.qsize())]


def test_only_unreachable_members_are_removed():
    async def scenario():
        agent = FakeProcess(make_report('lives', role='agent'))
        async with run_control_server(agent) as endpoint:
            members = build_members(endpoint)
            removals = await sweep_once(members, members[:3])
        assert [removal.members for removal in removals] == [members[:2]]
        assert removals[0].name.startswith('members/counter/')

    asyncio.run(scenario())


def test_no_member_is_removed_while_most_are_suspected():
    async def scenario():
        async with run_control_server(
            FakeProcess(make_report('lives'))
        ) as endpoint:
            members = build_members(endpoint)
            assert not await sweep_once(members, members[:4])

    asyncio.run(scenario())
