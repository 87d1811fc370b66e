"""Have the rows of agents that are gone for good removed."""

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
from bluebellfold.operators import ask_all, control_of
from bluebellfold.store import RemoveMembers, members_object_name

SWEEP_SECONDS = 10.0


class GetSilence(Message):
    """Ask a balancer for its Silence."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class Silence(Record):
    """State the members that a balancer knows, and which are silent."""

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


class SweepTask(Actor):
    """Ask a balancer periodically who is gone, and have those removed.

    ``remover`` is told RemoveMembers, one object at a time.
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
        """Start to sweep."""
        self.spawn(self._sweep_periodically(), name='sweep')

    async def sweep(self) -> None:
        """Have the departed members of one object removed."""
        reply = Reply()
        self._balancer.tell(GetSilence(reply=reply))
        silence: Silence = await reply.wait()
        departed = await _unreachable(
            find_presumed_dead(
                silence.members,
                silence.suspicions,
                now=self._clock.now(),
            ),
        )
        if departed:
            self._remover.tell(self._removal(departed))

    async def _sweep_periodically(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            await self.sweep()

    def _removal(self, departed: tuple[Member, ...]) -> RemoveMembers:
        first = departed[0]
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
                for member in departed
                if member.service == first.service and member.zone == first.zone
            ),
        )


async def _unreachable(members: tuple[Member, ...]) -> tuple[Member, ...]:
    answers = await ask_all(map(control_of, members))
    return tuple(
        member
        for member, answer in zip(members, answers, strict=True)
        if not answer
    )
