"""Run an agent, which serves the flows and requests of one upstream."""

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
from bluebellfold.collectors import log_event
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
from bluebellfold.daemons.agent_member import initial_member
from bluebellfold.daemons.process import open_platform_client, run_process
from bluebellfold.daemons.process_context import ProcessContext, ProcessTasks
from bluebellfold.daemons.role import (
    DRAINING_STATE,
    AttachTasks,
    RoleTask,
)
from bluebellfold.daemons.telemetry import AGENT_ROLE
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

# Time after the drain deadline for the flows task to reply, and then for the
# announcement that the agent has left.
LEAVE_TIMEOUT_SECONDS = 1.5

_log = logging.getLogger(__name__)


class AgentTask(RoleTask):
    """Own the tasks of an agent and its member row."""

    reactions = Registry(name='reactions of an agent', base=RoleTask.reactions)

    def __init__(
        self, *, context: ProcessContext, publisher: MemberPublisher
    ) -> None:
        settings = context.settings
        process = context.process
        keys = context.keys
        clock = context.clock
        super().__init__(settings=settings, process=process, clock=clock)
        self._publisher = publisher
        self._member = initial_member(process, self._service)
        self._running: tuple[asyncio.Task[None], ...] = ()
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
            service=self._service_update(),
            requests=self._requests,
            traces=context.traces,
            clock=clock,
        )
        probe = ProbeTask(
            upstream=process.upstream,
            observer=self._flows,
            clock=clock,
        )
        self._tasks = (self._flows, self._requests, probe)

    async def open(self) -> None:
        """Start the tasks for flows, requests and health checks."""
        self._requests.tell(SetObserver(observer=self._flows))
        self._running = tuple(self.spawn_required(task) for task in self._tasks)

    async def close(self) -> None:
        """Stop the tasks of the agent."""
        for task in self._tasks:
            task.tell(Stop())
        # A pending status report may wait for a task that has ended.
        await asyncio.gather(*self._running, return_exceptions=True)
        await super().close()

    def update_settings(self, settings: SiteSettings) -> None:
        """Pass the service and its kinds of work to the tasks."""
        self._flows.tell(self._service_update())
        self._requests.tell(
            UpdateService(
                service=self._service,
                kinds=settings.site.kinds_of(self._process.service),
            ),
        )

    def update_keys(self, keys: Keys) -> None:
        """Pass the keys and the certificate to the flows task."""
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

    def update_weight(self, weight: float) -> None:
        """Announce the upstream's capacity if it changed."""
        if weight != self._member.weight:
            self._member = self._member.replace(weight=weight)
            self._announce(self._member.state, Reply())

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Pass the service's members to the flows task."""
        self._flows.tell(self._service_update())
        for member in members:
            if member.name == self.name:
                self._republish(member)

    @reactions.add(AttachTasks)
    def _attach_and_announce(self, message: AttachTasks) -> None:
        RoleTask.reactions.find(AttachTasks)(self, message)
        self._exchange.tell(Announce(member=self._member))
        self._publisher.tell(PublishMember(member=self._member))

    @reactions.add(GetStatus)
    def _handle_get_status(self, message: GetStatus) -> None:
        self.spawn(self._send_status(message.reply), name='status')

    @reactions.add(Drain)
    def _drain(self, message: Drain) -> None:
        self.spawn(self._send_status(message.reply), name='drain-status')
        if self._state == DRAINING_STATE:
            return
        self._state = DRAINING_STATE
        self._announce(DRAINING, Reply())
        self.spawn(
            self._drain_and_leave(message.deadline_seconds), name='leave'
        )

    @property
    def _service(self) -> Service:
        return self._settings.site.service_named(self._process.service)

    async def _drain_and_leave(self, deadline_seconds: float) -> None:
        drained = Reply()
        self._requests.tell(DrainRequests())
        self._flows.tell(
            DrainFlows(deadline_seconds=deadline_seconds, reply=drained),
        )
        remaining: FlowCounts = await drained.wait(
            timeout=deadline_seconds + LEAVE_TIMEOUT_SECONDS,
        )
        log_event(
            _log,
            'BBF0005',
            flows_left_open=remaining.flows,
            requests_left_open=remaining.requests,
        )
        announced = Reply()
        self._announce(LEFT, announced)
        try:
            await announced.wait(timeout=LEAVE_TIMEOUT_SECONDS)
        finally:
            self._request_stop()

    def _announce(self, state: str, reply: Reply) -> None:
        self._member = self._member.replace(
            state=state,
            sequence=self._member.sequence + 1,
        )
        self._exchange.tell(Announce(member=self._member, reply=reply))
        self._publisher.tell(PublishMember(member=self._member))

    def _republish(self, member: Member) -> None:
        # If another process presumed this agent dead, the exchange issues a
        # newer row for it, which must reach the platform too.
        if member.version <= self._member.version:
            return
        self._member = member
        self._publisher.tell(PublishMember(member=member))

    def _service_update(self) -> ServiceChanged:
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

    async def _send_status(self, reply: Reply) -> None:
        flows_reply = Reply()
        requests_reply = Reply()
        self._flows.tell(GetFlowCounts(reply=flows_reply))
        self._requests.tell(GetRequestCounts(reply=requests_reply))
        flows: FlowCounts = await flows_reply.wait()
        requests: RequestCounts = await requests_reply.wait()
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
                drops=_exclude_flow_counts(flows.counts),
                slots=requests.slots / service.slots,
                connections=requests.connections / service.connections,
                members=self._members,
            ),
        )


def _exclude_flow_counts(counts: tuple[Count, ...]) -> tuple[Count, ...]:
    return tuple(
        count for count in counts if not count.name.startswith('flows-')
    )


def run(*, settings: SiteSettings, process: Process, keys: Keys) -> None:
    """Run an agent until it stops."""
    run_process(
        settings=settings,
        process=process,
        keys=keys,
        assemble=_assemble,
    )


def _assemble(context: ProcessContext) -> ProcessTasks:
    members = MemberPublisher(
        service=context.process.service,
        zone=context.process.zone,
        client=open_platform_client(context.settings.site),
    )
    role = AgentTask(context=context, publisher=members)
    return ProcessTasks(role=role, helpers=(members,))
