"""Send the requests and hold the streams of one load worker."""

import asyncio
import random

from bluebellfold.callers.load.arrivals import Arrival
from bluebellfold.callers.load.flow import (
    ClientRequest,
    FlowEndedError,
    LoadFlow,
    ResponseHeaders,
)
from bluebellfold.callers.load.messages import (
    ANSWERED,
    BROKEN,
    HoldStream,
    RequestEnded,
    SendRequest,
    StreamBroken,
    StreamOpened,
)
from bluebellfold.callers.load.plan import KindLoad, LoadPlan
from bluebellfold.callers.load.pool import FlowPool, PooledFlow
from bluebellfold.core import Actor, Clock, Registry

OUTCOME_FIELD = 'bluebellfold-outcome'
REASON_FIELD = 'bluebellfold-reason'
DRAINING_REASON = 'draining'
STATUS_FIELD = ':status'
# Each retry uses a new flow, after a draining agent has refused the request.
MAX_DRAIN_RETRIES = 3


class WorkerTask(Actor):
    """Own flows and their sockets, and report outcomes to the owner.

    ``started_at`` is the clock time of the start of the run, in seconds.
    """

    reactions = Registry(name='reactions of a load worker')

    def __init__(
        self,
        *,
        plan: LoadPlan,
        number: int,
        owner: Actor,
        clock: Clock,
        started_at: float,
    ) -> None:
        super().__init__(name=f'load-worker-{number}')
        self._owner = owner
        self._clock = clock
        self._started_at = started_at
        self._upstream_field = plan.upstream_field
        self._id_prefix = '-'.join(('load', str(plan.seed)))
        self._rng = random.Random(plan.seed + number)
        self._pools = {
            kind.name: FlowPool(
                kind=kind,
                size=max(1, kind.flows // plan.workers),
                rng=self._rng,
            )
            for kind in plan.kinds
        }

    async def close(self) -> None:
        """Cancel the requests in flight, and close all flows."""
        await super().close()
        for pool in self._pools.values():
            pool.close()

    @reactions.add(SendRequest)
    def _start_request(self, message: SendRequest) -> None:
        self.spawn(
            self._run_request(message.arrival),
            name='request',
        )

    @reactions.add(HoldStream)
    def _start_stream(self, message: HoldStream) -> None:
        self.spawn(self._run_stream(message.kind), name='stream')

    async def _run_request(self, arrival: Arrival) -> None:
        kind = arrival.kind
        request = ClientRequest(
            method=kind.method,
            path=kind.path_with_work,
            request_id=self._request_id(arrival),
            body=self._rng.randbytes(kind.body_bytes),
        )
        sent_at = self._elapsed_seconds()
        try:
            async with asyncio.timeout(kind.timeout_seconds):
                headers = await self._send_with_retries(
                    self._pools[kind.name].next_flow(), request
                )
        except (FlowEndedError, TimeoutError) as error:
            self._report_outcome(
                arrival, sent_at, BROKEN, type(error).__name__, ''
            )
            return
        self._report_outcome(
            arrival,
            sent_at,
            headers.get(OUTCOME_FIELD) or ANSWERED,
            headers.get(REASON_FIELD) or headers.get(STATUS_FIELD),
            headers.get(self._upstream_field),
        )

    async def _send_with_retries(
        self,
        pooled_flow: PooledFlow,
        request: ClientRequest,
    ) -> ResponseHeaders:
        flow = await pooled_flow.ensure_connected()
        headers = await _fetch_response(flow, request)
        retries = 0
        while _is_draining(headers) and retries < MAX_DRAIN_RETRIES:
            retries += 1
            pooled_flow.discard(flow)
            flow = await pooled_flow.ensure_connected()
            headers = await _fetch_response(flow, request)
        return headers

    async def _run_stream(self, kind: KindLoad) -> None:
        flow = LoadFlow(balancers=kind.balancers, rng=self._rng)
        request = ClientRequest(
            method='GET',
            path=kind.path,
            request_id='-'.join((self._id_prefix, kind.name, 'stream')),
        )
        reason = 'it ended'
        try:
            await self._receive_stream(kind, flow, request)
        except FlowEndedError as error:
            reason = error.problem
        finally:
            flow.close()
        self._owner.tell(StreamBroken(kind=kind.name, reason=reason))

    async def _receive_stream(
        self,
        kind: KindLoad,
        flow: LoadFlow,
        request: ClientRequest,
    ) -> None:
        await flow.connect()
        response = flow.send_request(request)
        headers = await response.headers()
        upstream = headers.get(self._upstream_field)
        self._owner.tell(StreamOpened(kind=kind.name, upstream=upstream))
        await response.wait_until_complete()

    def _report_outcome(
        self,
        arrival: Arrival,
        sent_at: float,
        outcome: str,
        reason: str,
        upstream: str,
    ) -> None:
        self._owner.tell(
            RequestEnded(
                kind=arrival.kind.name,
                request_id=self._request_id(arrival),
                sent_at=sent_at,
                lag_seconds=sent_at - arrival.due_at,
                seconds=self._elapsed_seconds() - sent_at,
                outcome=outcome,
                reason=reason,
                upstream=upstream,
            ),
        )

    def _request_id(self, arrival: Arrival) -> str:
        number = str(arrival.number)
        return '-'.join((self._id_prefix, arrival.kind.name, number))

    def _elapsed_seconds(self) -> float:
        return self._clock.now() - self._started_at


def _is_draining(headers: ResponseHeaders) -> bool:
    return headers.get(REASON_FIELD) == DRAINING_REASON


async def _fetch_response(
    flow: LoadFlow, request: ClientRequest
) -> ResponseHeaders:
    response = flow.send_request(request)
    headers = await response.headers()
    await response.wait_until_complete()
    return headers
