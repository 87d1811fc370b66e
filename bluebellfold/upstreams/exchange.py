"""Send one request to the upstream and receive its response."""

import asyncio
import logging

import h11

from bluebellfold.core import (
    Actor,
    Clock,
    Endpoint,
    InboxFullError,
    Message,
    Registry,
    Stop,
    read_only,
)
from bluebellfold.core.http import HttpConnection
from bluebellfold.upstreams import codec, endings, outcomes
from bluebellfold.upstreams.deadlines import RequestDeadline
from bluebellfold.upstreams.messages import (
    BodyPart,
    BodyPartSent,
    Cancel,
    Request,
    RequestKey,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    WindowUpdate,
)
from bluebellfold.upstreams.upstream_call import UpstreamCall

# Flow-control windows: the maximum number of body parts for which BodyPartSent
# is pending, and of response parts for which WindowUpdate is pending.
BODY_PARTS_WINDOW = 16
RESPONSE_PARTS_WINDOW = 8
# Space for body parts, for WindowUpdates, and for a Cancel and a Stop.
EXCHANGE_INBOX_MESSAGES = 2 * BODY_PARTS_WINDOW + RESPONSE_PARTS_WINDOW
FULL_INBOX_RETRY_SECONDS = 0.05

_log = logging.getLogger(__name__)


class ConnectionReturned(Message):
    """Return a reusable connection to the owner."""

    __slots__ = ('_connection', '_key')

    connection: HttpConnection = read_only('_connection')
    key: RequestKey = read_only('_key')

    def __init__(
        self,
        *,
        key: RequestKey,
        connection: HttpConnection,
    ) -> None:
        self._key = key
        self._connection = connection


class ExchangeTask(Actor):
    """Own the connection of one request and report its progress.

    The owner starts ``run`` and sends the body as BodyPart messages. It
    receives at most one ResponseHead, then ResponseBody messages, then
    ConnectionReturned if the connection is reusable, and always one
    ResponseEnd.
    """

    reactions = Registry(name='reactions of the exchange task')

    def __init__(
        self,
        *,
        request: Request,
        owner: Actor,
        endpoint: Endpoint,
        clock: Clock,
        idle_connection: HttpConnection | None = None,
    ) -> None:
        super().__init__(
            name=f'exchange {request.key}',
            inbox_messages=EXCHANGE_INBOX_MESSAGES,
        )
        self._request = request
        self._owner = owner
        self._clock = clock
        self._call = UpstreamCall(
            request=request,
            endpoint=endpoint,
            idle_connection=idle_connection,
        )
        self._deadline = RequestDeadline(request=request)
        self._body_parts: asyncio.Queue[BodyPart] = asyncio.Queue(
            BODY_PARTS_WINDOW
        )
        self._response_window = asyncio.Semaphore(RESPONSE_PARTS_WINDOW)
        self._exchange_task: asyncio.Task[None] | None = None
        self._send_task: asyncio.Task[None] | None = None
        self._ending: endings.Ending | None = None
        self._ended = False

    async def open(self) -> None:
        """Start the exchange and its deadline timer."""
        self._exchange_task = self.spawn(self._exchange(), name='work')
        self.spawn(self._watch_deadline(), name='deadline')
        # A task that is cancelled before its first step could not report the
        # end of the exchange.
        await asyncio.sleep(0)

    async def close(self) -> None:
        """Stop the child tasks; close the connection unless returned."""
        await super().close()
        self._call.abort()

    @reactions.add(BodyPart)
    def _enqueue_part(self, message: BodyPart) -> None:
        if self._body_parts.full():
            self._interrupt(endings.BODY_WINDOW_EXCEEDED)
            return
        self._body_parts.put_nowait(message)

    @reactions.add(WindowUpdate)
    def _extend_window(self, message: WindowUpdate) -> None:
        for _ in range(message.parts):
            self._response_window.release()

    @reactions.add(Cancel)
    def _cancel(self, message: Cancel) -> None:
        self._interrupt(endings.CLIENT_CANCELLED)

    def _interrupt(self, ending: endings.Ending) -> None:
        if self._ended or self._ending is not None:
            return
        self._ending = ending
        self._exchange_task.cancel()

    async def _exchange(self) -> None:
        try:
            outcome = await self._perform()
        except asyncio.CancelledError:
            if self._ending is None:
                raise
            outcome = self._early_outcome(self._ending)
        except Exception as error:
            outcome = self._early_outcome(endings.ending_of(error))
        await self._finish(outcome)

    async def _perform(self) -> outcomes.Outcome:
        first_part = await self._body_parts.get()
        if self._deadline.expired(self._clock.now()):
            return self._early_outcome(endings.DEADLINE_PASSED)
        await self._call.connect()
        now = self._clock.now()
        if self._deadline.expired(now):
            return self._early_outcome(endings.DEADLINE_PASSED)
        await self._call.send_head(first_part, self._deadline.remaining(now))
        self._send_task = self.spawn(self._send_body(first_part), name='body')
        return await self._receive_response()

    async def _send_body(self, part: BodyPart) -> None:
        try:
            await self._send_parts(part)
        except h11.LocalProtocolError:
            self._interrupt(endings.REQUEST_MALFORMED)
        except OSError:
            # The upstream may have responded before it closed: the receiving
            # side decides, and reports CUT if there is no response.
            _log.debug(
                'request body not sent: connection closed by upstream',
                extra={'event': 'BBF0401'},
            )

    async def _send_parts(self, part: BodyPart) -> None:
        while not self._deadline.expired(self._clock.now()):
            await self._call.send_part(part)
            await self._notify_owner(BodyPartSent(key=self._request.key))
            if part.last:
                return
            part = await self._body_parts.get()
        self._interrupt(endings.DEADLINE_PASSED)

    async def _receive_response(self) -> outcomes.Outcome:
        response = await self._call.receive_head()
        if codec.states_not_run(response):
            return outcomes.NotRun(reason=outcomes.SHED)
        head = ResponseHead(
            key=self._request.key,
            status=response.status_code,
            fields=codec.decode_fields(response),
        )
        self._deadline.mark_response_started()
        await self._notify_owner(head)
        async for payload in self._call.response_parts():
            await self._response_window.acquire()
            body = ResponseBody(key=self._request.key, payload=payload)
            await self._notify_owner(body)
        if not codec.is_framed(self._request.method, response):
            return outcomes.Unknown(reason=outcomes.UNFRAMED)
        return outcomes.Answered(status=response.status_code)

    async def _watch_deadline(self) -> None:
        now = self._clock.now()
        await asyncio.sleep(self._deadline.remaining(now))
        if self._deadline.enforced:
            self._interrupt(endings.DEADLINE_PASSED)

    def _early_outcome(self, ending: endings.Ending) -> outcomes.Outcome:
        return ending.outcome(sent=self._call.sent)

    async def _finish(self, outcome: outcomes.Outcome) -> None:
        self._ended = True
        if self._send_task is not None:
            # No message may follow ResponseEnd, not even BodyPartSent.
            self._send_task.cancel()
        key = self._request.key
        connection = None
        if isinstance(outcome, outcomes.Answered):
            connection = self._call.release()
        self._call.abort()
        if connection is not None:
            await self._notify_owner(
                ConnectionReturned(key=key, connection=connection),
            )
        await self._notify_owner(ResponseEnd(key=key, outcome=outcome))
        await self._inbox.put(Stop())

    async def _notify_owner(self, message: Message) -> None:
        while True:
            try:
                self._owner.tell(message)
            except InboxFullError:
                # Backpressure: nothing is read from the upstream until the
                # owner's inbox has space.
                await asyncio.sleep(FULL_INBOX_RETRY_SECONDS)
            else:
                return
