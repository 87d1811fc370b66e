"""Run a task that owns its state and acts on messages, one at a time."""

import asyncio
import logging
from collections.abc import Awaitable
from typing import Any

from bluebellfold.core.errors import InboxFullError
from bluebellfold.core.record import Record
from bluebellfold.core.registry import Registry

INBOX_MESSAGES = 10_000
ASK_TIMEOUT_SECONDS = 5.0

_log = logging.getLogger(__name__)


class Message(Record):
    """Mark a record that travels between actors."""

    __slots__ = ()


class Stop(Message):
    """Ask an actor to end after the messages before this one."""

    __slots__ = ()


class Reply:
    """Carry one answer back to the actor that asked."""

    __slots__ = ('_future',)

    def __init__(self) -> None:
        self._future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )

    def put(self, answer: Any) -> None:
        """Deliver the answer, unless nobody waits for it any more."""
        if not self._future.done():
            self._future.set_result(answer)

    async def wait(self, *, timeout: float = ASK_TIMEOUT_SECONDS) -> Any:
        """Return the answer, or raise TimeoutError after the timeout."""
        # Not wait_for: on Python 3.11 it swallows a cancel that comes in the
        # turn the answer does, and the cancelled task goes on.
        async with asyncio.timeout(timeout):
            return await self._future


class Actor:
    """Own sockets and state, and act on the messages of one inbox.

    A subclass holds a class attribute ``reactions``: a registry from message
    type to a function of the actor and the message. Other tasks only call
    ``tell``; they never touch the actor's state.
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

    @property
    def name(self) -> str:
        """Return the actor's name, as used in logs."""
        return self._name

    def tell(self, message: Message) -> None:
        """Put a message into the inbox, or raise InboxFullError."""
        try:
            self._inbox.put_nowait(message)
        except asyncio.QueueFull:
            raise InboxFullError(
                problem=f'the inbox of {self._name} is full',
                remedy='send less, or add a process of this role',
            ) from None

    async def run(self) -> None:
        """Act on messages until a Stop arrives."""
        await self.open()
        try:
            await self._act_on_messages()
        finally:
            await self.close()

    async def open(self) -> None:
        """Acquire what the actor owns."""

    async def close(self) -> None:
        """Release what the actor owns, and end its child tasks."""
        for child in tuple(self._children):
            child.cancel()

    def spawn(self, work: Awaitable[None], *, name: str) -> asyncio.Task[None]:
        """Start a child task that ends with the actor."""
        child = asyncio.ensure_future(work)
        child.set_name(f'{self._name}/{name}')
        self._children.add(child)
        child.add_done_callback(self._forget)
        return child

    def react(self, message: Message) -> None:
        """Call the reaction that is registered for the message's type."""
        self.reactions.find(type(message))(self, message)

    async def _act_on_messages(self) -> None:
        while True:
            message = await self._inbox.get()
            if isinstance(message, Stop):
                return
            # One message that can't be handled must not end the actor: the
            # flows of every other message depend on it.
            try:
                self.react(message)
            except Exception:
                _log.exception(
                    'message not handled',
                    extra={
                        'event': 'BBF0001',
                        'actor': self._name,
                        'message_type': type(message).__name__,
                    },
                )

    def _forget(self, child: asyncio.Task[None]) -> None:
        self._children.discard(child)
        if child.cancelled() or child.exception() is None:
            return
        _log.error(
            'child task failed',
            exc_info=child.exception(),
            extra={'event': 'BBF0002', 'actor': child.get_name()},
        )
