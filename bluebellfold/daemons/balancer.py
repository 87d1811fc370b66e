"""Run a balancer: an address's task for each kind of work."""

import asyncio
import uuid
from itertools import chain

from bluebellfold.callers import (
    AddressChanged,
    AddressTask,
    AnnounceLeaving,
    GetCounts,
    GetSuspicions,
    UpdateKeys,
)
from bluebellfold.core import (
    LEFT,
    Actor,
    Count,
    Member,
    Process,
    Registry,
    Reply,
    Stop,
    Tally,
)
from bluebellfold.daemons.collecting import BALANCER_ROLE
from bluebellfold.daemons.parts import Parts, Tasks
from bluebellfold.daemons.process import (
    is_watcher,
    open_platform,
    run_process,
)
from bluebellfold.daemons.role import (
    DRAINING_STATE,
    RoleTask,
)
from bluebellfold.daemons.sweeping import GetSilence, Silence, SweepTask
from bluebellfold.operators import (
    Drain,
    GetStatus,
    Keys,
    SiteSettings,
    StatusReport,
)
from bluebellfold.store import MemberReader, MemberRemover, members_object_names

# Answers under way still come to a balancer that its agents have left.
GRACE_SECONDS = 1.0
_NOT_DROPS = frozenset(('forwarded', 'answered'))


class BalancerTask(RoleTask):
    """Own the tasks of the addresses, and tell each what changes."""

    reactions = Registry(
        name='reactions of a balancer',
        base=RoleTask.reactions,
    )

    def __init__(self, *, parts: Parts) -> None:
        super().__init__(
            settings=parts.settings,
            process=parts.process,
            clock=parts.clock,
        )
        self._keys = parts.keys
        self._traces = parts.traces
        self._addresses: dict[int, AddressTask] = {}
        self._told: dict[int, AddressChanged] = {}

    async def open(self) -> None:
        """Start to serve the addresses."""
        self.adopt(self._settings)

    def adopt(self, settings: SiteSettings) -> None:
        """Start, change and stop addresses as the settings say."""
        kinds = {kind.number: kind for kind in settings.site.kinds}
        for number in tuple(self._addresses):
            told = self._told[number]
            if number not in kinds or kinds[number].port != told.kind.port:
                self._stop_address(number)
        self.adopt_members(self._members)

    def adopt_members(self, members: tuple[Member, ...]) -> None:
        """Tell each address the members of its service."""
        site = self._settings.site
        numbers = {service.name: service.number for service in site.services}
        behind = _group_by_service(members)
        departed = self._departed.endpoints
        for kind in site.kinds:
            service = numbers[kind.service]
            self._tell_address(
                AddressChanged(
                    kind=kind,
                    service=service,
                    members=tuple(behind.get(service, ())),
                    candidates=site.candidates,
                    departed=departed,
                ),
            )

    def adopt_keys(self, keys: Keys) -> None:
        """Tell each address the keys."""
        self._keys = keys
        for address in self._addresses.values():
            address.tell(
                UpdateKeys(
                    token_keys=keys.token.valid,
                    envelope_keys=keys.envelope.valid,
                ),
            )

    @reactions.add(GetStatus)
    def _answer_status(self, message: GetStatus) -> None:
        self.spawn(self._report(message.reply), name='status')

    @reactions.add(GetSilence)
    def _answer_silence(self, message: GetSilence) -> None:
        self.spawn(self._collect_silence(message.reply), name='silence')

    @reactions.add(Drain)
    def _drain(self, message: Drain) -> None:
        self.spawn(self._report(message.reply), name='drain-status')
        if self._state == DRAINING_STATE:
            return
        self._state = DRAINING_STATE
        for address in self._addresses.values():
            address.tell(AnnounceLeaving())
        grace = min(GRACE_SECONDS, message.deadline_seconds)
        asyncio.get_running_loop().call_later(grace, self._end_soon)

    def _tell_address(self, change: AddressChanged) -> None:
        number = change.kind.number
        if self._told.get(number) == change:
            return
        self._told[number] = change
        address = self._addresses.get(number)
        if address is None:
            self._start_address(change)
        else:
            address.tell(change)

    def _start_address(self, change: AddressChanged) -> None:
        address = AddressTask(
            host=self._process.host,
            change=change,
            token_keys=self._keys.token.valid,
            envelope_keys=self._keys.envelope.valid,
            traces=self._traces,
            clock=self._clock,
        )
        self._addresses[change.kind.number] = address
        if self._exchange is None:
            self.spawn_needed(address)
        else:
            # One address that can't be added must not end the others.
            self.spawn(address.run(), name=address.name)

    def _stop_address(self, number: int) -> None:
        self._told.pop(number)
        address = self._addresses.pop(number)
        address.tell(AnnounceLeaving())
        address.tell(Stop())

    async def _report(self, reply: Reply) -> None:
        tally = Tally()
        for address in tuple(self._addresses.values()):
            asked = Reply()
            address.tell(GetCounts(reply=asked))
            for count in await asked.wait():
                tally.add(count.name, count.times)
        counts = tally.counts()
        reply.put(
            StatusReport(
                name=self._process.name,
                role=BALANCER_ROLE,
                zone=self._process.zone,
                state=self._state,
                version=self._version,
                requests=_pick(counts, drops=False),
                drops=_pick(counts, drops=True),
                members=self._members,
            ),
        )

    async def _collect_silence(self, reply: Reply) -> None:
        asked = []
        for address in self._addresses.values():
            suspicions = Reply()
            address.tell(GetSuspicions(reply=suspicions))
            asked.append(suspicions.wait())
        answers = await asyncio.gather(*asked)
        reply.put(
            Silence(
                members=self._members,
                suspicions=tuple(chain.from_iterable(answers)),
            ),
        )


def _group_by_service(
    members: tuple[Member, ...],
) -> dict[int, list[Member]]:
    grouped: dict[int, list[Member]] = {}
    for member in members:
        if member.state != LEFT:
            grouped.setdefault(member.service, []).append(member)
    return grouped


def _pick(counts: tuple[Count, ...], *, drops: bool) -> tuple[Count, ...]:
    return tuple(
        count for count in counts if (count.name not in _NOT_DROPS) == drops
    )


def run(*, settings: SiteSettings, process: Process, keys: Keys) -> None:
    """Run a balancer until it is stopped."""
    run_process(
        settings=settings,
        process=process,
        keys=keys,
        assemble=_assemble,
    )


def _assemble(parts: Parts) -> Tasks:
    role = BalancerTask(parts=parts)
    return Tasks(role=role, helpers=_watchers(parts, role))


def _watchers(parts: Parts, role: BalancerTask) -> tuple[Actor, ...]:
    site = parts.settings.site
    if not is_watcher(site, parts.process):
        return ()
    reader = MemberReader(
        names=members_object_names(site),
        client=open_platform(site),
        subscriber=role,
    )
    remover = MemberRemover(
        client=open_platform(site),
        clock=parts.clock,
        holder=' '.join((parts.process.name, uuid.uuid4().hex)),
        subscriber=role,
    )
    sweep = SweepTask(
        balancer=role, remover=remover, site=site, clock=parts.clock
    )
    return (reader, remover, sweep)
