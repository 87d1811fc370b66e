"""Remove the rows of agents that are presumed dead."""

import asyncio

from bluebellfold.agents import Suspicion
from bluebellfold.balancers import find_presumed_dead
from bluebellfold.core import (
    Actor,
    Clock,
    Member,
    Message,
    Record,
    Registry,
    Reply,
    Site,
    read_only,
)
from bluebellfold.operators import control_endpoint_of, fetch_all_statuses
from bluebellfold.store import RemoveMembers, members_object_name

SWEEP_INTERVAL_SECONDS = 10.0


class GetSuspicionReport(Message):
    """Request the SuspicionReport of a balancer."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class SuspicionReport(Record):
    """Hold the members known to a balancer and its suspicions."""

    __slots__ = ('_members', '_suspicions')

    members: tuple[Member, ...] = read_only('_members')
    suspicions: tuple[Suspicion, ...] = read_only('_suspicions')

    def __init__(
        self,
        *,
        members: tuple[Member, ...],
        suspicions: tuple[Suspicion, ...],
    ) -> None:
        self._members = members
        self._suspicions = suspicions


class DeadMemberSweep(Actor):
    """Request the removal of presumed dead members periodically.

    Each sweep sends ``remover`` at most one RemoveMembers message, for the
    members of one object.
    """

    reactions = Registry(name='reactions of the sweep task')

    def __init__(
        self,
        *,
        balancer: Actor,
        remover: Actor,
        site: Site,
        clock: Clock,
    ) -> None:
        super().__init__(name='sweep')
        self._balancer = balancer
        self._remover = remover
        self._site = site
        self._clock = clock

    async def open(self) -> None:
        """Start the periodic sweep."""
        self.spawn(self._sweep_periodically(), name='sweep')

    async def sweep(self) -> None:
        """Request the removal of the dead members of one object."""
        reply = Reply()
        self._balancer.tell(GetSuspicionReport(reply=reply))
        report: SuspicionReport = await reply.wait()
        dead = await _select_unreachable(
            find_presumed_dead(
                report.members,
                report.suspicions,
                now=self._clock.now(),
            ),
        )
        if dead:
            self._remover.tell(self._build_removal(dead))

    async def _sweep_periodically(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            await self.sweep()

    def _build_removal(self, dead: tuple[Member, ...]) -> RemoveMembers:
        first = dead[0]
        names = {
            service.number: service.name for service in self._site.services
        }
        return RemoveMembers(
            name=members_object_name(
                service=names[first.service],
                zone=first.zone,
            ),
            members=tuple(
                member
                for member in dead
                if member.service == first.service and member.zone == first.zone
            ),
        )


async def _select_unreachable(
    members: tuple[Member, ...],
) -> tuple[Member, ...]:
    statuses = await fetch_all_statuses(map(control_endpoint_of, members))
    return tuple(
        member
        for member, status in zip(members, statuses, strict=True)
        if not status
    )
