"""Run tasks that own their state and handle messages one at a time."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from bluebellfold.core.backoff import Backoff
from bluebellfold.core.errors import InboxFullError
from bluebellfold.core.record import Record
from bluebellfold.core.registry import Registry

INBOX_MESSAGES = 10_000
REPLY_TIMEOUT_SECONDS = 5.0
# Longest pause before a failed child task is started again.
RESTART_CAP_SECONDS = 1.0

_log = logging.getLogger(__name__)


class Message(Record):
    """Mark a record as a message between actors."""

    __slots__ = ()


class Stop(Message):
    """Ask an actor to stop after it has handled all earlier messages."""

    __slots__ = ()


class Reply:
    """Carry one reply back to the actor that sent the request."""

    __slots__ = ('_future',)

    def __init__(self) -> None:
        self._future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )

    def put(self, reply: Any) -> None:
        """Deliver the reply, unless the wait has ended."""
        if not self._future.done():
            self._future.set_result(reply)

    async def wait(self, *, timeout: float = REPLY_TIMEOUT_SECONDS) -> Any:
        """Return the reply, or raise TimeoutError after ``timeout`` seconds."""
        # asyncio.wait_for on Python 3.11 swallows a cancel that arrives in the
        # same event loop iteration as the result: the task keeps running.
        async with asyncio.timeout(timeout):
            return await self._future


class Actor:
    """Own sockets and state, and handle the messages of one inbox.

    A subclass defines the class attribute ``reactions``, a registry from
    message type to a function of the actor and the message. Other tasks only
    call ``tell``; they never access the actor's state.
    """

    reactions: Registry[type[Message], Any] = Registry(name='reactions')

    def __init__(
        self,
        *,
        name: str,
        inbox_messages: int = INBOX_MESSAGES,
    ) -> None:
        self._name = name
        self._inbox: asyncio.Queue[Message] = asyncio.Queue(inbox_messages)
        self._children: set[asyncio.Task[None]] = set()
        self._failed_steps = 0

    @property
    def name(self) -> str:
        """Return the actor's name, as it appears in logs."""
        return self._name

    def tell(self, message: Message) -> None:
        """Add a message to the inbox, or raise InboxFullError."""
        try:
            self._inbox.put_nowait(message)
        except asyncio.QueueFull:
            raise InboxFullError(
                problem=f'the inbox of {self._name} is full',
                remedy='send less, or add a process of this role',
            ) from None

    async def run(self) -> None:
        """Handle messages until a Stop arrives."""
        await self.open()
        try:
            await self._process_inbox()
        finally:
            await self.close()

    async def open(self) -> None:
        """Acquire what the actor owns."""

    async def close(self) -> None:
        """Release what the actor owns, and cancel its child tasks."""
        for child in tuple(self._children):
            child.cancel()

    def spawn(
        self, awaitable: Awaitable[None], *, name: str
    ) -> asyncio.Task[None]:
        """Start a child task that is cancelled when the actor closes."""
        child = asyncio.ensure_future(awaitable)
        child.set_name(f'{self._name}/{name}')
        self._children.add(child)
        child.add_done_callback(self._child_finished)
        return child

    def supervise(
        self,
        run: Callable[[], Awaitable[None]],
        *,
        name: str,
        failed: Callable[[], None] | None = None,
    ) -> asyncio.Task[None]:
        """Start a child task that is started again if it fails.

        ``failed`` is called after each failure.
        """
        return self.spawn(self._restart(run, name, failed), name=name)

    def guard(self, step: Callable[..., None], *arguments: Any) -> None:
        """Run a step of a socket or timer callback; log if it fails.

        The other packets and timers depend on the actor, so that none of them
        may end its callbacks. The first failure is logged, then the second,
        the fourth and so on.
        """
        try:
            step(*arguments)
        except Exception:
            self._failed_steps += 1
            if self._failed_steps.bit_count() == 1:
                _log.exception(
                    'step failed',
                    extra={
                        'event': 'BBF0001',
                        'actor': self._name,
                        'step': getattr(step, '__name__', ''),
                        'failures': self._failed_steps,
                    },
                )

    def handle_message(self, message: Message) -> None:
        """Call the reaction that is registered for the message's type."""
        self.reactions.find(type(message))(self, message)

    async def _restart(
        self,
        run: Callable[[], Awaitable[None]],
        name: str,
        failed: Callable[[], None] | None,
    ) -> None:
        backoff = Backoff(randomness=Random(), cap_seconds=RESTART_CAP_SECONDS)
        failures = 0
        while True:
            # Whatever ends the task, the process depends on it.
            try:
                return await run()
            except Exception:
                _log.exception(
                    'child task failed and is started again',
                    extra={
                        'event': 'BBF0002',
                        'actor': f'{self._name}/{name}',
                        'failures': failures,
                    },
                )
            if failed is not None:
                failed()
            await asyncio.sleep(backoff.delay_seconds(failures))
            failures += 1

    async def _process_inbox(self) -> None:
        while True:
            message = await self._inbox.get()
            if isinstance(message, Stop):
                return
            # A failed reaction must not stop the actor, because the flows
            # of all other messages depend on it.
            try:
                self.handle_message(message)
            except Exception:
                _log.exception(
                    'message not handled',
                    extra={
                        'event': 'BBF0001',
                        'actor': self._name,
                        'message_type': type(message).__name__,
                    },
                )

    def _child_finished(self, child: asyncio.Task[None]) -> None:
        self._children.discard(child)
        if child.cancelled() or child.exception() is None:
            return
        _log.error(
            'child task failed',
            exc_info=child.exception(),
            extra={'event': 'BBF0002', 'actor': child.get_name()},
        )
