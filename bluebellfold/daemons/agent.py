"""Run an agent: the flows and requests of one upstream."""

import asyncio
import logging

from bluebellfold.agents import FlowAssigner
from bluebellfold.balancers import Announce
from bluebellfold.callers import UpdateKeys
from bluebellfold.callers.quic import (
    CertificateChanged,
    DrainFlows,
    EnvelopeSocket,
    FlowCounts,
    FlowOpener,
    FlowsTask,
    GetFlowCounts,
    ServiceChanged,
    load_quic_configuration,
)
from bluebellfold.collectors import note
from bluebellfold.core import (
    DRAINING,
    LEFT,
    Count,
    Member,
    Process,
    Registry,
    Reply,
    Service,
    Stop,
)
from bluebellfold.daemons.agent_row import first_row
from bluebellfold.daemons.collecting import AGENT_ROLE
from bluebellfold.daemons.parts import Parts, Tasks
from bluebellfold.daemons.process import open_platform, run_process
from bluebellfold.daemons.role import (
    DRAINING_STATE,
    RoleTask,
    Wire,
)
from bluebellfold.operators import (
    Drain,
    GetStatus,
    Keys,
    SiteSettings,
    StatusReport,
)
from bluebellfold.store import MemberPublisher, PublishMember
from bluebellfold.upstreams import (
    DrainRequests,
    GetRequestCounts,
    ProbeTask,
    RequestCounts,
    RequestsTask,
    SetObserver,
    UpdateService,
)

LEAVE_SECONDS = 1.5

_log = logging.getLogger(__name__)


class AgentTask(RoleTask):
    """Own the tasks of one upstream, and the agent's row as a member."""

    reactions = Registry(name='reactions of an agent', base=RoleTask.reactions)

    def __init__(self, *, parts: Parts, publisher: MemberPublisher) -> None:
        settings = parts.settings
        process = parts.process
        keys = parts.keys
        clock = parts.clock
        super().__init__(settings=settings, process=process, clock=clock)
        self._publisher = publisher
        self._member = first_row(process, self._service)
        self._work: tuple[asyncio.Task[None], ...] = ()
        self._requests = RequestsTask(
            service=self._service,
            kinds=settings.site.kinds_of(process.service),
            upstream=process.upstream,
            clock=clock,
        )
        self._flows = FlowsTask(
            envelopes=EnvelopeSocket(
                endpoint=self._member.endpoint,
                keys=keys.envelope.valid,
            ),
            opener=FlowOpener(
                endpoint=self._member.endpoint,
                quic=load_quic_configuration(*process.tls_files),
                token_keys=keys.token.valid,
            ),
            assigner=FlowAssigner(
                member=self._member,
                service=self._service,
                cold_at=clock.now(),
            ),
            service=self._describe_service(),
            requests=self._requests,
            traces=parts.traces,
            clock=clock,
        )
        probe = ProbeTask(
            upstream=process.upstream,
            observer=self._flows,
            clock=clock,
        )
        self._tasks = (self._flows, self._requests, probe)

    async def open(self) -> None:
        """Start the tasks of the flows and the requests."""
        self._requests.tell(SetObserver(observer=self._flows))
        self._work = tuple(self.spawn_needed(task) for task in self._tasks)

    async def close(self) -> None:
        """Let the tasks end what they own."""
        for task in self._tasks:
            task.tell(Stop())
        # A status under way may wait for a task that has ended.
        await asyncio.gather(*self._work, return_exceptions=True)
        await super().close()

    def adopt(self, settings: SiteSettings) -> None:
        """Tell the tasks the service and its kinds of work."""
        self._flows.tell(self._describe_service())
        self._requests.tell(
            UpdateService(
                service=self._service,
                kinds=settings.site.kinds_of(self._process.service),
            ),
        )

    def adopt_keys(self, keys: Keys) -> None:
        """Tell the flows task the keys and the certificate."""
        self._flows.tell(
            UpdateKeys(
                token_keys=keys.token.valid,
                envelope_keys=keys.envelope.valid,
            ),
        )
        self._flows.tell(
            CertificateChanged(
                quic=load_quic_configuration(*self._process.tls_files)
            ),
        )

    def adopt_weight(self, weight: float) -> None:
        """Announce the upstream's capacity, if it is another one."""
        if weight != self._member.weight:
            self._member = self._member.replace(weight=weight)
            self._announce(self._member.state, Reply())

    def adopt_members(self, members: tuple[Member, ...]) -> None:
        """Tell the flows task who else serves, and keep the own row."""
        self._flows.tell(self._describe_service())
        for member in members:
            if member.name == self.name:
                self._republish(member)

    @reactions.add(Wire)
    def _wire_and_announce(self, message: Wire) -> None:
        RoleTask.reactions.find(Wire)(self, message)
        self._exchange.tell(Announce(member=self._member))
        self._publisher.tell(PublishMember(member=self._member))

    @reactions.add(GetStatus)
    def _answer_status(self, message: GetStatus) -> None:
        self.spawn(self._report(message.reply), name='status')

    @reactions.add(Drain)
    def _drain(self, message: Drain) -> None:
        self.spawn(self._report(message.reply), name='drain-status')
        if self._state == DRAINING_STATE:
            return
        self._state = DRAINING_STATE
        self._announce(DRAINING, Reply())
        self.spawn(self._leave(message.deadline_seconds), name='leave')

    @property
    def _service(self) -> Service:
        return self._settings.site.service_named(self._process.service)

    async def _leave(self, deadline_seconds: float) -> None:
        drained = Reply()
        self._requests.tell(DrainRequests())
        self._flows.tell(
            DrainFlows(deadline_seconds=deadline_seconds, reply=drained),
        )
        left: FlowCounts = await drained.wait(
            timeout=deadline_seconds + LEAVE_SECONDS,
        )
        note(
            _log,
            'BBF0005',
            flows_left_open=left.flows,
            requests_left_open=left.requests,
        )
        announced = Reply()
        self._announce(LEFT, announced)
        try:
            await announced.wait(timeout=LEAVE_SECONDS)
        finally:
            self._end_soon()

    def _announce(self, state: str, reply: Reply) -> None:
        self._member = self._member.replace(
            state=state,
            sequence=self._member.sequence + 1,
        )
        self._exchange.tell(Announce(member=self._member, reply=reply))
        self._publisher.tell(PublishMember(member=self._member))

    def _republish(self, own: Member) -> None:
        # The exchange puts a newer row in force where another process had
        # declared this agent gone; the platform has to learn it as well.
        if own.version <= self._member.version:
            return
        self._member = own
        self._publisher.tell(PublishMember(member=own))

    def _describe_service(self) -> ServiceChanged:
        service = self._service
        return ServiceChanged(
            service=service,
            kinds=self._settings.site.kinds_of(service.name),
            members=tuple(
                member
                for member in self._members
                if member.service == service.number
            ),
        )

    async def _report(self, reply: Reply) -> None:
        asked_flows = Reply()
        asked_requests = Reply()
        self._flows.tell(GetFlowCounts(reply=asked_flows))
        self._requests.tell(GetRequestCounts(reply=asked_requests))
        flows: FlowCounts = await asked_flows.wait()
        requests: RequestCounts = await asked_requests.wait()
        service = self._service
        reply.put(
            StatusReport(
                name=self._process.name,
                role=AGENT_ROLE,
                zone=self._process.zone,
                state=self._state,
                version=self._version,
                service=service.name,
                flows=flows.flows,
                requests=requests.counts,
                drops=_without_flows(flows.counts),
                slots=requests.slots / service.slots,
                connections=requests.connections / service.connections,
                members=self._members,
            ),
        )


def _without_flows(counts: tuple[Count, ...]) -> tuple[Count, ...]:
    return tuple(
        count for count in counts if not count.name.startswith('flows-')
    )


def run(*, settings: SiteSettings, process: Process, keys: Keys) -> None:
    """Run an agent until it is stopped."""
    run_process(
        settings=settings,
        process=process,
        keys=keys,
        assemble=_assemble,
    )


def _assemble(parts: Parts) -> Tasks:
    members = MemberPublisher(
        service=parts.process.service,
        zone=parts.process.zone,
        client=open_platform(parts.settings.site),
    )
    role = AgentTask(parts=parts, publisher=members)
    return Tasks(role=role, helpers=(members,))
