"""Run the requests of one upstream: admission, exchanges and retries."""

import asyncio
import math

from bluebellfold.core import (
    Actor,
    Clock,
    Endpoint,
    Kind,
    Message,
    Registry,
    Service,
    Tally,
)
from bluebellfold.upstreams.admission import (
    Admission,
    Admitted,
    QueueChanges,
    Refused,
)
from bluebellfold.upstreams.exchange import ConnectionReturned, ExchangeTask
from bluebellfold.upstreams.idle_connections import IdleConnections
from bluebellfold.upstreams.messages import (
    BodyPartSent,
    Cancel,
    RequestKey,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    WindowUpdate,
)
from bluebellfold.upstreams.open_request import OpenRequest
from bluebellfold.upstreams.outcomes import (
    SHED,
    WITHDRAWN,
    Answered,
    NotRun,
    Outcome,
    outcome_name,
)
from bluebellfold.upstreams.request_messages import (
    BodyBytesSent,
    CancelRequest,
    DrainRequests,
    GetRequestCounts,
    RequestCounts,
    ResponseForwarded,
    SetObserver,
    Submit,
    SubmitBody,
    UpdateService,
    UpstreamShed,
    UsageChanged,
)
from bluebellfold.upstreams.retries import RetryBudget

_SHED_OUTCOME = NotRun(reason=SHED)


class RequestsTask(Actor):
    """Own the admission to one upstream and the exchanges with it."""

    reactions = Registry(name='reactions of the requests task')

    def __init__(
        self,
        *,
        service: Service,
        kinds: tuple[Kind, ...],
        upstream: Endpoint,
        clock: Clock,
    ) -> None:
        super().__init__(name='requests')
        self._upstream = upstream
        self._clock = clock
        self._observer: Actor | None = None
        self._admission = Admission(
            service=service,
            kinds=kinds,
            now=clock.now(),
            slot_discipline=service.discipline,
        )
        self._kinds = _kinds_by_name(kinds)
        self._open_requests: dict[RequestKey, OpenRequest] = {}
        self._idle_connections = IdleConnections()
        self._retry_budget = RetryBudget()
        self._tally = Tally()
        self._expiry_timer: asyncio.TimerHandle | None = None

    async def close(self) -> None:
        """Close all connections to the upstream."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._idle_connections.close()
        await super().close()

    @reactions.add(SetObserver)
    def _set_observer(self, message: SetObserver) -> None:
        self._observer = message.observer

    @reactions.add(Submit)
    def _submit(self, message: Submit) -> None:
        # A flow keeps the settings of its kind from the start of the flow, so
        # the current settings are looked up here.
        submitted = message.request
        kind = self._kinds.get(submitted.kind.name, submitted.kind)
        request = submitted.replace(kind=kind)
        open_request = OpenRequest(request=request, owner=message.owner)
        self._open_requests[request.key] = open_request
        decision = self._admission.admit(request, self._clock.now())
        if isinstance(decision, Refused):
            self._end_request(request.key, NotRun(reason=decision.reason))
        elif isinstance(decision, Admitted):
            self._start_attempt(open_request)
        self._schedule_expiry()

    @reactions.add(SubmitBody)
    def _add_body_part(self, message: SubmitBody) -> None:
        open_request = self._open_requests.get(message.key)
        if open_request is None:
            return
        open_request.body.add(message.part)
        open_request.send_parts()

    @reactions.add(CancelRequest)
    def _cancel_request(self, message: CancelRequest) -> None:
        open_request = self._open_requests.get(message.key)
        if open_request is None:
            return
        open_request.cancelled = True
        if open_request.exchange is not None:
            open_request.exchange.tell(Cancel())
            return
        changes = self._admission.release(message.key, self._clock.now())
        self._end_request(message.key, NotRun(reason=WITHDRAWN))
        self._apply(changes)

    @reactions.add(ResponseForwarded)
    def _extend_window(self, message: ResponseForwarded) -> None:
        open_request = self._open_requests.get(message.key)
        if open_request is not None and open_request.exchange is not None:
            open_request.exchange.tell(WindowUpdate(parts=message.parts))

    @reactions.add(DrainRequests)
    def _drain(self, _message: DrainRequests) -> None:
        self._apply(self._admission.drain(self._clock.now()))

    @reactions.add(UpdateService)
    def _update_service(self, message: UpdateService) -> None:
        self._kinds = _kinds_by_name(message.kinds)
        self._apply(
            self._admission.reconfigure(
                message.service,
                message.kinds,
                self._clock.now(),
            ),
        )

    @reactions.add(GetRequestCounts)
    def _report_counts(self, message: GetRequestCounts) -> None:
        waiting = sum(
            open_request.exchange is None
            for open_request in self._open_requests.values()
        )
        message.reply.put(
            RequestCounts(
                slots=self._admission.slots_in_use,
                connections=self._admission.connections_in_use,
                waiting=waiting,
                counts=self._tally.counts(),
            ),
        )

    @reactions.add(BodyPartSent)
    def _record_part_sent(self, message: BodyPartSent) -> None:
        open_request = self._open_requests.get(message.key)
        if open_request is None:
            return
        size_bytes = open_request.body.acknowledge_part()
        open_request.send_parts()
        open_request.owner.tell(
            BodyBytesSent(key=message.key, size_bytes=size_bytes),
        )

    @reactions.add(ResponseHead)
    def _forward_head(self, message: ResponseHead) -> None:
        open_request = self._open_requests[message.key]
        open_request.response_started = True
        open_request.owner.tell(message)

    @reactions.add(ResponseBody)
    def _forward_body(self, message: ResponseBody) -> None:
        self._open_requests[message.key].owner.tell(message)

    @reactions.add(ConnectionReturned)
    def _keep_connection(self, message: ConnectionReturned) -> None:
        self._idle_connections.keep(message.connection, self._clock.now())

    @reactions.add(ResponseEnd)
    def _handle_end(self, message: ResponseEnd) -> None:
        open_request = self._open_requests[message.key]
        now = self._clock.now()
        attempt = open_request.attempt(message.outcome)
        if message.outcome == _SHED_OUTCOME:
            self._notify_observer(UpstreamShed())
        if isinstance(message.outcome, Answered):
            self._retry_budget.record_success()
        elif (
            self._retry_budget.may_retry(attempt, now)
            and open_request.body.rewind()
        ):
            self._tally.add('retried')
            open_request.earlier_outcomes.append(message.outcome)
            self._start_attempt(open_request)
            return
        changes = self._admission.release(message.key, now)
        self._end_request(
            message.key, open_request.final_outcome(message.outcome)
        )
        self._apply(changes)

    def _start_attempt(self, open_request: OpenRequest) -> None:
        request = open_request.request
        open_request.attempt_count += 1
        open_request.exchange = ExchangeTask(
            request=request,
            owner=self,
            endpoint=self._upstream,
            clock=self._clock,
            idle_connection=self._idle_connections.acquire(
                request.kind, self._clock.now()
            ),
        )
        self.spawn(open_request.exchange.run(), name=f'exchange-{request.key}')
        open_request.send_parts()
        self._report_usage()

    def _end_request(self, key: RequestKey, outcome: Outcome) -> None:
        open_request = self._open_requests.pop(key)
        kind = open_request.request.kind.name
        self._tally.add(f'{kind}.{outcome_name(outcome)}')
        open_request.owner.tell(ResponseEnd(key=key, outcome=outcome))
        self._report_usage()

    def _apply(self, changes: QueueChanges) -> None:
        for refused in changes.refused:
            self._end_request(
                refused.request.key, NotRun(reason=refused.reason)
            )
        for request in changes.started:
            self._start_attempt(self._open_requests[request.key])
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        expires_at = self._admission.next_expiry
        if expires_at == math.inf:
            return
        delay = max(0, expires_at - self._clock.now())
        self._expiry_timer = asyncio.get_running_loop().call_later(
            delay,
            self._expire,
        )

    def _expire(self) -> None:
        self._expiry_timer = None
        self._apply(self._admission.expire(self._clock.now()))

    def _report_usage(self) -> None:
        self._notify_observer(
            UsageChanged(
                slots=self._admission.slots_in_use,
                connections=self._admission.connections_in_use,
            ),
        )

    def _notify_observer(self, message: Message) -> None:
        if self._observer is not None:
            self._observer.tell(message)


def _kinds_by_name(kinds: tuple[Kind, ...]) -> dict[str, Kind]:
    return {kind.name: kind for kind in kinds}
