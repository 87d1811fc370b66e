"""Send the requests and hold the streams of a part of the load."""

import asyncio
import random

from bluebellfold.callers.load.arrivals import Arrival
from bluebellfold.callers.load.flow import (
    AnswerFields,
    CallerRequest,
    FlowEndedError,
    LoadFlow,
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
from bluebellfold.callers.load.pool import FlowPlace, FlowPool
from bluebellfold.core import Actor, Clock, Registry

OUTCOME_FIELD = 'bluebellfold-outcome'
REASON_FIELD = 'bluebellfold-reason'
DRAINING_REASON = 'draining'
STATUS_FIELD = ':status'
# A refusal by a leaving agent is followed to another one this often.
DRAINS_FOLLOWED = 3


class WorkerTask(Actor):
    """Own flows and their sockets, and tell the owner what happens.

    ``started_at`` is the run's start by the clock, in seconds.
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
        self._chooser = random.Random(plan.seed + number)
        self._pools = {
            kind.name: FlowPool(
                kind=kind,
                size=max(1, kind.flows // plan.workers),
                chooser=self._chooser,
            )
            for kind in plan.kinds
        }

    async def close(self) -> None:
        """End what is under way, and close all flows."""
        await super().close()
        for pool in self._pools.values():
            pool.close()

    @reactions.add(SendRequest)
    def _send(self, message: SendRequest) -> None:
        self.spawn(
            self._request(message.arrival),
            name='request',
        )

    @reactions.add(HoldStream)
    def _hold(self, message: HoldStream) -> None:
        self.spawn(self._stream(message.kind), name='stream')

    async def _request(self, arrival: Arrival) -> None:
        kind = arrival.kind
        asked = CallerRequest(
            method=kind.method,
            path=kind.path_of_work,
            request_id=self._id_of(arrival),
            body=self._chooser.randbytes(kind.body_bytes),
        )
        sent_at = self._now()
        try:
            async with asyncio.timeout(kind.timeout_seconds):
                head = await self._ask(self._pools[kind.name].turn(), asked)
        except (FlowEndedError, TimeoutError) as error:
            self._tell_end(arrival, sent_at, BROKEN, type(error).__name__, '')
            return
        self._tell_end(
            arrival,
            sent_at,
            head.text_of(OUTCOME_FIELD) or ANSWERED,
            head.text_of(REASON_FIELD) or head.text_of(STATUS_FIELD),
            head.text_of(self._upstream_field),
        )

    async def _ask(
        self,
        place: FlowPlace,
        asked: CallerRequest,
    ) -> AnswerFields:
        flow = await place.take()
        head = await _whole_answer(flow, asked)
        followed = 0
        while _is_draining(head) and followed < DRAINS_FOLLOWED:
            followed += 1
            place.leave(flow)
            flow = await place.take()
            head = await _whole_answer(flow, asked)
        return head

    async def _stream(self, kind: KindLoad) -> None:
        flow = LoadFlow(balancers=kind.balancers, chooser=self._chooser)
        asked = CallerRequest(
            method='GET',
            path=kind.path,
            request_id='-'.join((self._id_prefix, kind.name, 'stream')),
        )
        reason = 'it ended'
        try:
            await self._follow(kind, flow, asked)
        except FlowEndedError as error:
            reason = error.problem
        finally:
            flow.close()
        self._owner.tell(StreamBroken(kind=kind.name, reason=reason))

    async def _follow(
        self,
        kind: KindLoad,
        flow: LoadFlow,
        asked: CallerRequest,
    ) -> None:
        await flow.connect()
        answer = flow.ask(asked)
        head = await answer.head()
        upstream = head.text_of(self._upstream_field)
        self._owner.tell(StreamOpened(kind=kind.name, upstream=upstream))
        await answer.end()

    def _tell_end(
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
                request_id=self._id_of(arrival),
                sent_at=sent_at,
                lag_seconds=sent_at - arrival.due_at,
                seconds=self._now() - sent_at,
                outcome=outcome,
                reason=reason,
                upstream=upstream,
            ),
        )

    def _id_of(self, arrival: Arrival) -> str:
        number = str(arrival.number)
        return '-'.join((self._id_prefix, arrival.kind.name, number))

    def _now(self) -> float:
        return self._clock.now() - self._started_at


def _is_draining(head: AnswerFields) -> bool:
    return head.text_of(REASON_FIELD) == DRAINING_REASON


async def _whole_answer(flow: LoadFlow, asked: CallerRequest) -> AnswerFields:
    answer = flow.ask(asked)
    head = await answer.head()
    await answer.end()
    return head
