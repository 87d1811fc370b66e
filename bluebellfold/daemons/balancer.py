"""Run a balancer, with an address task for each kind of work."""

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
from bluebellfold.daemons.dead_member_sweep import (
    DeadMemberSweep,
    GetSuspicionReport,
    SuspicionReport,
)
from bluebellfold.daemons.process import (
    is_platform_watcher,
    open_platform_client,
    run_process,
)
from bluebellfold.daemons.process_context import ProcessContext, ProcessTasks
from bluebellfold.daemons.role import (
    DRAINING_STATE,
    RoleTask,
)
from bluebellfold.daemons.telemetry import BALANCER_ROLE
from bluebellfold.operators import (
    Drain,
    GetStatus,
    Keys,
    SiteSettings,
    StatusReport,
)
from bluebellfold.store import MemberReader, MemberRemover, members_object_names

# Return packets in flight still arrive after the agents stop using a
# draining balancer.
DRAIN_GRACE_SECONDS = 1.0
_NON_DROP_COUNTS = frozenset(('forwarded', 'answered'))


class BalancerTask(RoleTask):
    """Own the address tasks, and pass changes to them."""

    reactions = Registry(
        name='reactions of a balancer',
        base=RoleTask.reactions,
    )

    def __init__(self, *, context: ProcessContext) -> None:
        super().__init__(
            settings=context.settings,
            process=context.process,
            clock=context.clock,
        )
        self._keys = context.keys
        self._traces = context.traces
        self._addresses: dict[int, AddressTask] = {}
        self._last_updates: dict[int, AddressChanged] = {}

    async def open(self) -> None:
        """Start the address tasks."""
        self.update_settings(self._settings)

    def update_settings(self, settings: SiteSettings) -> None:
        """Start, update and stop addresses to match the settings."""
        kinds = {kind.number: kind for kind in settings.site.kinds}
        for number in tuple(self._addresses):
            last_update = self._last_updates[number]
            if (
                number not in kinds
                or kinds[number].port != last_update.kind.port
            ):
                self._stop_address(number)
        self.update_members(self._members)

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Pass to each address the members of its service."""
        site = self._settings.site
        numbers = {service.name: service.number for service in site.services}
        by_service = _group_by_service(members)
        departed = self._departed.endpoints
        for kind in site.kinds:
            service = numbers[kind.service]
            self._update_address(
                AddressChanged(
                    kind=kind,
                    service=service,
                    members=tuple(by_service.get(service, ())),
                    candidates=site.candidates,
                    departed=departed,
                ),
            )

    def update_keys(self, keys: Keys) -> None:
        """Pass the keys to each address."""
        self._keys = keys
        for address in self._addresses.values():
            address.tell(
                UpdateKeys(
                    token_keys=keys.token.valid,
                    envelope_keys=keys.envelope.valid,
                ),
            )

    @reactions.add(GetStatus)
    def _handle_get_status(self, message: GetStatus) -> None:
        self.spawn(self._send_status(message.reply), name='status')

    @reactions.add(GetSuspicionReport)
    def _handle_get_suspicion_report(self, message: GetSuspicionReport) -> None:
        self.spawn(self._send_suspicions(message.reply), name='silence')

    @reactions.add(Drain)
    def _drain(self, message: Drain) -> None:
        self.spawn(self._send_status(message.reply), name='drain-status')
        if self._state == DRAINING_STATE:
            return
        self._state = DRAINING_STATE
        for address in self._addresses.values():
            address.tell(AnnounceLeaving())
        grace = min(DRAIN_GRACE_SECONDS, message.deadline_seconds)
        asyncio.get_running_loop().call_later(grace, self._request_stop)

    def _update_address(self, change: AddressChanged) -> None:
        number = change.kind.number
        if self._last_updates.get(number) == change:
            return
        self._last_updates[number] = change
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
            self.spawn_required(address)
        else:
            # A failure of an address added later must not stop the others.
            self.spawn(address.run(), name=address.name)

    def _stop_address(self, number: int) -> None:
        self._last_updates.pop(number)
        address = self._addresses.pop(number)
        address.tell(AnnounceLeaving())
        address.tell(Stop())

    async def _send_status(self, reply: Reply) -> None:
        tally = Tally()
        for address in tuple(self._addresses.values()):
            counts_reply = Reply()
            address.tell(GetCounts(reply=counts_reply))
            for count in await counts_reply.wait():
                tally.add(count.name, count.times)
        counts = tally.counts()
        reply.put(
            StatusReport(
                name=self._process.name,
                role=BALANCER_ROLE,
                zone=self._process.zone,
                state=self._state,
                version=self._version,
                requests=_select_counts(counts, drops=False),
                drops=_select_counts(counts, drops=True),
                members=self._members,
            ),
        )

    async def _send_suspicions(self, reply: Reply) -> None:
        pending = []
        for address in self._addresses.values():
            suspicions = Reply()
            address.tell(GetSuspicions(reply=suspicions))
            pending.append(suspicions.wait())
        replies = await asyncio.gather(*pending)
        reply.put(
            SuspicionReport(
                members=self._members,
                suspicions=tuple(chain.from_iterable(replies)),
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


def _select_counts(
    counts: tuple[Count, ...], *, drops: bool
) -> tuple[Count, ...]:
    return tuple(
        count
        for count in counts
        if (count.name not in _NON_DROP_COUNTS) == drops
    )


def run(*, settings: SiteSettings, process: Process, keys: Keys) -> None:
    """Run a balancer until it stops."""
    run_process(
        settings=settings,
        process=process,
        keys=keys,
        assemble=_assemble,
    )


def _assemble(context: ProcessContext) -> ProcessTasks:
    role = BalancerTask(context=context)
    return ProcessTasks(role=role, helpers=_platform_tasks(context, role))


def _platform_tasks(
    context: ProcessContext, role: BalancerTask
) -> tuple[Actor, ...]:
    site = context.settings.site
    if not is_platform_watcher(site, context.process):
        return ()
    reader = MemberReader(
        names=members_object_names(site),
        client=open_platform_client(site),
        subscriber=role,
    )
    remover = MemberRemover(
        client=open_platform_client(site),
        clock=context.clock,
        holder=' '.join((context.process.name, uuid.uuid4().hex)),
        subscriber=role,
    )
    sweep = DeadMemberSweep(
        balancer=role, remover=remover, site=site, clock=context.clock
    )
    return (reader, remover, sweep)
